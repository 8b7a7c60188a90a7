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

// startTimeout is how long the nodes may take to be ready.
const startTimeout = time.Minute

// Runner makes runs.
type Runner struct {
	ChildCommand []string // the command that calls Child with one more argument, the role
	Log          *slog.Logger
}

// run is one run while it is made. Its children are stopped at its end, also after an error.
type run struct {
	Runner
	args            Args
	dir             string
	registry        *ChildProcess
	hollows         *ChildProcess
	servers         *ChildProcess
	serverAddresses ServerAddresses
	real            []*RealNode // chain by chain, tier by tier
	client          *Client
	lists           []*Rotation // of the services, then of the real nodes' tiers

	mu                   sync.Mutex
	changes              []ListChange
	registryUnresponsive bool
}

// Run makes one run. It ends within its bound, and its children with it.
func (r Runner) Run(ctx context.Context, args Args) (p Point, err error) {
	if err := args.Check(); err != nil {
		return Point{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, args.Bound()-2*StopTimeout)
	defer cancel()
	one := &run{Runner: r, args: args, client: NewClient()}
	defer one.stop()
	if one.dir, err = os.MkdirTemp("", "fleetscale"); err != nil {
		return Point{}, fmt.Errorf("run: %w", err)
	}
	p = Point{Args: args, Machine: Machine{runtime.NumCPU(), runtime.Version(), LoadAverage()}}
	started, err := one.start(ctx)
	if err != nil {
		return Point{}, err
	}
	return p, one.measure(ctx, &p, started)
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
	for _, c := range []*ChildProcess{r.hollows, r.servers, r.registry} {
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
