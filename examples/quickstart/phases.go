package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	clientCount      = 4   // clients that send at the same time, one request each
	requestsPerPhase = 120 // by all clients together

	// stopSendingWithin is how long a node may keep sending to a server that is listed as terminating.
	stopSendingWithin = 250 * time.Millisecond
)

// phase is a part of the run.
type phase struct {
	name string
	// change is what happens after a quarter of the requests, while the others are being sent. Nil: nothing.
	change func()
	// settle waits behind the last request until the change must be in force. Nil: at once.
	settle func(context.Context) error
	// mayLose says that a server crashes. An order that it may have begun is answered as failed, not repeated.
	mayLose bool
}

// phaseResult is how the requests of a phase ended.
type phaseResult struct {
	phase
	results []result
}

// planPhases returns the phases in their order.
func planPhases(agent *agent, servers serverGroup) []phase {
	var drainedAt time.Time
	return []phase{
		{name: "all three are in service"},
		{
			name:    "server-2 crashes, and stays in the list",
			change:  servers[crashingServer].crash,
			mayLose: true,
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
// each request that the server gets is one too many.
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

// playPhases has the clients send the requests of all phases. It returns the results of those that were played.
func playPhases(ctx context.Context, balancer *runningNode, agent *agent, servers serverGroup) ([]phaseResult, error) {
	clients := newClients(balancer.address())
	defer clients.close()
	if err := clients.awaitReady(ctx); err != nil {
		return nil, err
	}
	var played []phaseResult
	for i, p := range planPhases(agent, servers) {
		played = append(played, phaseResult{phase: p, results: clients.play(ctx, p, i*requestsPerPhase)})
		if ctx.Err() != nil {
			return played, context.Cause(ctx)
		}
		if p.settle == nil {
			continue
		}
		if err := p.settle(ctx); err != nil {
			return played, err
		}
	}
	return played, nil
}

// play sends the requests of a phase, by clientCount clients at the same time.
func (c *clients) play(ctx context.Context, p phase, first int) []result {
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
