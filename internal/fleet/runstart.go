package fleet

import (
	"context"
	"fmt"

	"basaltdrum/internal/fleet/nodes"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/process"
	"basaltdrum/internal/fleet/standin"
)

// start starts the registry, the servers and the nodes, and waits until all nodes are ready.
func (r *run) start(ctx context.Context) (started nodes.HollowStartReport, err error) {
	if r.registry, err = process.StartChild(r.ChildCommand, roleRegistry); err != nil {
		return started, err
	}
	if err = r.startServers(ctx); err != nil {
		return started, err
	}
	polled := r.args.Mode == plan.ModePolled
	spec, hollowLists := r.makeLists(polled)
	var addresses []string
	if err = r.registry.Call(ctx, "Start", spec, &addresses); err != nil {
		return started, err
	}
	// discovery returns the address at which a node gets its list, given the indexes of both.
	discovery := func(node, list int) string {
		if polled {
			return addresses[list]
		}
		return addresses[node]
	}
	if r.args.Nodes > 0 {
		if started, err = r.startHollowNodes(ctx, discovery, polled); err != nil {
			return started, err
		}
	}
	return started, r.startRealNodes(
		ctx, func(i int) string { return discovery(r.args.Nodes+i, hollowLists+i) }, polled,
	)
}

// startServers starts the servers of the chains if there are any chains.
func (r *run) startServers(ctx context.Context) (err error) {
	chains := r.args.Real / r.args.Depth
	if chains == 0 {
		return nil
	}
	if r.servers, err = process.StartChild(r.ChildCommand, roleServers); err != nil {
		return err
	}
	spec := standin.ServersSpec{
		Chains: chains, Depth: r.args.Depth, Service: r.args.Service, Seed: r.args.Seed,
	}
	return r.servers.Call(ctx, "Start", spec, &r.serverAddresses)
}

// hollowEndpoint is the endpoint of all servers in the lists of hollow nodes, which never connect to it.
const hollowEndpoint = "127.0.0.1:1"

// makeLists creates the lists: first one for each service of the hollow nodes, then one for each real node. It returns
// the specification of the registry, and how many lists are for hollow nodes. If lists are pushed, each node has its
// own address, that of its agent; if they are polled, each list has one address.
func (r *run) makeLists(polled bool) (spec standin.RegistrySpec, hollowLists int) {
	if r.args.Nodes > 0 {
		for s := range r.args.Services {
			r.lists = append(r.lists, standin.NewRotation(s, r.args.Servers, hollowEndpoint))
		}
	}
	hollowLists = len(r.lists)
	for i := range r.args.Nodes {
		spec.Addresses = append(spec.Addresses, i%r.args.Services)
	}
	for _, chain := range r.serverAddresses.Through {
		for _, endpoint := range chain {
			spec.Addresses = append(spec.Addresses, len(r.lists))
			r.lists = append(r.lists, standin.NewRotation(len(r.lists), r.args.Servers, endpoint))
		}
	}
	if polled {
		spec.Addresses = nil
	}
	for i, list := range r.lists {
		spec.Services = append(spec.Services, list.Entries())
		if polled {
			spec.Addresses = append(spec.Addresses, i)
		}
	}
	return spec, hollowLists
}

// startHollowNodes starts the hollow nodes and waits until they are ready.
func (r *run) startHollowNodes(
	ctx context.Context, discovery func(node, list int) string, polled bool,
) (started nodes.HollowStartReport, err error) {
	spec := nodes.HollowSpec{
		Services: r.args.Services, PollDiscovery: polled, Service: r.args.Service,
		Seed: r.args.Seed, Wait: startTimeout,
	}
	for i := range r.args.Nodes {
		spec.Discovery = append(spec.Discovery, discovery(i, i%r.args.Services))
	}
	if r.hollows, err = process.StartChild(r.ChildCommand, roleHollows); err != nil {
		return started, err
	}
	if err = r.hollows.Call(ctx, "Start", spec, &started); err != nil {
		return started, err
	}
	r.Log.Info("hollow nodes are ready", "nodes", started.Ready, "after", started.Took)
	return started, nil
}

// startRealNodes starts the real nodes, waits until they are ready, and tells the servers of the chains the nodes'
// addresses.
func (r *run) startRealNodes(ctx context.Context, discovery func(i int) string, polled bool) (err error) {
	if r.args.Real == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	program := r.args.Program
	if program == "" {
		if program, err = nodes.BuildProgram(ctx, r.dir); err != nil {
			return err
		}
	}
	var addresses [][]string
	for i := range r.args.Real {
		if i%r.args.Depth == 0 {
			addresses = append(addresses, nil)
		}
		n, err := nodes.StartRealNode(ctx, program, r.dir, nodes.NodeSpec{
			Name: fmt.Sprintf("n%d", i), Replicas: 1, Tier: i % r.args.Depth,
			Listen: "127.0.0.1:0", Discovery: discovery(i), PollDiscovery: polled, Seed: r.args.Seed + uint64(i),
		})
		if err != nil {
			return err
		}
		r.real = append(r.real, n)
		addresses[len(addresses)-1] = append(addresses[len(addresses)-1], n.Address())
	}
	for _, n := range r.real {
		if err := n.WaitReady(ctx); err != nil {
			return err
		}
	}
	r.Log.Info("real nodes are ready", "nodes", len(r.real))
	return r.servers.Call(ctx, "Link", addresses, &struct{}{})
}
