// Command balancer runs one load-balancing node. It takes no arguments: the environment variable BALANCER_CONFIG
// names its configuration, a JSON file, and the log goes to standard error.
//
// SIGHUP reloads the configuration. SIGTERM or SIGINT starts a graceful shutdown. The exit status is 0 after a
// complete shutdown and 1 after an error, which is written to standard error. docs/OPERATIONS.md has the details.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"basaltdrum/internal/node"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "balancer: %v\n", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, and then until the node has drained.
func run() error {
	// SIGHUP terminates a process that does not handle it, so the handler is registered first.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := node.LoadConfig()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node.LimitResources(cfg)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", cfg.Name, "zone", cfg.Zone)
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	log.Info("serving", "address", n.Addr())
	reloadCtx, stopReloads := context.WithCancel(context.Background())
	defer stopReloads()
	go reloadOnSignal(reloadCtx, hangups, n, log) // also while the node drains
	return n.Run(ctx)
}

// reloadOnSignal reloads the configuration on each signal until ctx ends.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, n *node.Node, log *slog.Logger) {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		cfg, err := node.LoadConfig()
		if err != nil {
			log.Error("configuration rejected, the previous one stays in force", "error", err)
			continue
		}
		n.Reload(cfg)
	}
}
