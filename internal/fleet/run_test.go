package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/report"
)

// testArgs returns the arguments that all runs of these tests share. The length of a run is real time, in which its
// processes mostly wait.
func testArgs() plan.Args {
	return plan.Args{
		Servers: 12, Services: 1, Mode: "pushed", Storm: plan.StormNone, Depth: 1, Seed: 1,
		For: 1500 * time.Millisecond,
	}
}

// Each hollow node applies each change of its list, and all calls are answered.
func TestHollowRun(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, mode string }{
		{"lists are pushed", "pushed"},
		{"lists are polled", plan.ModePolled},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			args := testArgs()
			args.Nodes, args.Services, args.Mode, args.Changes = 6, 2, test.mode, 240
			args.Rate, args.Service = 100, time.Millisecond
			point := newTestRunner(t).run(t, args)
			if point.Hollow == nil {
				t.Fatalf("no figures of hollow nodes: %+v", point)
			}
			expect(t, point,
				expectation{"no real nodes", point.Real == nil},
				expectation{"no chain", point.Chain == nil},
				expectation{"no changes of configuration", point.Configs == nil},
				expectation{"no storm", point.Storm == nil},
				expectation{"measurements over the whole length", point.Seconds >= args.For.Seconds()},
			)
			checkInForce(t, point.Hollow, args.Nodes/args.Services)
			checkHollowCalls(t, point.Hollow)
			checkHollowUse(t, point.Hollow)
			checkRegistry(t, point, args.Nodes)
			checkMachine(t, point)
		})
	}
}

// checkInForce checks that all nodes of a service have applied each change of its list.
func checkInForce(t *testing.T, hollow *report.HollowFigures, nodesOfService int) {
	t.Helper()
	f := hollow.InForce[plan.GroupServerState]
	expect(t, f,
		expectation{"at least 4 changes", f.Changes >= 4},
		expectation{"no change missed", f.Missed == 0},
		expectation{"each change applied by all nodes", f.Applied == nodesOfService*f.Changes},
		expectation{"a time", f.All.Worst > 0},
		expectation{"half of the nodes no later than all", f.Half.Median <= f.All.Worst},
	)
}

// checkHollowCalls checks that all calls are answered and measured.
func checkHollowCalls(t *testing.T, hollow *report.HollowFigures) {
	t.Helper()
	expect(t, hollow,
		expectation{"at least 100 calls", hollow.Calls.Offered >= 100},
		expectation{"all calls answered", hollow.Calls.Answered() == hollow.Calls.Offered},
		expectation{"some calls served", hollow.Calls.Served > 0},
		expectation{"the latency of each served call", hollow.Latency.Count == hollow.Calls.Served},
		expectation{"the lateness of each call", hollow.Lateness.Count == hollow.Calls.Offered},
		expectation{"a latency", hollow.Latency.P50 > 0},
	)
}

// checkHollowUse checks the figures of the hollow nodes' resource usage.
func checkHollowUse(t *testing.T, hollow *report.HollowFigures) {
	t.Helper()
	expect(t, hollow,
		expectation{"cores", hollow.CoresPerNode > 0},
		expectation{"heap at the start", hollow.HeapPerNode > 0},
		expectation{"heap at the end", hollow.HeapPerNodeAtEnd > 0},
		expectation{"memory", hollow.RSS > 0},
		expectation{"a time until all are ready", hollow.ReadyMS > 0},
	)
}

// checkRegistry checks the figures of the traffic of all nodes at the registry.
func checkRegistry(t *testing.T, point report.Point, nodes int) {
	t.Helper()
	registry := point.Registry
	expect(t, registry,
		expectation{"a connection of each node", registry.OpenConnections >= int64(nodes)},
		expectation{"calls", registry.Calls > 0},
		expectation{"bytes in", registry.BytesIn > 0},
		expectation{"bytes out", registry.BytesOut > 0},
		expectation{"a peak", registry.Peak >= registry.Calls/10},
		expectation{"memory", registry.RSS > 0},
	)
	expect(t, point.PerNode,
		expectation{"all nodes", point.PerNode.Nodes == nodes},
		expectation{"bytes in", point.PerNode.BytesIn > 0},
	)
}

// checkMachine checks the description of the machine.
func checkMachine(t *testing.T, point report.Point) {
	t.Helper()
	expect(t, point.Machine,
		expectation{"cores", point.Machine.Cores >= 1},
		expectation{"the version of Go", point.Machine.Go != ""},
		expectation{"cores in use", point.MachineCores > 0},
	)
}

// After an outage all nodes get the newest list. During the outage at least half of the calls are served, and all are
// answered.
func TestOutages(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, storm string }{
		{"a zone is lost", plan.StormZone},
		{"the registry is unresponsive", "registry"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			args := testArgs()
			args.Nodes, args.Storm, args.Rate, args.Changes, args.For = 4, test.storm, 100, 300, 4*time.Second
			point := newTestRunner(t).run(t, args)
			if point.Storm == nil || point.Hollow == nil || point.Hollow.StormCalls == nil {
				t.Fatalf("no figures of the storm: %+v", point)
			}
			checkStorm(t, point.Storm, test.storm)
			duringOutage, all := point.Hollow.StormCalls, point.Hollow.Calls
			expect(t, duringOutage,
				expectation{"at least 100 calls", duringOutage.Offered >= 100},
				expectation{"all calls answered", duringOutage.Answered() == duringOutage.Offered},
				expectation{"half of the calls served", duringOutage.Served >= duringOutage.Offered/2},
				expectation{"fewer calls than in the whole run", duringOutage.Offered < all.Offered},
			)
		})
	}
}

// checkStorm checks the figures of an outage, after which all nodes must have the newest list.
func checkStorm(t *testing.T, storm *report.StormFigures, kind string) {
	t.Helper()
	expect(t, storm,
		expectation{"the kind " + kind, storm.Kind == kind},
		expectation{"a length", storm.LostSec > 0},
		expectation{"calls before", storm.Before > 0},
		expectation{"a peak after", storm.PeakAfter > 0},
		expectation{"a time measured after", storm.WatchedAfterSec > 0},
		expectation{"the newest list at all nodes", storm.Missed == 0},
		expectation{"the time until all have it", storm.NewestAllMS > 0},
	)
}

// Calls go through a chain of two real nodes, whose program the run builds, and along the direct path.
func TestRealNodes(t *testing.T) {
	t.Parallel()
	args := testArgs()
	args.Real, args.Depth, args.Rate, args.For, args.Changes = 2, 2, 50, 2*time.Second, 60
	point := newTestRunner(t).run(t, args)
	chain, nodes := point.Chain, point.Real
	if chain == nil || nodes == nil {
		t.Fatalf("no figures of the chain: %+v", point)
	}
	expect(t, chain,
		expectation{"a depth of 2", chain.Depth == 2},
		expectation{"one chain", chain.Chains == 1},
		expectation{"no hollow nodes", point.Hollow == nil},
	)
	t.Run("direct path", func(t *testing.T) { checkPath(t, chain.Direct) })
	t.Run("path through the nodes", func(t *testing.T) { checkPath(t, chain.Through) })
	expect(t, nodes,
		expectation{"two nodes", nodes.Nodes == 2},
		expectation{"both alive at the end", nodes.Alive == 2},
		expectation{"cores", nodes.CoresMean > 0},
		expectation{"the most cores no less than the mean", nodes.CoresMax >= nodes.CoresMean},
		expectation{"a megabyte of memory", nodes.RSSMean >= 1e6},
		expectation{"the most memory no less than the mean", float64(nodes.RSSMax) >= nodes.RSSMean},
	)
}

// checkPath checks that the calls of one path are answered and measured.
func checkPath(t *testing.T, path load.PathFigures) {
	t.Helper()
	expect(t, path,
		expectation{"at least 20 calls", path.Offered >= 20},
		expectation{"nine in ten calls served", path.Served >= path.Offered*9/10},
		expectation{"all calls answered", path.Answered() == path.Offered},
		expectation{"the lateness of each call", path.Lateness.Count == path.Offered},
		expectation{"latencies", path.Latency.Count > 0},
		expectation{"a latency", path.Latency.P50 > 0},
		expectation{"no quantile over the maximum", path.Latency.P999 <= path.Latency.Max},
	)
}

// A cancelled run leaves no child process and returns the cause.
func TestRunStopsWhenContextEnds(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	runner := newTestRunner(t)
	runner.cancelAt("measuring", cancel)
	args := testArgs()
	args.Nodes, args.For = 3, time.Minute
	if _, err := runner.Run(ctx, args); !errors.Is(err, context.Canceled) {
		t.Errorf("Run() returned error %v, want %v", err, context.Canceled)
	}
	runner.processes.checkEnded(t)
}
