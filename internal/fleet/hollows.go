package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"balancer"
	"balancer/internal/node"
)

// Phases of a storm, in which calls are counted apart.
const (
	beforeStorm = iota
	inStorm
	afterStorm
	phases
)

// lastNews is how long news is waited for after the end of a run: a node that hears of a change later does
// not count as having heard of it. The target allows 11 s.
const lastNews = 12 * time.Second

// players is how many goroutines make the calls of all hollow nodes.
const players = 4

// HollowSpec asks for hollow nodes: node i hears from Discovery[i] the list of service i mod Services.
type HollowSpec struct {
	Discovery []string
	Services  int
	Asked     bool
	Service   time.Duration // mean of an attempt's time
	Seed      uint64
	Wait      time.Duration // for all nodes to be ready
}

// HollowStart says what the nodes hold once all are ready.
type HollowStart struct {
	Ready     int           // nodes that are ready
	HeapBytes int64         // heap in use more than without nodes, after a collection
	StackMem  int64         // stacks in use more than without nodes
	Took      time.Duration // until all were ready
}

// HollowLoad asks for calls.
type HollowLoad struct {
	Rate float64 // a second at each node
	For  time.Duration
	Seed uint64
}

// ListChange is a change of a service's list, told to the nodes at a time.
type ListChange struct {
	Group   string
	Service int
	Rev     int64
	AtNS    int64 // Unix time when the registry could tell it
}

// Tally counts calls and their answers.
type Tally struct {
	Offered int64 `json:"offered"`
	Served  int64 `json:"served"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
}

// Answered is how many calls were answered at all.
func (t Tally) Answered() int64 { return t.Served + t.Refused + t.Failed }

func (t *Tally) add(u Tally) {
	t.Offered += u.Offered
	t.Served += u.Served
	t.Refused += u.Refused
	t.Failed += u.Failed
}

// Spread is the median and the worst of some times, in milliseconds.
type Spread struct {
	Median float64 `json:"median_ms"`
	Worst  float64 `json:"worst_ms"`
}

// InForce says how long changes took to be in force: at half of their nodes, at 99 in 100, and at all.
type InForce struct {
	Changes int    `json:"changes"`
	Heard   int    `json:"heard"`  // pairs of a change and a node that took it over
	Missed  int    `json:"missed"` // pairs that did not come about
	Half    Spread `json:"half"`
	Most    Spread `json:"p99"`
	All     Spread `json:"all"`
}

// HollowReport is what the nodes did.
type HollowReport struct {
	Phases    [phases]Tally
	Late      Quantiles // of sends, against the times drawn
	Latency   Quantiles // from the time drawn to the answer
	InForce   map[string]InForce
	HeapBytes int64 // heap in use more than without nodes, after a collection at the end
	Warnings  int64 // lines of the nodes' logs at the level of a warning or above
}

// Hollows is the host of hollow nodes, as a service for a parent process.
type Hollows struct {
	services int
	nodes    []*hollow
	phase    atomic.Int32
	tallies  [phases]struct{ offered, served, refused, failed atomic.Int64 }
	late     *latencies
	latency  *latencies
	playing  sync.WaitGroup
	empty    int64 // heap in use without nodes, in bytes
	warnings *warnings
}

// hollow is a node and the versions that it took over.
type hollow struct {
	*node.Hollow
	mu    sync.Mutex
	taken []taken // the oldest first
}

type taken struct {
	rev int64
	at  time.Time
}

// since is when a node took over a version or a newer one.
func (h *hollow) since(rev int64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := sort.Search(len(h.taken), func(i int) bool { return h.taken[i].rev >= rev })
	if i == len(h.taken) {
		return time.Time{}, false
	}
	return h.taken[i].at, true
}

// warnings counts a log's warnings, and writes nothing.
type warnings struct {
	slog.Handler
	count atomic.Int64
}

func (w *warnings) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelWarn }
func (w *warnings) Handle(context.Context, slog.Record) error {
	w.count.Add(1)
	return nil
}

// Start makes the nodes, and waits until all are ready.
func (h *Hollows) Start(spec HollowSpec, started *HollowStart) error {
	h.services, h.late, h.latency = spec.Services, newLatencies(), newLatencies()
	h.warnings = &warnings{Handler: slog.NewTextHandler(io.Discard, nil)}
	log := slog.New(h.warnings)
	before := memory()
	h.empty = int64(before.HeapAlloc)
	begun := time.Now()
	copies := (len(spec.Discovery) + spec.Services - 1) / spec.Services
	for i, address := range spec.Discovery {
		text, err := NodeSpec{
			Name: fmt.Sprintf("h%d", i), Index: i / spec.Services, Copies: copies, Tier: 1,
			Listen: "127.0.0.1:0", Discovery: address, Asked: spec.Asked, Seed: spec.Seed + uint64(i),
		}.Configuration()
		if err != nil {
			return err
		}
		cfg, err := node.ParseConfig(text)
		if err != nil {
			return err
		}
		one := &hollow{}
		draws := rand.New(rand.NewPCG(spec.Seed, uint64(i)))
		if one.Hollow, err = node.NewHollow(cfg, log, func(string) (time.Duration, balancer.AttemptResult) {
			return time.Duration(draws.ExpFloat64() * float64(spec.Service)), balancer.Success // the loop alone draws
		}, func(rev int64, at time.Time) {
			one.mu.Lock()
			one.taken = append(one.taken, taken{rev, at})
			one.mu.Unlock()
		}); err != nil {
			return err
		}
		h.nodes = append(h.nodes, one)
		go one.Run(context.Background()) // to the end of the process
	}
	for {
		started.Ready = 0
		for _, n := range h.nodes {
			if n.Ready() {
				started.Ready++
			}
		}
		started.Took = time.Since(begun)
		if started.Ready == len(h.nodes) {
			break
		}
		if started.Took > spec.Wait {
			return fmt.Errorf("hollow nodes: %d of %d are ready after %v", started.Ready, len(h.nodes), spec.Wait)
		}
		time.Sleep(10 * time.Millisecond)
	}
	after := memory()
	started.HeapBytes = int64(after.HeapAlloc) - h.empty
	started.StackMem = int64(after.StackInuse) - int64(before.StackInuse)
	return nil
}

// memory is what is in use after a collection.
func memory() (m runtime.MemStats) {
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}

// Load begins calls at all nodes and does not wait for their end.
func (h *Hollows) Load(load HollowLoad, _ *struct{}) error {
	if load.Rate <= 0 {
		return nil
	}
	// The arrivals of many nodes together are a Poisson process too, each at a node drawn anew.
	for i := range players {
		h.playing.Add(1)
		go func() {
			defer h.playing.Done()
			at := rand.New(rand.NewPCG(load.Seed, uint64(players+i)))
			NewArrivals(load.Rate*float64(len(h.nodes))/players, load.Seed, uint64(i)).Play(context.Background(), load.For,
				func(drawn time.Time) { h.call(h.nodes[at.IntN(len(h.nodes))], drawn) })
		}()
	}
	return nil
}

func (h *Hollows) call(n *hollow, drawn time.Time) {
	t := &h.tallies[h.phase.Load()]
	t.offered.Add(1)
	h.late.add(time.Since(drawn))
	n.Call(callClass, time.Duration(callDeadline*float64(time.Second)), func(a node.Answer) {
		switch a {
		case node.Served:
			h.latency.add(time.Since(drawn))
			t.served.Add(1)
		case node.Refused:
			t.refused.Add(1)
		default:
			t.failed.Add(1)
		}
	})
}

// Phase has the calls from now on counted in another phase.
func (h *Hollows) Phase(phase int, _ *struct{}) error {
	if phase < 0 || phase >= phases {
		return errors.New("hollow nodes: no such phase")
	}
	h.phase.Store(int32(phase))
	return nil
}

// Report waits for the calls that are out and for the news that is under way, and says what came of them.
func (h *Hollows) Report(changes []ListChange, report *HollowReport) error {
	h.playing.Wait()
	for end := time.Now().Add(lastNews); ; time.Sleep(20 * time.Millisecond) {
		missed, out := 0, int64(0)
		report.InForce = h.inForce(changes)
		for _, f := range report.InForce {
			missed += f.Missed
		}
		for i := range h.tallies {
			t := &h.tallies[i]
			report.Phases[i] = Tally{t.offered.Load(), t.served.Load(), t.refused.Load(), t.failed.Load()}
			out += report.Phases[i].Offered - report.Phases[i].Answered()
		}
		if missed == 0 && out == 0 || time.Now().After(end) {
			break
		}
	}
	report.HeapBytes = int64(memory().HeapAlloc) - h.empty
	report.Late, report.Latency, report.Warnings = h.late.quantiles(), h.latency.quantiles(), h.warnings.count.Load()
	return nil
}

// inForce works out, for each group of changes, when they were in force.
func (h *Hollows) inForce(changes []ListChange) map[string]InForce {
	figures := map[string]InForce{}
	times := map[string]*[3][]float64{}
	for _, c := range changes {
		f := figures[c.Group]
		if times[c.Group] == nil {
			times[c.Group] = &[3][]float64{}
		}
		f.Changes++
		var took []float64
		for i := c.Service; i < len(h.nodes); i += h.services {
			at, ok := h.nodes[i].since(c.Rev)
			if !ok {
				f.Missed++
				continue
			}
			f.Heard++
			took = append(took, float64(at.UnixNano()-c.AtNS)/1e6)
		}
		if len(took) > 0 {
			sort.Float64s(took)
			for k, share := range []float64{0.5, 0.99, 1} {
				times[c.Group][k] = append(times[c.Group][k], atShare(took, share))
			}
		}
		figures[c.Group] = f
	}
	for group, f := range figures {
		t := times[group]
		f.Half, f.Most, f.All = spread(t[0]), spread(t[1]), spread(t[2])
		figures[group] = f
	}
	return figures
}

// atShare is the least of the sorted values that so large a share does not exceed.
func atShare(sorted []float64, share float64) float64 {
	n := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(n, 0), len(sorted)-1)]
}

func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sort.Float64s(values)
	return Spread{atShare(values, 0.5), values[len(values)-1]}
}
