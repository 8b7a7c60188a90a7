package nodes

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/fleet/stats"
	"basaltdrum/internal/node"
)

// Phases of a storm, in which calls are counted apart.
const (
	BeforeStorm = iota
	InStorm
	AfterStorm
	PhaseCount
)

// finalUpdateWait is how long the last updates are waited for after the end of a run. A node that applies a change
// later counts as having missed it. The target allows 11 s.
const finalUpdateWait = 12 * time.Second

// How often it is looked whether all nodes are ready, and whether the figures are complete.
const (
	readyInterval  = 10 * time.Millisecond
	reportInterval = 20 * time.Millisecond
)

// loadGoroutines is how many goroutines make the calls of all hollow nodes.
const loadGoroutines = 4

// HollowSpec describes hollow nodes: node i gets the list of service i mod Services from Discovery[i].
type HollowSpec struct {
	Discovery     []string
	Services      int
	PollDiscovery bool
	Service       time.Duration // mean of an attempt's time
	Seed          uint64
	Wait          time.Duration // for all nodes to be ready
}

// HollowStart is what the nodes use once all are ready.
type HollowStart struct {
	Ready     int           // nodes that are ready
	HeapBytes int64         // heap in use more than without nodes, after a collection
	StackMem  int64         // stacks in use more than without nodes
	Took      time.Duration // until all were ready
}

// HollowLoad describes the calls to make.
type HollowLoad struct {
	Rate float64 // a second at each node
	For  time.Duration
	Seed uint64
}

// HollowReport are the figures of the nodes at the end of a run.
type HollowReport struct {
	Phases    [PhaseCount]stats.Tally
	Lateness  stats.Quantiles // of sends, against the times drawn
	Latency   stats.Quantiles // from the time drawn to the answer
	InForce   map[string]stats.InForce
	HeapBytes int64 // heap in use more than without nodes, after a collection at the end
	Warnings  int64 // lines of the nodes' logs at the level of a warning or above
}

// Hollows is the RPC service of hollow nodes, for a parent process.
type Hollows struct {
	services int
	nodes    []*hollow
	phase    atomic.Int32
	tallies  [PhaseCount]atomicTally
	lateness *stats.Latencies
	latency  *stats.Latencies
	senders  sync.WaitGroup // the goroutines that make calls

	heapWithoutNodes int64 // in bytes
	warnings         *warnings
}

// atomicTally is a tally that many goroutines count in.
type atomicTally struct{ offered, served, rejected, failed atomic.Int64 }

// snapshot returns the present counts.
func (t *atomicTally) snapshot() stats.Tally {
	return stats.Tally{
		Offered: t.offered.Load(), Served: t.served.Load(), Rejected: t.rejected.Load(), Failed: t.failed.Load(),
	}
}

// Start starts the nodes, and waits until all are ready.
func (h *Hollows) Start(spec HollowSpec, started *HollowStart) error {
	h.services, h.lateness, h.latency = spec.Services, stats.NewLatencies(), stats.NewLatencies()
	h.warnings = &warnings{Handler: slog.DiscardHandler}
	before := memory()
	h.heapWithoutNodes = int64(before.HeapAlloc)
	begun := time.Now()
	if err := h.startNodes(spec); err != nil {
		return err
	}
	for {
		started.Ready = h.readyNodes()
		started.Took = time.Since(begun)
		if started.Ready == len(h.nodes) {
			break
		}
		if started.Took > spec.Wait {
			return fmt.Errorf("hollow nodes: %d of %d are ready after %v", started.Ready, len(h.nodes), spec.Wait)
		}
		time.Sleep(readyInterval)
	}
	after := memory()
	started.HeapBytes = int64(after.HeapAlloc) - h.heapWithoutNodes
	started.StackMem = int64(after.StackInuse) - int64(before.StackInuse)
	return nil
}

// startNodes starts the nodes, which run to the end of the process.
func (h *Hollows) startNodes(spec HollowSpec) error {
	log := slog.New(h.warnings)
	replicas := (len(spec.Discovery) + spec.Services - 1) / spec.Services
	for i, address := range spec.Discovery {
		nodeSpec := NodeSpec{
			Name: fmt.Sprintf("h%d", i), Index: i / spec.Services, Replicas: replicas, Tier: 1,
			Listen: "127.0.0.1:0", Discovery: address, PollDiscovery: spec.PollDiscovery, Seed: spec.Seed + uint64(i),
		}
		one, err := newSpecifiedHollow(nodeSpec, spec.Service, rand.New(rand.NewPCG(spec.Seed, uint64(i))), log)
		if err != nil {
			return err
		}
		h.nodes = append(h.nodes, one)
		go one.run(context.Background())
	}
	return nil
}

// readyNodes returns how many nodes are ready.
func (h *Hollows) readyNodes() (ready int) {
	for _, n := range h.nodes {
		if n.ready() {
			ready++
		}
	}
	return ready
}

// memory returns what is in use after a garbage collection.
func memory() (m runtime.MemStats) {
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}

// Load starts the calls at all nodes, and does not wait for their end.
func (h *Hollows) Load(calls HollowLoad, _ *struct{}) error {
	if calls.Rate <= 0 {
		return nil
	}
	for i := range loadGoroutines {
		h.senders.Add(1)
		go func() {
			defer h.senders.Done()
			h.send(calls, uint64(i))
		}()
	}
	return nil
}

// send makes the part of the calls that one goroutine makes. The arrivals of many nodes together are a Poisson process
// too, each at a node drawn anew.
func (h *Hollows) send(calls HollowLoad, stream uint64) {
	draws := rand.New(rand.NewPCG(calls.Seed, loadGoroutines+stream))
	rate := calls.Rate * float64(len(h.nodes)) / loadGoroutines
	load.NewArrivals(rate, calls.Seed, stream).Run(context.Background(), calls.For, func(drawn time.Time) {
		h.call(h.nodes[draws.IntN(len(h.nodes))], drawn)
	})
}

// call makes one call at a node, and counts its answer.
func (h *Hollows) call(n *hollow, drawn time.Time) {
	t := &h.tallies[h.phase.Load()]
	t.offered.Add(1)
	h.lateness.Add(time.Since(drawn))
	n.call(load.Class, load.Deadline, func(kind node.ResponseKind) {
		switch kind {
		case node.ResponseServed:
			h.latency.Add(time.Since(drawn))
			t.served.Add(1)
		case node.ResponseRejected:
			t.rejected.Add(1)
		default:
			t.failed.Add(1)
		}
	})
}

// Phase has the calls counted in another phase from now on.
func (h *Hollows) Phase(phase int, _ *struct{}) error {
	if phase < 0 || phase >= PhaseCount {
		return errors.New("hollow nodes: no such phase")
	}
	h.phase.Store(int32(phase))
	return nil
}

// Report waits for the calls that are in flight and for the updates that the nodes have not applied yet, and returns
// the figures.
func (h *Hollows) Report(changes []ListChange, report *HollowReport) error {
	h.senders.Wait()
	for end := time.Now().Add(finalUpdateWait); ; time.Sleep(reportInterval) {
		report.InForce = h.inForce(changes)
		report.Phases = h.phases()
		if report.complete() || time.Now().After(end) {
			break
		}
	}
	report.HeapBytes = int64(memory().HeapAlloc) - h.heapWithoutNodes
	report.Lateness, report.Latency = h.lateness.Quantiles(), h.latency.Quantiles()
	report.Warnings = h.warnings.count.Load()
	return nil
}

// phases returns the tallies of all phases as they are.
func (h *Hollows) phases() (tallies [PhaseCount]stats.Tally) {
	for i := range h.tallies {
		tallies[i] = h.tallies[i].snapshot()
	}
	return tallies
}

// complete says that all calls are answered and all updates applied.
func (r *HollowReport) complete() bool {
	for _, figures := range r.InForce {
		if figures.Missed > 0 {
			return false
		}
	}
	for _, tally := range r.Phases {
		if tally.Answered() < tally.Offered {
			return false
		}
	}
	return true
}
