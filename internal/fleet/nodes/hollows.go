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

// Phases of a storm, for which calls are counted separately.
const (
	BeforeStorm = iota
	InStorm
	AfterStorm
	PhaseCount
)

// finalUpdateWait is how long Report waits for the last updates after the end of a run. A node that has not applied a
// change by then counts as having missed it. The target allows 11 s.
const finalUpdateWait = 12 * time.Second

// Polling intervals.
const (
	readyInterval  = 10 * time.Millisecond // whether all nodes are ready
	reportInterval = 20 * time.Millisecond // whether the figures are complete
)

// loadGoroutines is how many goroutines make the calls of all hollow nodes.
const loadGoroutines = 4

// HollowSpec describes hollow nodes: node i gets the list of service i mod Services from Discovery[i].
type HollowSpec struct {
	Discovery     []string
	Services      int
	PollDiscovery bool
	Service       time.Duration // mean time of an attempt
	Seed          uint64
	Wait          time.Duration // how long to wait until all nodes are ready
}

// HollowStartReport holds the memory usage of the nodes once all are ready.
type HollowStartReport struct {
	Ready     int           // nodes that are ready
	HeapBytes int64         // increase of the heap in use since before the start, after a garbage collection
	StackMem  int64         // increase of the stack memory in use since before the start, in bytes
	Took      time.Duration // until all nodes were ready
}

// HollowLoad describes the calls to make.
type HollowLoad struct {
	Rate float64 // calls per second at each node
	For  time.Duration
	Seed uint64
}

// HollowReport holds the figures of the nodes at the end of a run.
type HollowReport struct {
	Phases    [PhaseCount]stats.Tally  // calls by the phase in which they were made
	Lateness  stats.Quantiles          // how long after their scheduled times calls were made
	Latency   stats.Quantiles          // of served calls, from the scheduled time to the response
	InForce   map[string]stats.InForce // by group of list changes
	HeapBytes int64                    // increase of the heap in use since before the start, after a garbage collection
	Warnings  int64                    // log lines of the nodes at level WARN or above
}

// Hollows is the RPC service of the hollow nodes, called by the parent process.
type Hollows struct {
	services int
	nodes    []*hollow
	phase    atomic.Int32
	tallies  [PhaseCount]atomicTally
	lateness *stats.Latencies
	latency  *stats.Latencies
	senders  sync.WaitGroup // the goroutines that make calls

	heapWithoutNodes int64 // in bytes
	warningCounter   *warningCounter
}

// atomicTally is a tally that is safe for concurrent use.
type atomicTally struct{ offered, served, rejected, failed atomic.Int64 }

// snapshot returns the current counts.
func (t *atomicTally) snapshot() stats.Tally {
	return stats.Tally{
		Offered: t.offered.Load(), Served: t.served.Load(), Rejected: t.rejected.Load(), Failed: t.failed.Load(),
	}
}

// Start starts the nodes, and waits until all are ready.
func (h *Hollows) Start(spec HollowSpec, started *HollowStartReport) error {
	h.services, h.lateness, h.latency = spec.Services, stats.NewLatencies(), stats.NewLatencies()
	h.warningCounter = &warningCounter{Handler: slog.DiscardHandler}
	before := memoryAfterGC()
	h.heapWithoutNodes = int64(before.HeapAlloc)
	startTime := time.Now()
	if err := h.startNodes(spec); err != nil {
		return err
	}
	for {
		started.Ready = h.countReady()
		started.Took = time.Since(startTime)
		if started.Ready == len(h.nodes) {
			break
		}
		if started.Took > spec.Wait {
			return fmt.Errorf("hollow nodes: %d of %d are ready after %v", started.Ready, len(h.nodes), spec.Wait)
		}
		time.Sleep(readyInterval)
	}
	after := memoryAfterGC()
	started.HeapBytes = int64(after.HeapAlloc) - h.heapWithoutNodes
	started.StackMem = int64(after.StackInuse) - int64(before.StackInuse)
	return nil
}

// startNodes starts the nodes, which run until the process exits.
func (h *Hollows) startNodes(spec HollowSpec) error {
	log := slog.New(h.warningCounter)
	replicas := (len(spec.Discovery) + spec.Services - 1) / spec.Services
	for i, address := range spec.Discovery {
		nodeSpec := NodeSpec{
			Name: fmt.Sprintf("h%d", i), Index: i / spec.Services, Replicas: replicas, Tier: 1,
			Listen: "127.0.0.1:0", Discovery: address, PollDiscovery: spec.PollDiscovery, Seed: spec.Seed + uint64(i),
		}
		newNode, err := newHollowFromSpec(nodeSpec, spec.Service, rand.New(rand.NewPCG(spec.Seed, uint64(i))), log)
		if err != nil {
			return err
		}
		h.nodes = append(h.nodes, newNode)
		go newNode.run(context.Background())
	}
	return nil
}

// countReady returns how many nodes are ready.
func (h *Hollows) countReady() (ready int) {
	for _, n := range h.nodes {
		if n.ready() {
			ready++
		}
	}
	return ready
}

// memoryAfterGC runs a garbage collection and returns the memory statistics after it.
func memoryAfterGC() (m runtime.MemStats) {
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}

// Load starts the calls at all nodes, and returns without waiting for them.
func (h *Hollows) Load(calls HollowLoad, _ *struct{}) error {
	if calls.Rate <= 0 {
		return nil
	}
	for i := range loadGoroutines {
		h.senders.Add(1)
		go func() {
			defer h.senders.Done()
			h.sendCalls(calls, uint64(i))
		}()
	}
	return nil
}

// sendCalls makes one goroutine's share of the calls. The combined arrivals at many nodes are a Poisson process too, so
// it picks a random node for each arrival.
func (h *Hollows) sendCalls(calls HollowLoad, stream uint64) {
	rng := rand.New(rand.NewPCG(calls.Seed, loadGoroutines+stream))
	rate := calls.Rate * float64(len(h.nodes)) / loadGoroutines
	load.NewArrivals(rate, calls.Seed, stream).Run(context.Background(), calls.For, func(scheduled time.Time) {
		h.call(h.nodes[rng.IntN(len(h.nodes))], scheduled)
	})
}

// call makes one call at a node, and counts its outcome.
func (h *Hollows) call(n *hollow, scheduled time.Time) {
	tally := &h.tallies[h.phase.Load()]
	tally.offered.Add(1)
	h.lateness.Add(time.Since(scheduled))
	n.call(load.Class, load.Deadline, func(kind node.ResponseKind) {
		switch kind {
		case node.ResponseServed:
			h.latency.Add(time.Since(scheduled))
			tally.served.Add(1)
		case node.ResponseRejected:
			tally.rejected.Add(1)
		default:
			tally.failed.Add(1)
		}
	})
}

// Phase sets the phase in which calls are counted from now on.
func (h *Hollows) Phase(phase int, _ *struct{}) error {
	if phase < 0 || phase >= PhaseCount {
		return errors.New("hollow nodes: unknown storm phase")
	}
	h.phase.Store(int32(phase))
	return nil
}

// Report waits until the calls in flight are answered and the nodes have applied all changes, but no longer than
// finalUpdateWait after the last call was made, and returns the figures.
func (h *Hollows) Report(changes []ListChange, report *HollowReport) error {
	h.senders.Wait()
	for end := time.Now().Add(finalUpdateWait); ; time.Sleep(reportInterval) {
		report.InForce = h.inForceByGroup(changes)
		report.Phases = h.phases()
		if report.complete() || time.Now().After(end) {
			break
		}
	}
	report.HeapBytes = int64(memoryAfterGC().HeapAlloc) - h.heapWithoutNodes
	report.Lateness, report.Latency = h.lateness.Quantiles(), h.latency.Quantiles()
	report.Warnings = h.warningCounter.count.Load()
	return nil
}

// phases returns the current tallies of all phases.
func (h *Hollows) phases() (tallies [PhaseCount]stats.Tally) {
	for i := range h.tallies {
		tallies[i] = h.tallies[i].snapshot()
	}
	return tallies
}

// complete reports whether all calls are answered and all list changes applied.
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
