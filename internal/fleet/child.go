package fleet

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

// The roles of child processes.
const (
	roleRegistry = "registry"
	roleHollows  = "hollows"
	roleServers  = "servers"
	roleListed   = "listed-servers"
)

// serviceName is what a child's service goes by, whatever its role.
const serviceName = "Host"

// endWait is how long a child may take to end by itself once its input is closed.
const childStopTimeout = 2 * time.Second

// pipes joins a standard input and output to one connection.
type pipes struct {
	io.Reader
	io.WriteCloser
}

// Child plays the part of a child process: it does what its parent asks for on standard input, until that
// is closed.
func Child(role string) error {
	host, ok := map[string]any{roleRegistry: &RegistryHost{}, roleHollows: &Hollows{}, roleServers: &Servers{}, roleListed: &ListedServers{}}[role]
	if !ok {
		return fmt.Errorf("child: no role %q", role)
	}
	signal.Ignore(syscall.SIGINT, syscall.SIGTERM) // which may be meant for all of a terminal's; the parent ends its children
	s := rpc.NewServer()
	if err := s.RegisterName(serviceName, host); err != nil {
		return fmt.Errorf("child: %w", err)
	}
	s.ServeCodec(jsonrpc.NewServerCodec(pipes{os.Stdin, os.Stdout}))
	return nil
}

// child is a process of this program's own that plays a part.
type child struct {
	cmd      *exec.Cmd
	client   *rpc.Client
	exited   chan struct{} // closed once it has ended
	stopOnce sync.Once
}

// startChild starts the program self, which must call Child with its last argument.
func startChild(self []string, role string) (*child, error) {
	args := append(append([]string(nil), self[1:]...), role)
	c := &child{cmd: exec.Command(self[0], args...), exited: make(chan struct{})}
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
		c.cmd.Wait()
	}()
	return c, nil
}

// ask has the child do something, and waits for its reply.
func (c *child) call(ctx context.Context, what string, spec, reply any) error {
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
		return fmt.Errorf("child: %s: %w", what, errors.New("it has ended"))
	}
}

// stop ends the child and waits until it is gone.
func (c *child) stop() {
	c.stopOnce.Do(func() {
		c.client.Close()
		select {
		case <-c.exited:
		case <-time.After(childStopTimeout):
			c.cmd.Process.Kill()
			<-c.exited
		}
	})
}

func (c *child) pid() int { return c.cmd.Process.Pid }
