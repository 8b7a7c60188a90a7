// Package lab holds the stand-ins of the second review: an agent of discovery, servers, and a node that is started as
// a process of its own with the command of the deploy file. It uses the standard library only, and loopback addresses
// only. Each case is a program of its own below cases/ that uses this package.
package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case couldn't run
)

// Record is the record of a run: what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// NewRecord creates the file.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	return &Record{start: time.Now(), file: f}
}

// Printf writes a line with the time since the start of the run, in seconds.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Trouble reports whether the disruption takes place: it does unless TROUBLE is 0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Target is an entry of the list of servers.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is the form of discovery's answers.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Agent is a stand-in for the agent of discovery: it answers a call without from with the whole list, and a watch with
// the entries that changed since its version, at once or when something changes, or with none after hold_ms.
type Agent struct {
	Addr string
	srv  *http.Server

	mu      sync.Mutex
	rev     int64
	targets map[string]Target
	changed map[string]int64 // rev of the last change, by uid
	order   []string
	wake    chan struct{}
	silent  bool
	OnCall  func(query string) // called for each call, if set
}

// NewAgent starts an agent on a free port.
func NewAgent(targets ...Target) (*Agent, error) {
	a := &Agent{rev: 1, targets: map[string]Target{}, changed: map[string]int64{}, wake: make(chan struct{})}
	for _, t := range targets {
		a.put(t)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.Addr = ln.Addr().String()
	a.srv = &http.Server{Handler: a}
	go func() { _ = a.srv.Serve(ln) }()
	return a, nil
}

func (a *Agent) put(t Target) {
	if _, ok := a.targets[t.UID]; !ok {
		a.order = append(a.order, t.UID)
	}
	a.targets[t.UID], a.changed[t.UID] = t, a.rev
}

// Set changes or adds entries and raises the version.
func (a *Agent) Set(targets ...Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev++
	for _, t := range targets {
		a.put(t)
	}
	close(a.wake)
	a.wake = make(chan struct{})
}

// Whole returns the whole list.
func (a *Agent) Whole() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole()
}

func (a *Agent) whole() List {
	l := List{Rev: a.rev, All: true, Targets: []Target{}}
	for _, id := range a.order {
		if t := a.targets[id]; t.State != "terminated" {
			l.Targets = append(l.Targets, t)
		}
	}
	return l
}

// Close ends the agent.
func (a *Agent) Close() { _ = a.srv.Close() }

// ServeHTTP answers one call.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.OnCall != nil {
		a.OnCall(r.URL.RawQuery)
	}
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		_ = json.NewEncoder(w).Encode(a.Whole())
		return
	}
	hold, _ := strconv.Atoi(q.Get("hold_ms"))
	end := time.NewTimer(time.Duration(min(hold, 60000)) * time.Millisecond)
	defer end.Stop()
	for {
		a.mu.Lock()
		wake, l := a.wake, List{Rev: a.rev, Targets: []Target{}}
		for _, id := range a.order {
			if a.changed[id] > from {
				l.Targets = append(l.Targets, a.targets[id])
			}
		}
		newer := a.rev > from
		a.mu.Unlock()
		if newer {
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-wake:
		case <-end.C:
			_ = json.NewEncoder(w).Encode(l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Class is one class of the settings.
type Class struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	KeyScope   string  `json:"key-scope"`
	WindowMS   float64 `json:"window-ms"`
	TargetMS   float64 `json:"target-ms"`
	DeadlineMS float64 `json:"deadline-ms"`
	LateShare  float64 `json:"late-share"`
	Worth      float64 `json:"worth"`
	Stream     bool    `json:"stream"`
}

// GalleryClasses returns the classes of gallery-prod-jhb.
func GalleryClasses() []Class {
	return []Class{
		{Name: "favourite", Effect: "idempotency_key", KeyScope: "zone", WindowMS: 5000, TargetMS: 1200, DeadlineMS: 3000, Worth: 10},
		{Name: "print-order", Effect: "non_idempotent", KeyScope: "all", WindowMS: 5000, TargetMS: 2500, DeadlineMS: 6000, Worth: 30},
	}
}

// Object is a JSON object.
type Object = map[string]any

// Config returns a configuration like that of gallery-prod-jhb (WIRE-basaltdrum.md, section 15).
func Config(listen, discovery string, known List, classes []Class) Object {
	return Object{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known,
		"settings": Object{
			"balancers": 2, "me": 0, "tier": 0, "tiers": []string{"gallery-front", "album-svc", "store-svc"},
			"zone": "jhb-north", "localities": []string{"jhb-north", "jhb-east"}, "tick-ms": 5.0,
			"registry-mode": "pushed", "lanes": classes, "worth-by": "work", "weights": "nominal",
			"family": "chain", "family-info": Object{"passes-deadline": false},
			"blend":     Object{"whole": 0.65, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.05},
			"shapes":    []string{"front-fast", "front-wide"},
			"telemetry": Object{"fields": []string{"failed_ps", "served_ps", "svc_ms", "busy_reqs"}, "via": "pull"},
			"limits": Object{
				"cancelling": true, "conn-idle-ms": 10000.0, "connect-timeout-ms": 150.0, "max-attempts": 6,
				"max-retry-after-ms": 2000.0, "max-streams": 1, "may-probe": true, "peers": false, "retry-after": true,
				"second-copies": false, "open-cap": 26820, "cpu-us-per-s": 10728, "cpu-us-per-request": 10.0,
			},
			"rules": Object{
				"answer-slack-ms": 20.0, "ask-within-ms": 10000.0, "cold-from": 0.12, "fall-ms": 1000.0,
				"fall-multiple": 4.0, "stop-sending-within-ms": 250.0, "warm-after-ms": 24000.0,
			},
		},
	}
}

// Node is a node that runs as a process of its own.
type Node struct {
	Addr       string
	ConfigPath string
	cmd        *exec.Cmd
	log        bytes.Buffer
	logMu      sync.Mutex
	done       chan struct{}
	err        error
}

type lockedWriter struct{ n *Node }

func (w lockedWriter) Write(p []byte) (int, error) {
	w.n.logMu.Lock()
	defer w.n.logMu.Unlock()
	return w.n.log.Write(p)
}

// FreeAddr returns a loopback address with a free port.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// RunCommand returns the command run of the deploy file.
func RunCommand(root string) (string, error) { return deployKey(root, "run") }

func deployKey(root, key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		name, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(name) == key {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", fmt.Errorf("the deploy file has no %s", key)
}

// WriteConfig replaces the configuration file.
func WriteConfig(path string, config Object) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// StartNode starts a node from the root of the repository and waits until it is ready.
func StartNode(root, dir string, config Object) (*Node, error) {
	run, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	name, listen := config["name"].(string), config["listen"].(string)
	n := &Node{Addr: listen, ConfigPath: filepath.Join(dir, name+".json"), done: make(chan struct{})}
	if err := WriteConfig(n.ConfigPath, config); err != nil {
		return nil, err
	}
	n.cmd = exec.Command("/bin/sh", "-c", run)
	n.cmd.Dir = root
	n.cmd.Env = append(os.Environ(), "BALANCER_NAME="+name, "BALANCER_LISTEN="+listen,
		"BALANCER_DISCOVERY="+config["discovery"].(string), "BALANCER_CONFIG="+n.ConfigPath, "TMPDIR="+dir)
	n.cmd.Stdout, n.cmd.Stderr = lockedWriter{n}, lockedWriter{n}
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { n.err = n.cmd.Wait(); close(n.done) }()
	for range 200 {
		resp, err := http.Get("http://" + listen + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				http.DefaultClient.CloseIdleConnections()
				return n, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.Kill()
	return nil, fmt.Errorf("the node is not ready after 10 s: %s", n.Log())
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// Kill ends the node's process.
func (n *Node) Kill() {
	_ = n.cmd.Process.Kill()
	<-n.done
}

// PID returns the id of the node's process.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Exited reports whether the process has ended.
func (n *Node) Exited() <-chan struct{} { return n.done }

// Status returns how the process has ended.
func (n *Node) Status() string { return n.cmd.ProcessState.String() }

// Log returns what the node has written so far.
func (n *Node) Log() string {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	return n.log.String()
}

// Main runs a case. It gives it the root of the repository, a temporary folder and the record, and exits with its
// status. Usage of the program: CASE ROOT RECORD.
func Main(run func(root, dir string, r *Record) int) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: "+os.Args[0]+" ROOT RECORD")
		os.Exit(Failed)
	}
	r := NewRecord(os.Args[2])
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	time.AfterFunc(110*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(Failed)
	})
	status := run(os.Args[1], dir, r)
	r.Printf("exit %d (0: the rule held, 1: broken, 2: the case couldn't run)", status)
	r.Close()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}
