// Command quickstart demonstrates a node, using only loopback addresses. It starts stand-ins for a registry agent and
// three servers, and the real node in front of them. Then clients send a few hundred requests while one server crashes
// and another one drains. The program prints how many of them each server served, and the node's own traffic line.
//
// It takes no arguments and exits by itself: with status 0 if all results were as expected, and otherwise with status 1
// and a line on standard error that describes the problem.
//
// # Source files
//
//   - main.go: the run as a whole
//   - phases.go: the phases of the run, and what happens in each
//   - node.go: how a program starts and stops a node
//   - registry.go, server.go, client.go: the three parties that a node communicates with
//   - check.go, report.go: what clients and servers may expect of a node, and the table of results
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

// Timeouts of the run, 10 s together. On an idle machine it takes less than 2 s.
const (
	phasesTimeout = 6 * time.Second // for all phases
	stopTimeout   = 4 * time.Second // for the node to stop; its own limit is 3.6 s with the settings of the example
)

var errPhasesTimeout = fmt.Errorf("the phases took longer than %v", phasesTimeout)

func main() {
	ctx, cancel := context.WithTimeoutCause(context.Background(), phasesTimeout, errPhasesTimeout)
	defer cancel()
	if err := run(ctx, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "quickstart: %v\n", err)
		os.Exit(1)
	}
}

// run runs all phases, writes the report to out, and returns an error for the first problem. When ctx is done, it stops
// the node and returns early.
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

	results, err := runPhases(ctx, balancer, agent, servers)
	if stopErr := balancer.stop(stopTimeout); stopErr != nil {
		err = errors.Join(err, stopErr)
	}
	writeReport(out, results, balancer.log.lastLine("msg=traffic"))
	if err != nil {
		return err
	}
	return checkResults(results, servers)
}
