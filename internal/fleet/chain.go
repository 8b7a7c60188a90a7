package fleet

import (
	"context"
	"time"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/fleet/process"
	"basaltdrum/internal/fleet/report"
)

// chainWarmUp is the time in which connections are opened. The latency of its calls is left out.
const chainWarmUp = time.Second

// chainRoundLength is how long calls take one path before they take the other. Since the two alternate, other load on
// the machine affects both alike.
const chainRoundLength = time.Second

// chain makes calls in turns directly and through the nodes. It also returns the cores that each node used while
// calls went through it.
func (r *run) chain(ctx context.Context) (*report.Chain, []float64, error) {
	rounds := max(1, int(r.args.For/(2*chainRoundLength)))
	length := r.args.For / time.Duration(2*rounds)
	direct, through := r.chainGenerators()
	nodeCores := make([]float64, len(r.real))
	for range rounds {
		if _, err := r.chainRound(ctx, direct, length); err != nil {
			return nil, nil, err
		}
		used, err := r.chainRound(ctx, through, length)
		if err != nil {
			return nil, nil, err
		}
		for i := range nodeCores {
			nodeCores[i] += used[i] / float64(rounds)
		}
	}
	c := &report.Chain{Depth: r.args.Depth, Chains: len(r.serverAddresses.Direct), Rate: r.args.Rate}
	c.Compare(direct.Figures(), through.Figures())
	return c, nodeCores, nil
}

// chainGenerators returns the generators of calls at the first server and at the first node of each chain.
func (r *run) chainGenerators() (direct, through *load.Generator) {
	directLoad := load.Spec{
		Name: "direct", Rate: r.args.Rate, Seed: r.args.Seed, WarmUp: min(chainWarmUp, r.args.For/10),
	}
	throughLoad := directLoad
	throughLoad.Name = "through"
	for c, chain := range r.serverAddresses.Direct {
		directLoad.Addresses = append(directLoad.Addresses, chain[0])
		throughLoad.Addresses = append(throughLoad.Addresses, r.real[c*r.args.Depth].Address())
	}
	return load.NewGenerator(r.client, directLoad), load.NewGenerator(r.client, throughLoad)
}

// chainRound makes one round of calls, and returns the cores that each node used meanwhile.
func (r *run) chainRound(ctx context.Context, g *load.Generator, length time.Duration) ([]float64, error) {
	before, err := r.usage()
	if err != nil {
		return nil, err
	}
	g.RunRound(ctx, length)
	after, err := r.usage()
	if err != nil {
		return nil, err
	}
	g.AddCores(process.CoresInUse(after.busy-before.busy, before.at, after.at))
	nodeCores := make([]float64, len(r.real))
	for i := range nodeCores {
		nodeCores[i] = process.CoresInUse(after.real[i].CPU-before.real[i].CPU, before.at, after.at)
	}
	return nodeCores, nil
}
