package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"basaltdrum/internal/fleet/stats"
)

// PathFigures are the figures of calls on one path through a chain: directly from server to server, or through the
// nodes between them.
type PathFigures struct {
	stats.Tally
	// Lateness is of sends, after the times drawn.
	Lateness stats.Quantiles `json:"late"`
	// Latency is of served calls, from the time drawn to the answer, without the first second.
	Latency      stats.Quantiles `json:"latency"`
	ScheduleKept bool            `json:"schedule_kept"`
	Cores        float64         `json:"machine_cores"` // processor cores in use over the whole machine meanwhile
}

// maxSendLateness is how late the 99th percentile of sends may be, in milliseconds, for the schedule to count as
// kept.
const maxSendLateness = 1.0

// ScheduleKept says whether calls were sent at the times drawn, by how late the sends were.
func ScheduleKept(lateness stats.Quantiles) bool { return lateness.P99 <= maxSendLateness }

// Generator makes calls at some addresses, in an open loop at the same rate for each. One round is made
// at a time.
type Generator struct {
	spec   Spec
	client *Client

	lateness   *stats.Latencies
	latency    *stats.Latencies
	warmUpLeft time.Duration
	rounds     int
	cores      float64 // in use over the whole machine, summed over the rounds

	mu    sync.Mutex
	tally stats.Tally
}

// Spec describes the calls of a Generator.
type Spec struct {
	Name      string // starts the ids of the calls
	Addresses []string
	Rate      float64 // calls a second at each address
	Seed      uint64
	WarmUp    time.Duration // the latency of calls in it is left out
}

// NewGenerator returns a generator of a load. It starts nothing before its first round.
func NewGenerator(client *Client, spec Spec) *Generator {
	return &Generator{
		client: client, spec: spec, warmUpLeft: spec.WarmUp,
		lateness: stats.NewLatencies(), latency: stats.NewLatencies(),
	}
}

// Play makes one round of calls, and waits for their answers.
func (g *Generator) Play(ctx context.Context, length time.Duration) {
	warm := time.Now().Add(g.warmUpLeft)
	g.warmUpLeft -= min(g.warmUpLeft, length)
	g.rounds++
	var senders, calls sync.WaitGroup
	for i := range g.spec.Addresses {
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
func (g *Generator) send(
	ctx context.Context, index int, length time.Duration, warm time.Time, calls *sync.WaitGroup,
) {
	arrivals := NewArrivals(g.spec.Rate, g.spec.Seed, uint64(g.rounds*len(g.spec.Addresses)+index))
	sent := 0
	arrivals.Play(ctx, length, func(drawn time.Time) {
		g.lateness.Add(time.Since(drawn))
		id := fmt.Sprintf("%s-%d-%d-%d", g.spec.Name, g.rounds, index, sent)
		sent++
		calls.Add(1)
		go func() {
			defer calls.Done()
			g.call(ctx, g.spec.Addresses[index], id, drawn, drawn.After(warm))
		}()
	})
}

// call makes one call, and notes its latency if it is measured.
func (g *Generator) call(ctx context.Context, address, id string, drawn time.Time, measured bool) {
	got, _ := g.client.Call(ctx, address, Class, id, drawn.Add(Deadline)) // the outcome says all that counts
	if got == Served && measured {
		g.latency.Add(time.Since(drawn))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tally.Offered++
	switch got {
	case Served:
		g.tally.Served++
	case Rejected:
		g.tally.Rejected++
	default:
		g.tally.Failed++
	}
}

// AddCores notes how many cores of the machine were in use during the last round.
func (g *Generator) AddCores(used float64) { g.cores += used }

// Figures returns what the calls of all rounds showed.
func (g *Generator) Figures() PathFigures {
	lateness := g.lateness.Quantiles()
	return PathFigures{
		Tally: g.tally, Lateness: lateness, Latency: g.latency.Quantiles(),
		ScheduleKept: ScheduleKept(lateness), Cores: g.cores / float64(g.rounds),
	}
}
