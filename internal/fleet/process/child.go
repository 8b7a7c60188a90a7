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

// StopTimeout is how long a child may take to exit by itself after its standard input is closed.
const StopTimeout = 2 * time.Second

// stdioConn combines two standard streams of a process into one connection.
type stdioConn struct {
	io.Reader
	io.WriteCloser
}

// ServeParent makes this process a child: it serves the JSON-RPC requests of its parent to a service on standard input
// and output, and returns when standard input is closed.
func ServeParent(service any) error {
	// A terminal sends these signals to all of its processes. The parent stops its children itself.
	signal.Ignore(syscall.SIGINT, syscall.SIGTERM)
	s := rpc.NewServer()
	if err := s.RegisterName(serviceName, service); err != nil {
		return fmt.Errorf("child: %w", err)
	}
	s.ServeCodec(jsonrpc.NewServerCodec(stdioConn{os.Stdin, os.Stdout}))
	return nil
}

// ChildProcess is a child process that runs this program in one of its roles.
type ChildProcess struct {
	cmd      *exec.Cmd
	client   *rpc.Client
	exited   chan struct{} // closed once the process has exited
	stopOnce sync.Once
}

// ErrExited is returned by calls to a child process that has exited.
var ErrExited = errors.New("the process has exited")

// StartChild runs the command self with the role as an additional argument. The program must serve the role's service
// with ServeParent.
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
	c.client = jsonrpc.NewClient(stdioConn{out, in})
	go func() {
		defer close(c.exited)
		_ = c.cmd.Wait() // a killed process returns an error; only its exit matters here
	}()
	return c, nil
}

// Call calls a method of the child's service, and waits for its reply.
func (c *ChildProcess) Call(ctx context.Context, method string, args, reply any) error {
	call := c.client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return fmt.Errorf("child: call of %s: %w", method, call.Error)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("child: call of %s: %w", method, ctx.Err())
	case <-c.exited:
		return fmt.Errorf("child: call of %s: %w", method, ErrExited)
	}
}

// Stop closes the child's standard input and waits until it has exited. It kills a child that is still running after
// StopTimeout.
func (c *ChildProcess) Stop() {
	c.stopOnce.Do(func() {
		_ = c.client.Close() // closes the child's standard input; fails only if the child has exited
		select {
		case <-c.exited:
		case <-time.After(StopTimeout):
			_ = c.cmd.Process.Kill() // fails only if the child has just exited
			<-c.exited
		}
	})
}

// PID returns the id of the process.
func (c *ChildProcess) PID() int { return c.cmd.Process.Pid }
