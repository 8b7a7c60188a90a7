// Command quickstart shows a node at work, on the loopback addresses of this machine alone. It starts a registry
// agent and three servers, all stand-ins, and the real node in front of them. Then clients send a few hundred requests
// while one server crashes and another one drains. The program prints which server answered how many of them, and the
// node's own traffic line.
//
// It takes no arguments and ends by itself. The exit status is 0 if everything went as it should, and 1 otherwise, with
// a line on standard error that says what was amiss.
//
// # Where to read on
//
//   - main.go: what happens, in order
//   - phases.go: the phases of the run, and what happens in each
//   - node.go: how a program starts and stops a node
//   - registry.go, server.go, client.go: the three parties that a node talks to
//   - check.go, report.go: what clients and servers may expect of a node, and the table
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"basaltdrum/examples"
)

// Limits of the run, 10 s together. On an idle machine it takes less than two.
const (
	playLimit = 6 * time.Second // for the phases
	stopLimit = 4 * time.Second // for the node to stop; its own limit is 3.6 s, by the settings of the example
)

var errPlayLimit = fmt.Errorf("the phases took longer than %v", playLimit)

func main() {
	ctx, cancel := context.WithTimeoutCause(context.Background(), playLimit, errPlayLimit)
	defer cancel()
	if err := run(ctx, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "quickstart: %v\n", err)
		os.Exit(1)
	}
}

// run plays all phases, writes the report to out, and returns an error for the first thing that was amiss. When ctx
// ends, it ends too, once the node has stopped.
func run(ctx context.Context, out io.Writer) error {
	servers, err := startServers()
	if err != nil {
		return err
	}
	defer servers.close()
	agent, err := startAgent(servers.addresses())
	if err != nil {
		return err
	}
	defer agent.close()
	balancer, err := startNode(ctx, examples.Addresses{
		Listen: anyPort, Discovery: agent.address, Servers: servers.addresses(),
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "a node on %s, in front of three servers, with the settings of examples/config.json\n\n",
		balancer.address())

	results, err := playPhases(ctx, balancer, agent, servers)
	if stopErr := balancer.stop(stopLimit); stopErr != nil {
		err = errors.Join(err, stopErr)
	}
	writeReport(out, results, balancer.log.line("msg=traffic"))
	if err != nil {
		return err
	}
	return checkResults(results, servers)
}
