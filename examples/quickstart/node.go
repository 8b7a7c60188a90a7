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

// runningNode is the real node, in this process. The command balancer does the same, except that it reads
// BALANCER_CONFIG, limits the process to one core, and ends the context when SIGTERM comes.
type runningNode struct {
	node     *node.Node
	log      *logBuffer
	shutdown context.CancelFunc
	ended    chan error // gets what Run returned
}

// startNode writes a configuration to a temporary file, reads it, and starts a node with it. The node outlives ctx, as
// its clients must not miss a response: it runs until stop.
func startNode(ctx context.Context, addresses examples.Addresses) (*runningNode, error) {
	config, err := writeAndReadConfig(examples.ConfigWith(addresses))
	if err != nil {
		return nil, err
	}
	n := &runningNode{log: &logBuffer{}, ended: make(chan error, 1)}
	log := slog.New(slog.NewTextHandler(n.log, nil)).With("node", config.Name, "zone", config.Zone)
	if n.node, err = node.New(config, log); err != nil {
		return nil, err
	}
	running, shutdown := context.WithCancel(context.WithoutCancel(ctx))
	n.shutdown = shutdown
	go func() { n.ended <- n.node.Run(running) }()
	return n, nil
}

// writeAndReadConfig writes a configuration file, as whoever deploys a node does, and reads it, as the node does.
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
	read, err := os.ReadFile(path)
	if err != nil {
		return node.Config{}, err
	}
	return node.ParseConfig(read)
}

// address returns where the node accepts connections.
func (n *runningNode) address() string { return n.node.Addr() }

// errNotStopped says that the node was still running when the time to stop was over.
var errNotStopped = errors.New("the node did not stop in time")

// stop has the node drain, as SIGTERM does, and waits for its end.
func (n *runningNode) stop(limit time.Duration) error {
	n.shutdown()
	select {
	case err := <-n.ended:
		if err != nil {
			return fmt.Errorf("the node did not stop cleanly: %w\n%s", err, n.log)
		}
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%w, which is %v\n%s", errNotStopped, limit, n.log)
	}
}

// logBuffer keeps the node's log in memory.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends a line of the log.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// String returns the log as it is now.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// line returns the last line that contains a text, or nothing.
func (b *logBuffer) line(with string) (last string) {
	for line := range strings.Lines(b.String()) {
		if strings.Contains(line, with) {
			last = strings.TrimSpace(line)
		}
	}
	return last
}
