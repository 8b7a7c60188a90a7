package fleet

import (
	"context"
	"time"
)

// chainWarmUp is the time in which connections are opened. The latency of its calls is left out.
const chainWarmUp = time.Second

// chainRound is how long calls take one path before they take the other. Since the two alternate, other load on the
// machine affects both alike.
const chainRound = time.Second

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
