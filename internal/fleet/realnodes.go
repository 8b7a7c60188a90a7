package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// build makes the real nodes' program in a folder.
func buildProgram(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "balancer")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "balancer/cmd/balancer").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, strings.TrimSpace(string(out)))
	}
	return path, nil
}

// realNode is a process of the real program.
type realNode struct {
	spec    NodeSpec
	path    string // of its configuration
	address string
	cmd     *exec.Cmd
	exited  chan struct{} // closed once it has ended
}

var servingAt = regexp.MustCompile(`msg=serving .*address=(\S+)`)

// startReal starts a node, with a limit of 1,024 descriptors, and waits until it listens.
func startReal(ctx context.Context, program, dir string, spec NodeSpec) (*realNode, error) {
	n := &realNode{spec: spec, path: filepath.Join(dir, spec.Name+".json"), exited: make(chan struct{})}
	if err := n.write(); err != nil {
		return nil, err
	}
	n.cmd = exec.Command("/bin/sh", "-c", `ulimit -n 1024 && exec "$0"`, program)
	n.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+n.path)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := n.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	if err := n.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	serving, last := make(chan string, 1), ""
	go func() {
		defer close(n.exited)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			last = lines.Text()
			if m := servingAt.FindStringSubmatch(last); m != nil {
				serving <- m[1]
				break
			}
		}
		io.Copy(io.Discard, log)
		n.cmd.Wait()
	}()
	select {
	case n.address = <-serving:
		return n, nil
	case <-n.exited:
		return nil, fmt.Errorf("%s: it ended before it served: %s", spec.Name, last)
	case <-ctx.Done():
		n.stop()
		return nil, fmt.Errorf("%s: %w", spec.Name, ctx.Err())
	}
}

func (n *realNode) write() error {
	text, err := n.spec.Configuration()
	if err != nil {
		return err
	}
	// In one step: the node may be reading.
	if err := os.WriteFile(n.path+".new", text, 0o600); err != nil {
		return fmt.Errorf("%s: %w", n.spec.Name, err)
	}
	if err := os.Rename(n.path+".new", n.path); err != nil {
		return fmt.Errorf("%s: %w", n.spec.Name, err)
	}
	return nil
}

// ready waits until the node may be put to use.
func (n *realNode) ready(ctx context.Context) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address+"/health/ready", nil)
		if err != nil {
			return fmt.Errorf("%s: %w", n.spec.Name, err)
		}
		req.Close = true
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", n.spec.Name, ctx.Err())
		case <-n.exited:
			return fmt.Errorf("%s has ended", n.spec.Name)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// alive says that the process has not ended.
func (n *realNode) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// stop kills the node, as nodes of later tiers end, and waits until it is gone.
func (n *realNode) stop() {
	n.cmd.Process.Kill()
	<-n.exited
}

// Configs says how changes of the configuration came into force at the real nodes.
type Configs struct {
	Changes    int       `json:"changes"`
	Sent       int       `json:"sent"`         // pairs of a change and a node
	InForce    int       `json:"in_force"`     // of these, in force within the limit
	NotInForce int       `json:"not_in_force"` // not by then
	LimitSec   float64   `json:"limit_s"`
	Took       Quantiles `json:"took"` // of those in force
}

// configLimit is within how long a change must be in force everywhere.
const configLimit = 11 * time.Second

// addClass adds a class to the configuration of all nodes. The function that it returns waits until that is in
// force at each, which it is when a request of the class is no longer answered as unknown, or is known not to
// be in time, and tells at how many it is.
func (r *run) addClass(ctx context.Context, class string, took *latencies) (wait func() int, err error) {
	var wg sync.WaitGroup
	var inForce atomic.Int32
	for _, n := range r.real {
		n.spec.Classes = append(n.spec.Classes, class)
		if err := n.write(); err != nil {
			return nil, err
		}
		begun := time.Now()
		if err := n.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return nil, fmt.Errorf("%s: %w", n.spec.Name, err)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			limit, cancel := context.WithTimeout(ctx, configLimit)
			defer cancel()
			for i := 0; limit.Err() == nil; i++ {
				got, err := r.client.call(limit, n.address, class, fmt.Sprintf("%s-%s-%d", class, n.spec.Name, i),
					time.Now().Add(time.Second))
				if err == nil && got != unknownClass {
					took.add(time.Since(begun))
					inForce.Add(1)
					return
				}
				pause(limit, 20*time.Millisecond)
			}
		}()
	}
	return func() int { wg.Wait(); return int(inForce.Load()) }, nil
}
