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

// chainWarmUp is the time in which connections are opened. The latency of its calls is left out.
const chainWarmUp = time.Second

// chainRound is how long calls take one path before they take the other. Since the two alternate, other load on the
// machine affects both alike.
const chainRound = time.Second

// loadGenerator makes calls at some addresses, in an open loop at the same rate for each.
type loadGenerator struct {
	client    *client
	addresses []string
	name      string
	rate      float64
	seed      uint64
	lateness  *latencies
	latency   *latencies
	warmUp    time.Duration // what is left of it
	rounds    int
	cores     float64 // in use over the whole machine, summed over the rounds

	mu    sync.Mutex
	tally Tally
}

// play makes calls for a while, and waits for their answers.
func (t *loadGenerator) play(ctx context.Context, length time.Duration) {
	warm := time.Now().Add(t.warmUp)
	t.warmUp -= min(t.warmUp, length)
	t.rounds++
	var senders, calls sync.WaitGroup
	for c, head := range t.addresses {
		senders.Add(1)
		go func() {
			defer senders.Done()
			n := 0
			NewArrivals(t.rate, t.seed, uint64(t.rounds*len(t.addresses)+c)).Play(ctx, length, func(drawn time.Time) {
				t.lateness.add(time.Since(drawn))
				id := fmt.Sprintf("%s-%d-%d-%d", t.name, t.rounds, c, n)
				n++
				calls.Add(1)
				go func() {
					defer calls.Done()
					t.call(ctx, head, id, drawn, drawn.After(warm))
				}()
			})
		}()
	}
	senders.Wait()
	calls.Wait()
}

func (t *loadGenerator) call(ctx context.Context, head, id string, drawn time.Time, counts bool) {
	got, _ := t.client.call(ctx, head, callClass, id, drawn.Add(time.Duration(callDeadline*float64(time.Second))))
	if got == served && counts {
		t.latency.add(time.Since(drawn))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.Offered++
	switch got {
	case served:
		t.tally.Served++
	case rejected:
		t.tally.Rejected++
	default:
		t.tally.Failed++
	}
}

// figures returns what the calls showed.
func (t *loadGenerator) figures() PathFigures {
	w := PathFigures{Tally: t.tally, Lateness: t.lateness.quantiles(), Latency: t.latency.quantiles(), Cores: t.cores / float64(t.rounds)}
	w.ScheduleKept = w.Lateness.P99 <= maxSendLateness
	return w
}

// Chain compares calls through nodes with calls that servers make to one another directly.
type Chain struct {
	Depth   int         `json:"depth"`
	Chains  int         `json:"chains"`
	Rate    float64     `json:"rate"` // calls a second at each node
	Direct  PathFigures `json:"direct"`
	Through PathFigures `json:"through"`
	// Differences of the quantiles of the two ways, in milliseconds: added by all nodes of the chain.
	AddedP50  float64 `json:"added_p50_ms"`
	AddedP99  float64 `json:"added_p99_ms"`
	AddedP999 float64 `json:"added_p99_9_ms"`
}

// chain makes calls in turns directly and through the nodes. It also returns the cores that each node used while
// calls went through it.
func (r *run) chain(ctx context.Context) (*Chain, []float64, error) {
	rounds := max(1, int(r.args.For/(2*chainRound)))
	length := r.args.For / time.Duration(2*rounds)
	begin := func(name string) *loadGenerator {
		return &loadGenerator{
			client: r.client, name: name, rate: r.args.Rate, seed: r.args.Seed, lateness: newLatencies(),
			latency: newLatencies(), warmUp: min(chainWarmUp, r.args.For/10),
		}
	}
	direct, through := begin("direct"), begin("through")
	for c, chain := range r.serverAddresses.Direct {
		direct.addresses = append(direct.addresses, chain[0])
		through.addresses = append(through.addresses, r.real[c*r.args.Depth].address)
	}
	used := make([]float64, len(r.real))
	for range rounds {
		for _, t := range []*loadGenerator{direct, through} {
			before, err := r.usage()
			if err != nil {
				return nil, nil, err
			}
			t.play(ctx, length)
			after, err := r.usage()
			if err != nil {
				return nil, nil, err
			}
			t.cores += cores(after.busy-before.busy, before.at, after.at)
			for i := range used {
				if t == through {
					used[i] += cores(after.real[i].CPU-before.real[i].CPU, before.at, after.at) / float64(rounds)
				}
			}
		}
	}
	c := &Chain{Depth: r.args.Depth, Chains: len(r.serverAddresses.Direct), Rate: r.args.Rate, Direct: direct.figures(), Through: through.figures()}
	c.AddedP50 = c.Through.Latency.P50 - c.Direct.Latency.P50
	c.AddedP99 = c.Through.Latency.P99 - c.Direct.Latency.P99
	c.AddedP999 = c.Through.Latency.P999 - c.Direct.Latency.P999
	return c, used, nil
}
