package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	clientCount      = 4   // concurrent clients, each of which sends one request at a time
	requestsPerPhase = 120 // by all clients together

	// stopSendingWithin is how long a node may keep sending to a server that is listed as terminating.
	stopSendingWithin = 250 * time.Millisecond
)

// phase is a part of the run.
type phase struct {
	name string
	// change is called after a quarter of the requests, while clients send the others. It may be nil.
	change func()
	// settle waits after the last request until the change must have taken effect. It may be nil.
	settle func(context.Context) error
	// mayLoseOrders is set if a server crashes. An order that it may have started gets a failure response and no retry.
	mayLoseOrders bool
}

// phaseResult holds the results of the requests of a phase.
type phaseResult struct {
	phase
	results []result
}

// planPhases returns the phases in order.
func planPhases(agent *agent, servers serverGroup) []phase {
	var drainedAt time.Time
	return []phase{
		{name: "all three are in service"},
		{
			name:          "server-2 crashes, and stays in the list",
			change:        servers[crashingServer].crash,
			mayLoseOrders: true,
		},
		{
			name:   "server-3 is listed as terminating",
			change: func() { drainedAt = time.Now(); agent.drain(drainingServer) },
			settle: func(ctx context.Context) error {
				return settleDrain(ctx, agent, servers[drainingServer], drainedAt)
			},
		},
		{name: "server-1 is left"},
	}
}

// settleDrain waits until the node has been notified of the drain and the time to stop sending is over. From then on
// the server must not receive any request.
func settleDrain(ctx context.Context, agent *agent, draining *server, drainedAt time.Time) error {
	if err := agent.awaitConfirmed(ctx); err != nil {
		return fmt.Errorf("the node did not ask for changes of the endpoint list: %w", err)
	}
	select {
	case <-time.After(time.Until(drainedAt.Add(stopSendingWithin))):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	draining.drained.Store(true)
	draining.stoppedAt = time.Now()
	return nil
}

// runPhases has the clients send the requests of all phases. It returns the results of the phases that were run.
func runPhases(ctx context.Context, balancer *runningNode, agent *agent, servers serverGroup) ([]phaseResult, error) {
	clients := newClients(balancer.address())
	defer clients.close()
	if err := clients.awaitReady(ctx); err != nil {
		return nil, err
	}
	var completed []phaseResult
	for i, p := range planPhases(agent, servers) {
		completed = append(completed, phaseResult{phase: p, results: clients.runPhase(ctx, p, i*requestsPerPhase)})
		if ctx.Err() != nil {
			return completed, context.Cause(ctx)
		}
		if p.settle == nil {
			continue
		}
		if err := p.settle(ctx); err != nil {
			return completed, err
		}
	}
	return completed, nil
}

// runPhase sends the requests of a phase from clientCount concurrent clients. Their numbers start at first.
func (c *clients) runPhase(ctx context.Context, p phase, first int) []result {
	results := make([]result, requestsPerPhase)
	next := make(chan int)
	var sending sync.WaitGroup
	for range clientCount {
		sending.Add(1)
		go func() {
			defer sending.Done()
			for i := range next {
				results[i] = c.send(ctx, classMix[i%len(classMix)], first+i)
			}
		}()
	}
	for i := range results {
		if i == requestsPerPhase/4 && p.change != nil {
			p.change()
		}
		next <- i
	}
	close(next)
	sending.Wait()
	return results
}
