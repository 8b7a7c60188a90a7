package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// PathFigures are the figures of calls on one path through a chain: directly from server to server, or through the
// nodes between them.
type PathFigures struct {
	Tally
	Lateness     Quantiles `json:"late"`    // of sends, after the times drawn
	Latency      Quantiles `json:"latency"` // of served calls, from the time drawn to the answer, without the first second
	ScheduleKept bool      `json:"schedule_kept"`
	Cores        float64   `json:"machine_cores"` // processor cores in use over the whole machine meanwhile
}

// maxSendLateness is how late the 99th percentile of sends may be, in milliseconds, for the schedule to count as
// kept.
const maxSendLateness = 1.0

// scheduleKept says whether calls were sent at the times drawn, by how late the sends were.
func scheduleKept(lateness Quantiles) bool { return lateness.P99 <= maxSendLateness }

// loadGenerator makes calls at some addresses, in an open loop at the same rate for each. One round is made
// at a time.
type loadGenerator struct {
	spec   loadSpec
	client *client

	lateness   *latencies
	latency    *latencies
	warmUpLeft time.Duration
	rounds     int
	cores      float64 // in use over the whole machine, summed over the rounds

	mu    sync.Mutex
	tally Tally
}

// loadSpec describes the calls of a loadGenerator.
type loadSpec struct {
	name      string // starts the ids of the calls
	addresses []string
	rate      float64 // calls a second at each address
	seed      uint64
	warmUp    time.Duration // the latency of calls in it is left out
}

// newLoadGenerator returns a generator of a load. It starts nothing before its first round.
func newLoadGenerator(client *client, spec loadSpec) *loadGenerator {
	return &loadGenerator{
		client: client, spec: spec, warmUpLeft: spec.warmUp, lateness: newLatencies(), latency: newLatencies(),
	}
}

// play makes one round of calls, and waits for their answers.
func (g *loadGenerator) play(ctx context.Context, length time.Duration) {
	warm := time.Now().Add(g.warmUpLeft)
	g.warmUpLeft -= min(g.warmUpLeft, length)
	g.rounds++
	var senders, calls sync.WaitGroup
	for i := range g.spec.addresses {
		senders.Add(1)
		go func() {
			defer senders.Done()
			g.send(ctx, i, length, warm, &calls)
		}()
	}
	senders.Wait()
	calls.Wait()
}

// send makes one round's calls at the address with an index, and adds each to calls until it is answered.
func (g *loadGenerator) send(
	ctx context.Context, index int, length time.Duration, warm time.Time, calls *sync.WaitGroup,
) {
	arrivals := NewArrivals(g.spec.rate, g.spec.seed, uint64(g.rounds*len(g.spec.addresses)+index))
	sent := 0
	arrivals.Play(ctx, length, func(drawn time.Time) {
		g.lateness.add(time.Since(drawn))
		id := fmt.Sprintf("%s-%d-%d-%d", g.spec.name, g.rounds, index, sent)
		sent++
		calls.Add(1)
		go func() {
			defer calls.Done()
			g.call(ctx, g.spec.addresses[index], id, drawn, drawn.After(warm))
		}()
	})
}

// call makes one call, and notes its latency if it is measured.
func (g *loadGenerator) call(ctx context.Context, address, id string, drawn time.Time, measured bool) {
	got, _ := g.client.call(ctx, address, callClass, id, drawn.Add(callDeadline)) // the outcome says all that counts
	if got == served && measured {
		g.latency.add(time.Since(drawn))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tally.Offered++
	switch got {
	case served:
		g.tally.Served++
	case rejected:
		g.tally.Rejected++
	default:
		g.tally.Failed++
	}
}

// addCores notes how many cores of the machine were in use during the last round.
func (g *loadGenerator) addCores(used float64) { g.cores += used }

// figures returns what the calls of all rounds showed.
func (g *loadGenerator) figures() PathFigures {
	lateness := g.lateness.quantiles()
	return PathFigures{
		Tally: g.tally, Lateness: lateness, Latency: g.latency.quantiles(),
		ScheduleKept: scheduleKept(lateness), Cores: g.cores / float64(g.rounds),
	}
}
