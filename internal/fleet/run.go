package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"sync"
	"time"
)

// The kinds of list changes, whose times are told apart.
const (
	groupChange   = "a server's state" // one server of the list drains, goes, or comes back
	groupSilent   = "told at the return"
	groupZoneLost = "a zone lost"
	groupZoneBack = "a zone back"
)

var groups = []string{groupChange, groupSilent, groupZoneLost, groupZoneBack}

// When a storm begins and ends, as shares of a run's length, and how long its return is watched.
const (
	stormBegins = 0.25
	stormEnds   = 0.6
	stormWatch  = 10 * time.Second
)

// startWait is how long the nodes may take to be ready.
const startWait = time.Minute

// Runner makes runs.
type Runner struct {
	Self []string // the command that calls Child with one more argument, the role
	Log  *slog.Logger
}

// run is one run under way. Its children are stopped at its end, whatever that is.
type run struct {
	Runner
	args     Args
	dir      string
	registry *child
	hollows  *child
	servers  *child
	at       ServerAddresses
	real     []*realNode // chain by chain, tier by tier
	caller   *caller
	lists    []*rotation // of the services, then of the real nodes' tiers

	mu      sync.Mutex
	changes []ListChange
	silent  bool
}

// Run makes one run. It ends within its bound, with its children gone.
func (r Runner) Run(ctx context.Context, args Args) (p Point, err error) {
	if err := args.Check(); err != nil {
		return Point{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, args.bound()-2*endWait)
	defer cancel()
	one := &run{Runner: r, args: args, caller: newCaller()}
	defer one.stop()
	if one.dir, err = os.MkdirTemp("", "fleetscale"); err != nil {
		return Point{}, fmt.Errorf("run: %w", err)
	}
	p = Point{Args: args, Machine: Machine{runtime.NumCPU(), runtime.Version(), loadAverage()}}
	started, err := one.start(ctx)
	if err != nil {
		return Point{}, err
	}
	return p, one.measure(ctx, &p, started)
}

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
		n, err := startReal(ctx, program, r.dir, NodeSpec{Name: fmt.Sprintf("n%d", i), Copies: 1, Tier: i % r.args.Depth,
			Listen: "127.0.0.1:0", Discovery: discovery(i), Asked: asked, Seed: r.args.Seed + uint64(i)})
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

// stop ends all that the run started.
func (r *run) stop() {
	var wg sync.WaitGroup
	for _, n := range r.real {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.stop()
		}()
	}
	for _, c := range []*child{r.hollows, r.servers, r.registry} {
		if c != nil {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.stop()
			}()
		}
	}
	wg.Wait()
	r.caller.close()
	os.RemoveAll(r.dir)
}

// change makes a new version of a list and notes it.
func (r *run) change(ctx context.Context, l *rotation, targets []Target, group string) error {
	var changed Changed
	if err := r.registry.ask(ctx, "Change", ChangeSpec{l.service, targets}, &changed); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent { // it is told at the return only
		return nil
	}
	if l.service < r.args.Services && r.args.Nodes > 0 {
		r.changes = append(r.changes, ListChange{group, l.service, changed.Rev, changed.AtNS})
	}
	return nil
}

// rotate changes the lists in turn, evenly over the time, until ctx ends or the time is over.
func (r *run) rotate(ctx context.Context, length time.Duration) error {
	every := time.Duration(float64(time.Minute) / (r.args.Changes * float64(len(r.lists))))
	start := time.Now()
	for i := 0; ; i++ {
		at := every/2 + time.Duration(i)*every
		if at >= length {
			return nil
		}
		pause(ctx, time.Until(start.Add(at)))
		if ctx.Err() != nil {
			return nil
		}
		l := r.lists[i%len(r.lists)]
		if news := l.next(); news != nil {
			if err := r.change(ctx, l, news, groupChange); err != nil {
				return err
			}
		}
	}
}

// usage reads what processes have used.
type usage struct {
	at       time.Time
	busy     time.Duration
	hollows  Usage
	registry Usage
	real     []Usage
}

func (r *run) usage() (u usage, err error) {
	if u.busy, err = machineBusy(); err != nil {
		return u, err
	}
	if u.registry, err = UsageOf(r.registry.pid()); err != nil {
		return u, err
	}
	if r.hollows != nil {
		if u.hollows, err = UsageOf(r.hollows.pid()); err != nil {
			return u, err
		}
	}
	for _, n := range r.real {
		one, err := UsageOf(n.cmd.Process.Pid)
		if err != nil && n.alive() {
			return u, err
		}
		u.real = append(u.real, one)
	}
	u.at = time.Now()
	return u, nil
}

// cores is how many processor cores were in use between two readings.
func cores(used time.Duration, from, to time.Time) float64 {
	return used.Seconds() / to.Sub(from).Seconds()
}

// measure lets the run go on for its length, and fills the point.
func (r *run) measure(ctx context.Context, p *Point, started HollowStart) error {
	before, err := r.usage()
	if err != nil {
		return err
	}
	var realCores []float64
	if r.hollows != nil {
		if err := r.hollows.ask(ctx, "Load", HollowLoad{r.args.Rate, r.args.For, r.args.Seed}, &struct{}{}); err != nil {
			return err
		}
	}
	// Everything beside the calls; the first error ends all of it.
	running, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	side := func(what func(context.Context) error) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := what(running); err != nil {
				cancel(err)
			}
		}()
	}
	var storm *stormTimes
	if r.args.Changes > 0 {
		side(func(ctx context.Context) error { return r.rotate(ctx, r.args.For) })
	}
	if r.args.Storm != "none" {
		side(func(ctx context.Context) (err error) { storm, err = r.storm(ctx); return err })
	}
	if r.args.Configs > 0 {
		p.Configs = &Configs{LimitSec: configLimit.Seconds()}
		side(func(ctx context.Context) error { return r.reconfigure(ctx, p.Configs) })
	}
	if len(r.real) > 0 && r.args.Rate > 0 {
		side(func(ctx context.Context) (err error) { p.Chain, realCores, err = r.chain(ctx); return err })
	}
	r.Log.Info("measuring", "for", r.args.For)
	pause(running, time.Until(before.at.Add(r.args.For)))
	after, err := r.usage() // the nodes' last answers and last news are left out
	if err != nil {
		cancel(err)
	}
	wg.Wait()
	if err := context.Cause(running); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	var counted Counted
	if err := r.registry.ask(ctx, "Traffic", struct{}{}, &counted); err != nil {
		return err
	}
	r.fill(p, before, after, realCores, counted)
	if r.hollows != nil {
		if err := r.hollowFigures(ctx, p, before, after, started); err != nil {
			return err
		}
	}
	if storm != nil {
		p.Storm = storm.figures(r.args.Storm, counted, before.at, after.at, p.Hollow)
	}
	return nil
}

// reconfigure changes the real nodes' configuration evenly over the run, at least once.
func (r *run) reconfigure(ctx context.Context, c *Configs) error {
	every := time.Duration(float64(time.Minute) / r.args.Configs)
	first := min(every, r.args.For) / 2
	start := time.Now()
	took := newLatencies()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for at := first; at < r.args.For; at += every {
		pause(ctx, time.Until(start.Add(at)))
		if ctx.Err() != nil {
			break
		}
		c.Changes++
		class := fmt.Sprintf("added-%d", c.Changes)
		// One change is followed while the next is made. The nodes' files are this goroutine's own.
		wait, err := r.addClass(ctx, class, took)
		if err != nil {
			errs = append(errs, err)
			break
		}
		c.Sent += len(r.real)
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := wait()
			mu.Lock()
			defer mu.Unlock()
			c.InForce += n
		}()
	}
	wg.Wait()
	c.NotInForce, c.Took = c.Sent-c.InForce, took.quantiles()
	return errors.Join(errs...)
}

// fill notes what the processes used and what passed at the registry. realCores is what the real nodes used
// while calls went through them; nil: there were none.
func (r *run) fill(p *Point, before, after usage, realCores []float64, counted Counted) {
	sum, peak, seconds := counted.Between(before.at, after.at)
	p.Seconds = after.at.Sub(before.at).Seconds()
	p.Busy = cores(after.busy-before.busy, before.at, after.at)
	per := func(n int64) float64 { return float64(n) / seconds }
	p.Registry = RegistryFigures{Open: counted.Open, Conns: per(sum.Conns), Calls: per(sum.Calls), BytesIn: per(sum.In),
		BytesOut: per(sum.Out), Peak: float64(peak) / BucketWidth.Seconds(),
		Cores: cores(after.registry.CPU-before.registry.CPU, before.at, after.at), RSS: after.registry.RSS}
	nodes := r.args.Nodes + r.args.Real
	p.PerNode = PerNode{nodes, per(sum.Out) / float64(nodes), per(sum.In) / float64(nodes)}
	if len(r.real) == 0 {
		return
	}
	f := &RealFigures{Nodes: len(r.real)}
	for i, n := range r.real {
		if n.alive() {
			f.Alive++
		}
		used := cores(after.real[i].CPU-before.real[i].CPU, before.at, after.at)
		if realCores != nil {
			used = realCores[i]
		}
		f.CoresMean += used / float64(len(r.real))
		f.CoresMax = max(f.CoresMax, used)
		f.RSSMean += float64(after.real[i].RSS) / float64(len(r.real))
		f.RSSMax = max(f.RSSMax, after.real[i].RSS)
	}
	p.Real = f
}

func (r *run) hollowFigures(ctx context.Context, p *Point, before, after usage, started HollowStart) error {
	r.mu.Lock()
	changes := r.changes
	r.mu.Unlock()
	var report HollowReport
	if err := r.hollows.ask(ctx, "Report", changes, &report); err != nil {
		return err
	}
	n := float64(r.args.Nodes)
	h := &HollowFigures{Nodes: r.args.Nodes, ReadyMS: ms(started.Took),
		CoresNode: cores(after.hollows.CPU-before.hollows.CPU, before.at, after.at) / n,
		HeapNode:  float64(started.HeapBytes) / n, HeapAfter: float64(report.HeapBytes) / n, StackNode: float64(started.StackMem) / n, RSS: after.hollows.RSS,
		Late: report.Late, Latency: report.Latency, Kept: report.Late.P99 <= keptWithin,
		InForce: report.InForce, Warnings: report.Warnings}
	for _, t := range report.Phases {
		h.Calls.add(t)
	}
	if r.args.Storm != "none" {
		h.StormCalls = &report.Phases[inStorm]
	}
	p.Hollow = h
	return nil
}
