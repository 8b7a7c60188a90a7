package fleet

import (
	"context"
	"fmt"
)

// start brings up the registry, the servers and the nodes, until all nodes are ready.
func (r *run) start(ctx context.Context) (started HollowStart, err error) {
	if r.registry, err = startChild(r.Self, roleRegistry); err != nil {
		return started, err
	}
	chains := r.args.Real / r.args.Depth
	if chains > 0 {
		if r.servers, err = startChild(r.Self, roleServers); err != nil {
			return started, err
		}
		if err = r.servers.ask(ctx, "Start", ServersSpec{chains, r.args.Depth, r.args.Service, r.args.Seed}, &r.at); err != nil {
			return started, err
		}
	}
	var spec RegistrySpec
	for s := range r.args.Services {
		if r.args.Nodes > 0 {
			r.lists = append(r.lists, newRotation(s, r.args.Servers, "127.0.0.1:1"))
		}
	}
	hollowLists := len(r.lists)
	for i := range r.args.Nodes {
		spec.Addresses = append(spec.Addresses, i%r.args.Services)
	}
	for c := range chains {
		for k := range r.args.Depth {
			spec.Addresses = append(spec.Addresses, len(r.lists))
			r.lists = append(r.lists, newRotation(len(r.lists), r.args.Servers, r.at.Through[c][k]))
		}
	}
	for _, l := range r.lists {
		spec.Services = append(spec.Services, l.targets)
	}
	asked := r.args.Mode == "asked"
	if asked { // one address for each list, whoever asks
		spec.Addresses = nil
		for s := range r.lists {
			spec.Addresses = append(spec.Addresses, s)
		}
	}
	var addresses []string
	if err = r.registry.ask(ctx, "Start", spec, &addresses); err != nil {
		return started, err
	}
	discovery := func(node, list int) string {
		if asked {
			return addresses[list]
		}
		return addresses[node]
	}
	if r.args.Nodes > 0 {
		if started, err = r.startHollow(ctx, discovery, asked); err != nil {
			return started, err
		}
	}
	return started, r.startReal(ctx, func(i int) string { return discovery(r.args.Nodes+i, hollowLists+i) }, asked)
}

func (r *run) startHollow(ctx context.Context, discovery func(node, list int) string, asked bool) (started HollowStart, err error) {
	spec := HollowSpec{Services: r.args.Services, Asked: asked, Service: r.args.Service, Seed: r.args.Seed, Wait: startWait}
	for i := range r.args.Nodes {
		spec.Discovery = append(spec.Discovery, discovery(i, i%r.args.Services))
	}
	if r.hollows, err = startChild(r.Self, roleHollows); err != nil {
		return started, err
	}
	if err = r.hollows.ask(ctx, "Start", spec, &started); err != nil {
		return started, err
	}
	r.Log.Info("hollow nodes are ready", "nodes", started.Ready, "after", started.Took)
	return started, nil
}

func (r *run) startReal(ctx context.Context, discovery func(i int) string, asked bool) (err error) {
	if r.args.Real == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	program := r.args.Program
	if program == "" {
		if program, err = build(ctx, r.dir); err != nil {
			return err
		}
	}
	var nodes [][]string
	for i := range r.args.Real {
		if i%r.args.Depth == 0 {
			nodes = append(nodes, nil)
		}
		n, err := startReal(ctx, program, r.dir, NodeSpec{
			Name: fmt.Sprintf("n%d", i), Copies: 1, Tier: i % r.args.Depth,
			Listen: "127.0.0.1:0", Discovery: discovery(i), Asked: asked, Seed: r.args.Seed + uint64(i),
		})
		if err != nil {
			return err
		}
		r.real = append(r.real, n)
		nodes[len(nodes)-1] = append(nodes[len(nodes)-1], n.address)
	}
	for _, n := range r.real {
		if err := n.ready(ctx); err != nil {
			return err
		}
	}
	r.Log.Info("real nodes are ready", "nodes", len(r.real))
	return r.servers.ask(ctx, "Link", nodes, &struct{}{})
}
