package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// program is what deploy/balancer.toml builds, made once for all tests that start many processes.
var program = struct {
	once     sync.Once
	dir, run string
}{}

func TestMain(m *testing.M) {
	code := m.Run()
	if program.dir != "" {
		os.RemoveAll(program.dir)
	}
	os.Exit(code)
}

// buildOnce is build for tests that write nothing to the folder.
func buildOnce(t *testing.T) {
	t.Helper()
	program.once.Do(func() {
		dir, run, _ := build(t)
		kept, err := os.MkdirTemp("", "balancer")
		if err != nil {
			t.Fatal(err)
		}
		program.dir = kept
		if err := os.Rename(filepath.Join(dir, "bin"), filepath.Join(kept, "bin")); err != nil {
			t.Fatal(err)
		}
		program.run = run
	})
	if program.run == "" {
		t.Fatal("the program was not built")
	}
}

// process is one run of the program.
type process struct {
	cmd  *exec.Cmd
	over chan struct{} // closed once it has ended

	mu  sync.Mutex
	log bytes.Buffer
}

func (p *process) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(text)
}

func (p *process) said() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// launch runs the program with a configuration, and with a hard limit on descriptors unless sockets is 0.
func launch(t *testing.T, config string, sockets int) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	text := program.run
	if sockets > 0 {
		text = fmt.Sprintf("ulimit -n %d; %s", sockets, text)
	}
	p := &process{cmd: exec.Command("/bin/sh", "-c", text), over: make(chan struct{})}
	p.cmd.Dir, p.cmd.Env = program.dir, append(os.Environ(), "BALANCER_CONFIG="+path)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.cmd.Wait()
		close(p.over)
	}()
	t.Cleanup(func() { p.end(syscall.SIGKILL) })
	return p
}

// end signals the process, if it runs, and waits until it has ended.
func (p *process) end(s syscall.Signal) {
	p.cmd.Process.Signal(s)
	<-p.over
}

// alive says that the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.over:
		return false
	default:
		return true
	}
}

var servingAt = regexp.MustCompile(`msg=serving .*address=(\S+)`)

// address is where the process listens, once it does.
func (p *process) address(t *testing.T) string {
	t.Helper()
	var found []string
	eventually(t, "the program to serve", func() bool {
		found = servingAt.FindStringSubmatch(p.said())
		return found != nil || !p.alive()
	})
	if found == nil {
		t.Fatalf("it ended: %s", p.said())
	}
	return found[1]
}

// eventually asks until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// outage is what discovery is like while it is down.
type outage int

const (
	none outage = iota
	mute        // calls are accepted and never answered, not even after its return
	refusing
)

func (o outage) String() string { return [...]string{"up", "mute", "refusing"}[o] }

// registry is discovery's stand-in. Its port stays its own while it refuses: the socket is bound all the time.
type registry struct {
	addr string
	fd   int

	mu     sync.Mutex
	server *http.Server // nil while it refuses
	down   outage
	rev    int
	list   string
	heard  map[int]chan struct{} // closed when a call from that version comes, so that its list has been taken
}

func newRegistry(t *testing.T, rev int, list string, down outage) *registry {
	t.Helper()
	// The kernel keeps a port for a socket that listens no more only if it was bound to that port by number.
	bound := func(port int) (int, int, error) {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
			t.Fatal(err) // what is left of its connections must not keep it from listening again
		}
		if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			syscall.Close(fd)
			return 0, 0, err
		}
		at, err := syscall.Getsockname(fd)
		if err != nil {
			t.Fatal(err)
		}
		return fd, at.(*syscall.SockaddrInet4).Port, nil
	}
	var fd, port int
	eventually(t, "a port", func() bool {
		free, number, err := bound(0)
		if err != nil {
			t.Fatal(err)
		}
		syscall.Close(free)
		fd, port, err = bound(number)
		return err == nil
	})
	d := &registry{fd: fd, addr: fmt.Sprintf("127.0.0.1:%d", port), heard: map[int]chan struct{}{}}
	d.is(t, rev, list, down)
	t.Cleanup(func() {
		d.is(t, rev, list, refusing)
		syscall.Close(fd)
	})
	return d
}

// is changes what discovery has to tell, and whether it tells it.
func (d *registry) is(t *testing.T, rev int, list string, down outage) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev, d.list, d.down = rev, list, down
	switch {
	case down == refusing && d.server != nil:
		syscall.Shutdown(d.fd, syscall.SHUT_RDWR) // it listens no more, and stays bound
		d.server.Close()
		d.server = nil
	case down != refusing && d.server == nil:
		if err := syscall.Listen(d.fd, 1024); err != nil {
			t.Fatal(err)
		}
		dup, err := syscall.Dup(d.fd)
		if err != nil {
			t.Fatal(err)
		}
		f := os.NewFile(uintptr(dup), "discovery")
		ln, err := net.FileListener(f)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		d.server = &http.Server{Handler: d}
		go d.server.Serve(ln)
	}
}

// tells is closed once a node has taken the list of a version, and calls for what is newer.
func (d *registry) tells(rev int) chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heard[rev] == nil {
		d.heard[rev] = make(chan struct{})
	}
	return d.heard[rev]
}

func (d *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	heard := d.tells(from)
	d.mu.Lock()
	select {
	case <-heard:
	default:
		close(heard)
	}
	down, rev, list := d.down, d.rev, d.list
	d.mu.Unlock()
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	if down == none && from != rev {
		fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[%s]}`, rev, list)
		return
	}
	if down == none {
		over := time.NewTimer(time.Duration(hold) * time.Millisecond)
		defer over.Stop()
		select {
		case <-r.Context().Done():
		case <-over.C:
			d.mu.Lock()
			down = d.down
			d.mu.Unlock()
			if down == none {
				fmt.Fprintf(w, `{"rev":%d,"all":false,"targets":[]}`, rev)
				return
			}
		}
	}
	<-r.Context().Done()
}

// target is a server's entry in a list.
func target(uid, endpoint string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"in_service",
		"capacity_hint":1,"boot_ms":0}`, uid, endpoint)
}

// nodeConfig is a configuration; known is a list's targets.
func nodeConfig(listen, discovery, known, mode string, sockets int) string {
	set := strings.Replace(settings, `"registry-mode":"pushed"`,
		fmt.Sprintf(`"rules":{"ask-within-ms":1000},"registry-mode":%q`, mode), 1)
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"rev":1,"all":true,"targets":[%s]},"settings":%s}`,
		listen, discovery, sockets, known, set)
}
