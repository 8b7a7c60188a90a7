package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"net/rpc/jsonrpc"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// serviceName is the name of a child's RPC service, whatever its role.
const serviceName = "Host"

// StopTimeout is how long a child may take to end by itself once its input is closed.
const StopTimeout = 2 * time.Second

// pipes joins a standard input and output to one connection.
type pipes struct {
	io.Reader
	io.WriteCloser
}

// ServeParent makes this process a child: it serves the requests of its parent for a service, JSON-RPC on standard
// input and output, until its input is closed.
func ServeParent(service any) error {
	// A terminal sends these signals to all of its processes. The parent ends its children itself.
	signal.Ignore(syscall.SIGINT, syscall.SIGTERM)
	s := rpc.NewServer()
	if err := s.RegisterName(serviceName, service); err != nil {
		return fmt.Errorf("child: %w", err)
	}
	s.ServeCodec(jsonrpc.NewServerCodec(pipes{os.Stdin, os.Stdout}))
	return nil
}

// ChildProcess is a child process that runs this program in one of the roles.
type ChildProcess struct {
	cmd      *exec.Cmd
	client   *rpc.Client
	exited   chan struct{} // closed once it has ended
	stopOnce sync.Once
}

// ErrEnded says that a child process has ended.
var ErrEnded = errors.New("it has ended")

// StartChild starts the program self with one more argument, the role, whose service it must serve with ServeParent.
func StartChild(self []string, role string) (*ChildProcess, error) {
	args := append(append([]string(nil), self[1:]...), role)
	c := &ChildProcess{cmd: exec.Command(self[0], args...), exited: make(chan struct{})}
	c.cmd.Stderr = os.Stderr
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("child %s: %w", role, err)
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("child %s: %w", role, err)
	}
	if err := c.cmd.Start(); err != nil {
		return nil, fmt.Errorf("child %s: %w", role, err)
	}
	c.client = jsonrpc.NewClient(pipes{out, in})
	go func() {
		defer close(c.exited)
		_ = c.cmd.Wait() // one that is killed ends with an error; only that it has ended counts
	}()
	return c, nil
}

// Call calls a method of the child's service, and waits for its reply.
func (c *ChildProcess) Call(ctx context.Context, what string, spec, reply any) error {
	call := c.client.Go(serviceName+"."+what, spec, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return fmt.Errorf("child: %s: %w", what, call.Error)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("child: %s: %w", what, ctx.Err())
	case <-c.exited:
		return fmt.Errorf("child: %s: %w", what, ErrEnded)
	}
}

// Stop ends the child and waits until it has ended.
func (c *ChildProcess) Stop() {
	c.stopOnce.Do(func() {
		_ = c.client.Close() // it closes the child's input, and fails only if the child has ended
		select {
		case <-c.exited:
		case <-time.After(StopTimeout):
			_ = c.cmd.Process.Kill() // it fails only if the child has just ended
			<-c.exited
		}
	})
}

// PID is the id of the process.
func (c *ChildProcess) PID() int { return c.cmd.Process.Pid }
