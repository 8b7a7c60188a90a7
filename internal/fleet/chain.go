package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Way is what calls met on one way through a chain.
type Way struct {
	Tally
	Late    Quantiles `json:"late"`    // of sends, against the times drawn
	Latency Quantiles `json:"latency"` // of served calls, from the time drawn to the answer, without the first second
	Kept    bool      `json:"schedule_kept"`
	Cores   float64   `json:"machine_cores"` // processor cores in use over the whole machine meanwhile
}

// keptWithin is how late 99 in 100 sends may be for the schedule to count as kept.
const keptWithin = 1.0 // ms

// chainWarm is for connections to be opened; the latency of its calls is left out.
const chainWarm = time.Second

// chainRound is how long calls go one way before they go the other: what else the machine does is then much
// the same for both.
const chainRound = time.Second

// traveller makes calls at the heads of chains, at a rate each, in an open loop.
type traveller struct {
	caller  *caller
	heads   []string
	name    string
	rate    float64
	seed    uint64
	late    *latencies
	latency *latencies
	warm    time.Duration // left of it
	rounds  int
	cores   float64 // in use over the whole machine, summed over the rounds

	mu    sync.Mutex
	tally Tally
}

// play makes calls for a while, and waits for their answers.
func (t *traveller) play(ctx context.Context, length time.Duration) {
	warm := time.Now().Add(t.warm)
	t.warm -= min(t.warm, length)
	t.rounds++
	var players, calls sync.WaitGroup
	for c, head := range t.heads {
		players.Add(1)
		go func() {
			defer players.Done()
			n := 0
			NewArrivals(t.rate, t.seed, uint64(t.rounds*len(t.heads)+c)).Play(ctx, length, func(drawn time.Time) {
				t.late.add(time.Since(drawn))
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
	players.Wait()
	calls.Wait()
}

func (t *traveller) call(ctx context.Context, head, id string, drawn time.Time, counts bool) {
	got, _ := t.caller.call(ctx, head, callClass, id, drawn.Add(time.Duration(callDeadline*float64(time.Second))))
	if got == served && counts {
		t.latency.add(time.Since(drawn))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.Offered++
	switch got {
	case served:
		t.tally.Served++
	case refused:
		t.tally.Refused++
	default:
		t.tally.Failed++
	}
}

// way is what the calls met.
func (t *traveller) way() Way {
	w := Way{Tally: t.tally, Late: t.late.quantiles(), Latency: t.latency.quantiles(), Cores: t.cores / float64(t.rounds)}
	w.Kept = w.Late.P99 <= keptWithin
	return w
}

// Chain compares calls through nodes with calls that servers make to one another directly.
type Chain struct {
	Depth   int     `json:"depth"`
	Chains  int     `json:"chains"`
	Rate    float64 `json:"rate"` // calls a second at each node
	Direct  Way     `json:"direct"`
	Through Way     `json:"through"`
	// Differences of the quantiles of the two ways, in milliseconds: added by all nodes of the chain.
	AddedP50  float64 `json:"added_p50_ms"`
	AddedP99  float64 `json:"added_p99_ms"`
	AddedP999 float64 `json:"added_p99_9_ms"`
}

// chain plays in turns directly and through the nodes. It tells what each node used while calls went through
// it, in cores.
func (r *run) chain(ctx context.Context) (*Chain, []float64, error) {
	rounds := max(1, int(r.args.For/(2*chainRound)))
	length := r.args.For / time.Duration(2*rounds)
	begin := func(name string) *traveller {
		return &traveller{
			caller: r.caller, name: name, rate: r.args.Rate, seed: r.args.Seed, late: newLatencies(),
			latency: newLatencies(), warm: min(chainWarm, r.args.For/10),
		}
	}
	direct, through := begin("direct"), begin("through")
	for c, chain := range r.at.Direct {
		direct.heads = append(direct.heads, chain[0])
		through.heads = append(through.heads, r.real[c*r.args.Depth].address)
	}
	used := make([]float64, len(r.real))
	for range rounds {
		for _, t := range []*traveller{direct, through} {
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
	c := &Chain{Depth: r.args.Depth, Chains: len(r.at.Direct), Rate: r.args.Rate, Direct: direct.way(), Through: through.way()}
	c.AddedP50 = c.Through.Latency.P50 - c.Direct.Latency.P50
	c.AddedP99 = c.Through.Latency.P99 - c.Direct.Latency.P99
	c.AddedP999 = c.Through.Latency.P999 - c.Direct.Latency.P999
	return c, used, nil
}
