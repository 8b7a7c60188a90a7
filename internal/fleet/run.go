package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"sync"
	"time"
)

// The kinds of list changes, whose times are told apart.
const (
	groupChange      = "a server's state" // one server of the list drains, goes, or comes back
	groupAfterOutage = "told at the return"
	groupZoneLost    = "a zone lost"
	groupZoneBack    = "a zone back"
)

var groups = []string{groupChange, groupAfterOutage, groupZoneLost, groupZoneBack}

// When a storm begins and ends, as shares of a run's length, and how long its return is watched.
const (
	stormBegins = 0.25
	stormEnds   = 0.6
	stormWatch  = 10 * time.Second
)

// startWait is how long the nodes may take to be ready.
const startTimeout = time.Minute

// Runner makes runs.
type Runner struct {
	ChildCommand []string // the command that calls Child with one more argument, the role
	Log          *slog.Logger
}

// run is one run under way. Its children are stopped at its end, whatever that is.
type run struct {
	Runner
	args            Args
	dir             string
	registry        *child
	hollows         *child
	servers         *child
	serverAddresses ServerAddresses
	real            []*realNode // chain by chain, tier by tier
	client          *client
	lists           []*rotation // of the services, then of the real nodes' tiers

	mu                   sync.Mutex
	changes              []ListChange
	registryUnresponsive bool
}

// Run makes one run. It ends within its bound, with its children gone.
func (r Runner) Run(ctx context.Context, args Args) (p Point, err error) {
	if err := args.Check(); err != nil {
		return Point{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, args.bound()-2*childStopTimeout)
	defer cancel()
	one := &run{Runner: r, args: args, client: newClient()}
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
	r.client.close()
	os.RemoveAll(r.dir)
}

// measure lets the run go on for its length, and fills the point.
func (r *run) measure(ctx context.Context, p *Point, started HollowStart) error {
	before, err := r.usage()
	if err != nil {
		return err
	}
	var realCores []float64
	if r.hollows != nil {
		if err := r.hollows.call(ctx, "Load", HollowLoad{r.args.Rate, r.args.For, r.args.Seed}, &struct{}{}); err != nil {
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
	if err := r.registry.call(ctx, "Traffic", struct{}{}, &counted); err != nil {
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
