package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"basaltdrum/examples"
	"basaltdrum/internal/node"
)

// runningNode is the real node, running in this process. The command balancer runs it in the same way, except that it
// reads the file that BALANCER_CONFIG names, limits the process to one core, and cancels the context on SIGTERM.
type runningNode struct {
	node      *node.Node
	log       *logBuffer
	shutdown  context.CancelFunc
	runResult chan error // receives what Run returned
}

// startNode writes a configuration to a temporary file, reads it, and starts a node with it. The node runs until stop,
// even after ctx is done, so that its clients get all responses.
func startNode(ctx context.Context, addresses examples.Addresses) (*runningNode, error) {
	config, err := writeAndReadConfig(examples.ConfigWith(addresses))
	if err != nil {
		return nil, err
	}
	n := &runningNode{log: &logBuffer{}, runResult: make(chan error, 1)}
	log := slog.New(slog.NewTextHandler(n.log, nil)).With("node", config.Name, "zone", config.Zone)
	if n.node, err = node.New(config, log); err != nil {
		return nil, err
	}
	runCtx, shutdown := context.WithCancel(context.WithoutCancel(ctx))
	n.shutdown = shutdown
	go func() { n.runResult <- n.node.Run(runCtx) }()
	return n, nil
}

// writeAndReadConfig writes a configuration file, as a deployment does, and reads it, as the command balancer does.
func writeAndReadConfig(text string) (node.Config, error) {
	dir, err := os.MkdirTemp("", "quickstart")
	if err != nil {
		return node.Config{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return node.Config{}, err
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return node.Config{}, err
	}
	return node.ParseConfig(content)
}

// address returns the address on which the node accepts connections.
func (n *runningNode) address() string { return n.node.Addr() }

// errNotStopped is the error of stop when the node is still running after the timeout.
var errNotStopped = errors.New("the node did not stop in time")

// stop has the node drain and stop, as SIGTERM does, and waits until it has stopped.
func (n *runningNode) stop(timeout time.Duration) error {
	n.shutdown()
	select {
	case err := <-n.runResult:
		if err != nil {
			return fmt.Errorf("the node did not stop cleanly: %w\n%s", err, n.log)
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%w: the timeout is %v\n%s", errNotStopped, timeout, n.log)
	}
}

// logBuffer collects the node's log in memory.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends a line to the log.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// String returns the log so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// lastLine returns the last line that contains a text, or an empty string if there is none.
func (b *logBuffer) lastLine(text string) (last string) {
	for line := range strings.Lines(b.String()) {
		if strings.Contains(line, text) {
			last = strings.TrimSpace(line)
		}
	}
	return last
}
