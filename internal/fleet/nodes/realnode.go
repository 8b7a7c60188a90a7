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
	spec       NodeSpec
	configPath string
	address    string
	cmd        *exec.Cmd
	exited     chan struct{} // closed once the process has exited
}

// servingLine matches the log line that tells the node's address.
var servingLine = regexp.MustCompile(`msg=serving .*address=(\S+)`)

// StartRealNode starts a node with a limit of 1,024 file descriptors, and waits until it listens.
func StartRealNode(ctx context.Context, program, dir string, spec NodeSpec) (*RealNode, error) {
	n := &RealNode{spec: spec, configPath: filepath.Join(dir, spec.Name+".json"), exited: make(chan struct{})}
	if err := n.writeConfig(); err != nil {
		return nil, err
	}
	n.cmd = exec.Command("/bin/sh", "-c", `ulimit -n 1024 && exec "$0"`, program)
	n.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+n.configPath)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := n.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	if err := n.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	serving, lastLine := make(chan string, 1), ""
	go func() {
		defer close(n.exited)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			lastLine = lines.Text()
			if match := servingLine.FindStringSubmatch(lastLine); match != nil {
				serving <- match[1]
				break
			}
		}
		_, _ = io.Copy(io.Discard, log) // drain the log so that the node never blocks on it
		_ = n.cmd.Wait()                // a killed process returns an error; only its exit matters here
	}()
	select {
	case n.address = <-serving:
		return n, nil
	case <-n.exited:
		return nil, fmt.Errorf("%s: the process exited before it was serving; last log line: %s", spec.Name, lastLine)
	case <-ctx.Done():
		n.Stop()
		return nil, fmt.Errorf("%s: waiting for it to serve: %w", spec.Name, ctx.Err())
	}
}

// writeConfig writes the node's configuration file.
func (n *RealNode) writeConfig() error {
	text, err := n.spec.Configuration()
	if err != nil {
		return err
	}
	// The rename replaces the file in one step, since the node may be reading it.
	if err := os.WriteFile(n.configPath+".new", text, 0o600); err != nil {
		return fmt.Errorf("%s: %w", n.spec.Name, err)
	}
	if err := os.Rename(n.configPath+".new", n.configPath); err != nil {
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
			return fmt.Errorf("%s: waiting for it to be ready: %w", n.spec.Name, ctx.Err())
		case <-n.exited:
			return fmt.Errorf("%s: the process exited before it was ready", n.spec.Name)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Address returns the address at which the node serves.
func (n *RealNode) Address() string { return n.address }

// Name returns the node's name in its configuration.
func (n *RealNode) Name() string { return n.spec.Name }

// PID returns the id of the node's process.
func (n *RealNode) PID() int { return n.cmd.Process.Pid }

// AddClass adds a request class to the node's configuration file, which the node reads at its next reload.
func (n *RealNode) AddClass(class string) error {
	n.spec.Classes = append(n.spec.Classes, class)
	return n.writeConfig()
}

// Reload makes the node read its configuration file.
func (n *RealNode) Reload() error {
	if err := n.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("%s: reload: %w", n.spec.Name, err)
	}
	return nil
}

// Alive reports whether the process is running.
func (n *RealNode) Alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// Stop kills the node and waits until it has exited. A graceful shutdown would only lengthen the run.
func (n *RealNode) Stop() {
	_ = n.cmd.Process.Kill() // fails only if the node has just exited
	<-n.exited
}
