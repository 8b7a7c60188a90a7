package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"sync"
	"time"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/fleet/nodes"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/process"
	"basaltdrum/internal/fleet/report"
	"basaltdrum/internal/fleet/standin"
)

// startTimeout is how long the nodes may take to be ready.
const startTimeout = time.Minute

// Runner makes runs.
type Runner struct {
	ChildCommand []string // the command that calls Child with one more argument, the role
	TempDir      string   // where runs keep their temporary files; empty: the system's folder for them
	Log          *slog.Logger
}

// run is one run while it is made. Its children are stopped at its end, also after an error.
type run struct {
	Runner
	args            plan.Args
	dir             string
	registry        *process.ChildProcess
	hollows         *process.ChildProcess
	servers         *process.ChildProcess
	serverAddresses standin.ServerAddresses
	real            []*nodes.RealNode // chain by chain, tier by tier
	client          *load.Client
	lists           []*standin.Rotation // of the services, then of the real nodes' tiers

	mu                   sync.Mutex
	changes              []nodes.ListChange
	registryUnresponsive bool
}

// Run makes one run. It ends within its bound, and its children with it.
func (r Runner) Run(ctx context.Context, args plan.Args) (p report.Point, err error) {
	if err := args.Check(); err != nil {
		return report.Point{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, args.MaxDuration()-2*process.StopTimeout)
	defer cancel()
	one := &run{Runner: r, args: args, client: load.NewClient()}
	defer one.stop()
	if one.dir, err = os.MkdirTemp(r.TempDir, "fleetscale"); err != nil {
		return report.Point{}, fmt.Errorf("run: %w", err)
	}
	p = report.Point{Args: args, Machine: thisMachine()}
	started, err := one.start(ctx)
	if err != nil {
		return report.Point{}, err
	}
	return p, one.measure(ctx, &p, started)
}

// thisMachine describes the machine before a run.
func thisMachine() report.Machine {
	return report.Machine{Cores: runtime.NumCPU(), Go: runtime.Version(), Load: process.LoadAverage()}
}

// stop ends all processes of the run.
func (r *run) stop() {
	var wg sync.WaitGroup
	for _, n := range r.real {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.Stop()
		}()
	}
	for _, c := range []*process.ChildProcess{r.hollows, r.servers, r.registry} {
		if c != nil {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.Stop()
			}()
		}
	}
	wg.Wait()
	r.client.Close()
	_ = os.RemoveAll(r.dir) // what is left of it stays in the folder for temporary files
}
