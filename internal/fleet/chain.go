package fleet

import (
	"context"
	"time"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/fleet/process"
	"basaltdrum/internal/fleet/report"
)

// chainWarmUp is the time in which connections are opened. The latency of calls in it is not recorded.
const chainWarmUp = time.Second

// chainRoundLength is how long calls use one path before they use the other. The paths alternate so that other load on
// the machine affects both equally.
const chainRoundLength = time.Second

// measureChain makes calls alternately directly and through the nodes. It also returns the mean number of cores that
// each node used while calls went through it.
func (r *run) measureChain(ctx context.Context) (*report.Chain, []float64, error) {
	rounds := max(1, int(r.args.For/(2*chainRoundLength)))
	length := r.args.For / time.Duration(2*rounds)
	direct, through := r.newChainGenerators()
	nodeCores := make([]float64, len(r.real))
	for range rounds {
		if _, err := r.runChainRound(ctx, direct, length); err != nil {
			return nil, nil, err
		}
		used, err := r.runChainRound(ctx, through, length)
		if err != nil {
			return nil, nil, err
		}
		for i := range nodeCores {
			nodeCores[i] += used[i] / float64(rounds)
		}
	}
	figures := &report.Chain{Depth: r.args.Depth, Chains: len(r.serverAddresses.Direct), Rate: r.args.Rate}
	figures.Compare(direct.Figures(), through.Figures())
	return figures, nodeCores, nil
}

// newChainGenerators returns generators of calls to the first server and to the first node of each chain.
func (r *run) newChainGenerators() (direct, through *load.Generator) {
	directLoad := load.Spec{
		Name: "direct", Rate: r.args.Rate, Seed: r.args.Seed, WarmUp: min(chainWarmUp, r.args.For/10),
	}
	throughLoad := directLoad
	throughLoad.Name = "through"
	for i, chain := range r.serverAddresses.Direct {
		directLoad.Addresses = append(directLoad.Addresses, chain[0])
		throughLoad.Addresses = append(throughLoad.Addresses, r.real[i*r.args.Depth].Address())
	}
	return load.NewGenerator(r.client, directLoad), load.NewGenerator(r.client, throughLoad)
}

// runChainRound makes one round of calls, and returns the mean number of cores that each node used meanwhile.
func (r *run) runChainRound(ctx context.Context, generator *load.Generator, length time.Duration) ([]float64, error) {
	before, err := r.readUsage()
	if err != nil {
		return nil, err
	}
	generator.RunRound(ctx, length)
	after, err := r.readUsage()
	if err != nil {
		return nil, err
	}
	generator.AddCores(process.CoresInUse(after.machine-before.machine, before.at, after.at))
	nodeCores := make([]float64, len(r.real))
	for i := range nodeCores {
		nodeCores[i] = process.CoresInUse(after.real[i].CPU-before.real[i].CPU, before.at, after.at)
	}
	return nodeCores, nil
}
