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

// startTimeout is how long the nodes may take to become ready.
const startTimeout = time.Minute

// Runner makes measurement runs.
type Runner struct {
	ChildCommand []string // command that calls Child with the role, which is added as the last argument
	TempDir      string   // directory for temporary files; if empty, that of the system
	Log          *slog.Logger
}

// run is the state of one measurement run. Its processes are stopped at its end, also after an error.
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
	lists           []*standin.Rotation // first those of the services, then one for each real node

	mu                   sync.Mutex
	changes              []nodes.ListChange
	registryUnresponsive bool
}

// Run makes one run. It returns, and all its child processes have exited, within args.MaxDuration.
func (r Runner) Run(ctx context.Context, args plan.Args) (p report.Point, err error) {
	if err := args.Check(); err != nil {
		return report.Point{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, args.MaxDuration()-2*process.StopTimeout)
	defer cancel()
	current := &run{Runner: r, args: args, client: load.NewClient()}
	defer current.stop()
	if current.dir, err = os.MkdirTemp(r.TempDir, "fleetscale"); err != nil {
		return report.Point{}, fmt.Errorf("run: %w", err)
	}
	p = report.Point{Args: args, Machine: thisMachine()}
	started, err := current.start(ctx)
	if err != nil {
		return report.Point{}, err
	}
	return p, current.measure(ctx, &p, started)
}

// thisMachine describes this machine and its current load.
func thisMachine() report.Machine {
	return report.Machine{Cores: runtime.NumCPU(), Go: runtime.Version(), Load: process.LoadAverage()}
}

// stop stops all processes of the run and removes its files.
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
	_ = os.RemoveAll(r.dir) // on error the rest stays in the directory for temporary files
}
