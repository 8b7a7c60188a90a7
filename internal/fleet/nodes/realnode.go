package nodes

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
	"syscall"
	"time"
)

// RealNode is a process of the real program.
type RealNode struct {
	spec    NodeSpec
	path    string // of its configuration
	address string
	cmd     *exec.Cmd
	exited  chan struct{} // closed once it has ended
}

var servingAt = regexp.MustCompile(`msg=serving .*address=(\S+)`)

// StartRealNode starts a node, with a limit of 1,024 descriptors, and waits until it listens.
func StartRealNode(ctx context.Context, program, dir string, spec NodeSpec) (*RealNode, error) {
	n := &RealNode{spec: spec, path: filepath.Join(dir, spec.Name+".json"), exited: make(chan struct{})}
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
		_, _ = io.Copy(io.Discard, log) // so that the node never waits for a reader of its log
		_ = n.cmd.Wait()                // one that is killed ends with an error; only that it has ended counts
	}()
	select {
	case n.address = <-serving:
		return n, nil
	case <-n.exited:
		return nil, fmt.Errorf("%s: it ended before it served: %s", spec.Name, last)
	case <-ctx.Done():
		n.Stop()
		return nil, fmt.Errorf("%s: %w", spec.Name, ctx.Err())
	}
}

// write writes the node's configuration file.
func (n *RealNode) write() error {
	text, err := n.spec.Configuration()
	if err != nil {
		return err
	}
	// The rename replaces the file in one step, since the node may be reading it.
	if err := os.WriteFile(n.path+".new", text, 0o600); err != nil {
		return fmt.Errorf("%s: %w", n.spec.Name, err)
	}
	if err := os.Rename(n.path+".new", n.path); err != nil {
		return fmt.Errorf("%s: %w", n.spec.Name, err)
	}
	return nil
}

// WaitReady waits until the node passes its health check.
func (n *RealNode) WaitReady(ctx context.Context) error {
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

// Address is where the node serves.
func (n *RealNode) Address() string { return n.address }

// Name is the node's name in its configuration.
func (n *RealNode) Name() string { return n.spec.Name }

// PID is the id of the node's process.
func (n *RealNode) PID() int { return n.cmd.Process.Pid }

// AddClass adds a class to the node's configuration file, which the node reads at its next reload.
func (n *RealNode) AddClass(class string) error {
	n.spec.Classes = append(n.spec.Classes, class)
	return n.write()
}

// Reload has the node read its configuration.
func (n *RealNode) Reload() error {
	if err := n.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("%s: %w", n.spec.Name, err)
	}
	return nil
}

// Alive says that the process has not ended.
func (n *RealNode) Alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// Stop kills the node and waits until it has ended. Draining would only lengthen the run.
func (n *RealNode) Stop() {
	_ = n.cmd.Process.Kill() // it fails only if the node has just ended
	<-n.exited
}
