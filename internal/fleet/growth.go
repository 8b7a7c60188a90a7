package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/fleet/nodes"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/process"
	"basaltdrum/internal/fleet/report"
	"basaltdrum/internal/fleet/standin"
	"basaltdrum/internal/fleet/stats"
	"basaltdrum/internal/monotime"
)

// descriptorInterval is how often the open file descriptors of the nodes are sampled.
const descriptorInterval = 50 * time.Millisecond

// Growth runs the same day with real nodes at the usual size and at the large one, and compares the growth of a node's
// resource usage with the limits. It returns, and all its child processes have exited, within args.MaxDuration.
func (r Runner) Growth(ctx context.Context, args plan.GrowthArgs) (result report.GrowthReport, err error) {
	if err := args.Check(); err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, args.MaxDuration()-2*process.StopTimeout)
	defer cancel()
	dir, err := os.MkdirTemp(r.TempDir, "fleetscale")
	if err != nil {
		return result, fmt.Errorf("growth: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // on error the rest stays in the directory for temporary files
	result.Args, result.Machine = args, thisMachine()
	if args.Program == "" {
		if args.Program, err = nodes.BuildProgram(ctx, dir); err != nil {
			return result, err
		}
	}
	if result.Usual, err = r.runDay(ctx, dir, args, args.Usual()); err != nil {
		return result, err
	}
	if result.Large, err = r.runDay(ctx, dir, args, args.Large()); err != nil {
		return result, err
	}
	result.Rows = report.GrowthRows(result.Usual, result.Large)
	return result, nil
}

// runDay runs one day and stops all processes that it started.
func (r Runner) runDay(
	ctx context.Context, dir string, args plan.GrowthArgs, size plan.GrowthSize,
) (report.GrowthFigures, error) {
	d := &growthDay{Runner: r, args: args, size: size, dir: dir, client: load.NewClient()}
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return report.GrowthFigures{}, err
	}
	r.Log.Info("running a growth day", "servers", size.Servers, "for", args.For)
	figures, err := d.run(ctx)
	if err != nil {
		return report.GrowthFigures{}, fmt.Errorf("day of %d servers: %w", size.Servers, err)
	}
	return figures, nil
}

// growthDay is the state of one running day.
type growthDay struct {
	Runner
	args      plan.GrowthArgs
	size      plan.GrowthSize
	dir       string
	registry  *process.ChildProcess
	servers   *process.ChildProcess
	endpoints []string // of all servers of the day, by index
	nodes     []*nodes.RealNode
	client    *load.Client
}

// start starts the servers, the registry and the nodes, and waits until all nodes are ready.
func (d *growthDay) start(ctx context.Context) (err error) {
	if d.servers, err = process.StartChild(d.ChildCommand, roleListed); err != nil {
		return err
	}
	spec := standin.ListedServersSpec{
		Count: d.size.Servers + plan.ReplacedCount(d.size.Servers), Service: d.args.Service, Seed: d.args.Seed,
	}
	if err := d.servers.Call(ctx, "Start", spec, &d.endpoints); err != nil {
		return err
	}
	if d.registry, err = process.StartChild(d.ChildCommand, roleRegistry); err != nil {
		return err
	}
	list := standin.RegistrySpec{Services: [][]standin.ListEntry{nil}, Addresses: make([]int, d.args.Real)}
	for i := range d.size.Servers {
		list.Services[0] = append(list.Services[0], d.serverEntry(i))
	}
	var addresses []string
	if err := d.registry.Call(ctx, "Start", list, &addresses); err != nil {
		return err
	}
	return d.startNodes(ctx, addresses)
}

// startNodes starts the nodes, each with its own registry address.
func (d *growthDay) startNodes(ctx context.Context, addresses []string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i, address := range addresses {
		n, err := nodes.StartRealNode(ctx, d.args.Program, d.dir, nodes.NodeSpec{
			Name: fmt.Sprintf("n%d", i), Index: i, Replicas: d.size.Nodes,
			Listen: "127.0.0.1:0", Discovery: address, PollDiscovery: d.args.Mode == plan.ModePolled,
			Seed: d.args.Seed + uint64(i),
		})
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		if err := n.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// serverEntry returns the list entry of server i in service. It has no boot time, which means that the server started
// long ago.
func (d *growthDay) serverEntry(i int) standin.ListEntry {
	return standin.ListEntry{
		UID: fmt.Sprintf("s-%d", i), Endpoint: d.endpoints[i], Zone: plan.Zones[i%len(plan.Zones)], Model: "m1",
		Cell: i % 10, State: standin.InService, Capacity: d.size.Capacity,
	}
}

// stop ends all processes of the day.
func (d *growthDay) stop() {
	for _, n := range d.nodes {
		n.Stop()
	}
	for _, c := range []*process.ChildProcess{d.servers, d.registry} {
		if c != nil {
			c.Stop()
		}
	}
	d.client.Close()
}

// run makes the calls and the events of the day, and measures. The first error cancels all activities.
func (d *growthDay) run(ctx context.Context) (f report.GrowthFigures, err error) {
	f = report.GrowthFigures{Servers: d.size.Servers, FleetNodes: d.size.Nodes, Capacity: d.size.Capacity}
	before, err := process.MachineCPUTime()
	if err != nil {
		return f, err
	}
	startTime := time.Now()
	activities, activityCtx := newActivities(ctx)
	defer activities.cancel(nil)
	activities.start(func() error { return d.runEvents(activityCtx, &f) })
	samplingCtx, stopSampling := context.WithCancel(activityCtx)
	defer stopSampling()
	var descriptors []int
	activities.start(func() error {
		descriptors = d.sampleDescriptors(samplingCtx)
		return nil
	})
	f.Calls = d.runCalls(activityCtx)
	stopSampling()
	if err := activities.wait(); err != nil {
		return f, err
	}
	after, err := process.MachineCPUTime()
	if err != nil {
		return f, err
	}
	f.MachineCores = process.CoresInUse(after-before, startTime, time.Now())
	for _, n := range descriptors {
		f.Descriptors += float64(n) / float64(len(d.nodes))
	}
	return f, d.readFigures(ctx, &f)
}

// runCalls makes calls to each node for the length of the day, and waits for the responses.
func (d *growthDay) runCalls(ctx context.Context) stats.Tally {
	calls := load.Spec{Name: "day", Rate: d.args.Rate, Seed: d.args.Seed}
	for _, n := range d.nodes {
		calls.Addresses = append(calls.Addresses, n.Address())
	}
	generator := load.NewGenerator(d.client, calls)
	generator.RunRound(ctx, d.args.For)
	return generator.Figures().Tally
}

// sampleDescriptors samples the number of open file descriptors of each node until ctx ends, and returns the maxima.
func (d *growthDay) sampleDescriptors(ctx context.Context) []int {
	maxima := make([]int, len(d.nodes))
	for ctx.Err() == nil {
		for i, n := range d.nodes {
			if open, err := process.Descriptors(n.PID()); err == nil { // readFigures reports a node that has exited
				maxima[i] = max(maxima[i], open)
			}
		}
		monotime.Sleep(ctx, descriptorInterval)
	}
	return maxima
}

// errNoCallServed means that the figures of a day can't be compared.
var errNoCallServed = errors.New("no call was served")

// readFigures reads the resource usage of the nodes and the counts of the stand-ins.
func (d *growthDay) readFigures(ctx context.Context, f *report.GrowthFigures) error {
	if f.Calls.Served == 0 {
		return errNoCallServed
	}
	f.Served = float64(f.Calls.Served) / float64(f.Calls.Offered)
	nodeCount := float64(len(d.nodes))
	for _, n := range d.nodes {
		if !n.Alive() {
			return fmt.Errorf("node %s exited during the day", n.Name())
		}
		used, err := process.UsageOf(n.PID())
		if err != nil {
			return err
		}
		peak, err := process.PeakMemory(n.PID())
		if err != nil {
			return err
		}
		f.CPUSeconds += used.CPU.Seconds() / nodeCount
		f.PeakMemory += float64(peak) / nodeCount
	}
	var connections int64
	if err := d.servers.Call(ctx, "Accepted", struct{}{}, &connections); err != nil {
		return err
	}
	var traffic stats.Snapshot
	if err := d.registry.Call(ctx, "Traffic", struct{}{}, &traffic); err != nil {
		return err
	}
	f.Connections = float64(connections) / nodeCount
	for _, bucket := range traffic.Buckets {
		f.ListBytes += float64(bucket.BytesOfLists) / nodeCount
		f.ListPayload += float64(bucket.SentBytes) / nodeCount
		f.ListCalls += float64(bucket.Calls) / nodeCount
	}
	return nil
}
