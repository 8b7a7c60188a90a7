package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"basaltdrum/internal/fleet/stats"
)

// PathFigures holds the figures of the calls on one path of a chain: directly from server to server, or through the
// nodes between them.
type PathFigures struct {
	stats.Tally
	// Lateness is how long after their scheduled times calls were sent.
	Lateness stats.Quantiles `json:"late"`
	// Latency is the time from the scheduled time to the response, for served calls scheduled after the warm-up.
	Latency      stats.Quantiles `json:"latency"`
	ScheduleKept bool            `json:"schedule_kept"`
	Cores        float64         `json:"machine_cores"` // mean CPU cores in use on the whole machine meanwhile
}

// maxSendLateness is the largest 99th percentile of the sends' lateness, in milliseconds, with which the schedule
// counts as kept.
const maxSendLateness = 1.0

// ScheduleKept reports whether calls were sent close enough to their scheduled times, given their lateness.
func ScheduleKept(lateness stats.Quantiles) bool { return lateness.P99 <= maxSendLateness }

// Generator makes open-loop calls to a set of addresses, at the same rate for each. Only one round may run at a time.
type Generator struct {
	spec   Spec
	client *Client

	lateness        *stats.Latencies
	latency         *stats.Latencies
	remainingWarmUp time.Duration
	rounds          int
	cores           float64 // in use on the whole machine, summed over the rounds

	mu    sync.Mutex
	tally stats.Tally
}

// Spec describes the calls of a Generator.
type Spec struct {
	Name      string // prefix of the call ids
	Addresses []string
	Rate      float64 // calls per second at each address
	Seed      uint64
	WarmUp    time.Duration // time at the start in which latency is not recorded
}

// NewGenerator returns a generator of the calls that spec describes. It is idle until RunRound is called.
func NewGenerator(client *Client, spec Spec) *Generator {
	return &Generator{
		client: client, spec: spec, remainingWarmUp: spec.WarmUp,
		lateness: stats.NewLatencies(), latency: stats.NewLatencies(),
	}
}

// RunRound makes calls for the given length, and waits for their responses.
func (g *Generator) RunRound(ctx context.Context, length time.Duration) {
	warmUpEnd := time.Now().Add(g.remainingWarmUp)
	g.remainingWarmUp -= min(g.remainingWarmUp, length)
	g.rounds++
	var senders, calls sync.WaitGroup
	for i := range g.spec.Addresses {
		senders.Add(1)
		go func() {
			defer senders.Done()
			g.sendCalls(ctx, i, length, warmUpEnd, &calls)
		}()
	}
	senders.Wait()
	calls.Wait()
}

// sendCalls makes one round's calls to the address with the given index. Each is counted in calls until it is answered.
func (g *Generator) sendCalls(
	ctx context.Context, index int, length time.Duration, warmUpEnd time.Time, calls *sync.WaitGroup,
) {
	arrivals := NewArrivals(g.spec.Rate, g.spec.Seed, uint64(g.rounds*len(g.spec.Addresses)+index))
	sent := 0
	arrivals.Run(ctx, length, func(scheduled time.Time) {
		g.lateness.Add(time.Since(scheduled))
		id := fmt.Sprintf("%s-%d-%d-%d", g.spec.Name, g.rounds, index, sent)
		sent++
		calls.Add(1)
		go func() {
			defer calls.Done()
			g.call(ctx, g.spec.Addresses[index], id, scheduled, scheduled.After(warmUpEnd))
		}()
	})
}

// call makes one call and counts its outcome. It records the latency of a served call if measured is set.
func (g *Generator) call(ctx context.Context, address, id string, scheduled time.Time, measured bool) {
	outcome, _ := g.client.Call(ctx, address, Class, id, scheduled.Add(Deadline)) // only the outcome is counted
	if outcome == Served && measured {
		g.latency.Add(time.Since(scheduled))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tally.Offered++
	switch outcome {
	case Served:
		g.tally.Served++
	case Rejected:
		g.tally.Rejected++
	default:
		g.tally.Failed++
	}
}

// AddCores records how many cores of the machine were in use during the last round.
func (g *Generator) AddCores(used float64) { g.cores += used }

// Figures returns the figures of the calls of all rounds.
func (g *Generator) Figures() PathFigures {
	lateness := g.lateness.Quantiles()
	return PathFigures{
		Tally: g.tally, Lateness: lateness, Latency: g.latency.Quantiles(),
		ScheduleKept: ScheduleKept(lateness), Cores: g.cores / float64(g.rounds),
	}
}
