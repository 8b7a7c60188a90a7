package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// readyLimit is how long a node may take until it is ready.
const readyLimit = 10 * time.Second

// Object is a JSON object.
type Object = map[string]any

// Node is a process of the project's node program.
type Node struct {
	Name, Address string

	c       *Case
	config  string // path of its configuration file
	command *exec.Cmd
	exited  chan struct{}
	exit    error
}

// FreeAddress returns a loopback address with a port that was free just now.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// StartNode starts a node with the `run` command of the deploy file, from the root of the repository.
func (c *Case) StartNode(name string, config Object) (*Node, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	n := &Node{
		Name: name, Address: address, c: c, config: filepath.Join(c.Tmp, name+".json"), exited: make(chan struct{}),
	}
	if err := n.WriteConfig(config); err != nil {
		return nil, err
	}
	private := filepath.Join(c.Tmp, name)
	if err := os.Mkdir(private, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.Tmp, name+".log"))
	if err != nil {
		return nil, err
	}
	n.command = exec.Command("/bin/sh", "-c", "exec bin/balancer")
	n.command.Dir, n.command.Stdout, n.command.Stderr = c.Root, log, log
	n.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "TMPDIR=" + private, "BALANCER_NAME=" + name, "BALANCER_LISTEN=" + address,
		"BALANCER_DISCOVERY=" + fmt.Sprint(config["discovery"]), "BALANCER_CONFIG=" + n.config,
	}
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		n.exit = n.command.Wait()
		close(n.exited)
		c.Note("node %s ended: %v", name, n.exit)
	}()
	c.Defer(func() { n.end(log.Name()) })
	c.Note("node %s started, process %d, address %s", name, n.command.Process.Pid, address)
	return n, nil
}

// WriteConfig writes the node's configuration file, with its name and address.
func (n *Node) WriteConfig(config Object) error {
	config["name"], config["listen"] = n.Name, n.Address
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.config, text, 0o600)
}

// end kills the process and copies its log to the record.
func (n *Node) end(log string) {
	_ = n.command.Process.Kill()
	<-n.exited
	text, _ := os.ReadFile(log)
	n.c.Note("log of node %s:\n%s", n.Name, text)
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.c.Note("%v to node %s", s, n.Name)
	_ = n.command.Process.Signal(s)
}

// PID returns the process ID.
func (n *Node) PID() int { return n.command.Process.Pid }

// Exited returns a channel that is closed when the process has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// AwaitReady waits until the node answers its readiness check with 200.
func (n *Node) AwaitReady() error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + n.Address + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.c.Note("node %s is ready", n.Name)
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %v", n.Name, readyLimit)
}
