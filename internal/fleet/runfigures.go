package fleet

import (
	"context"
	"time"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/fleet/nodes"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/process"
	"basaltdrum/internal/fleet/report"
	"basaltdrum/internal/fleet/stats"
)

// usage holds the resource usage of the run's processes at one time.
type usage struct {
	at       time.Time
	machine  time.Duration // CPU time of all processes on the machine
	hollows  process.Usage
	registry process.Usage
	real     []process.Usage
}

// readUsage reads the current usage. That of a real node that has exited is zero.
func (r *run) readUsage() (u usage, err error) {
	if u.machine, err = process.MachineCPUTime(); err != nil {
		return u, err
	}
	if u.registry, err = process.UsageOf(r.registry.PID()); err != nil {
		return u, err
	}
	if r.hollows != nil {
		if u.hollows, err = process.UsageOf(r.hollows.PID()); err != nil {
			return u, err
		}
	}
	for _, n := range r.real {
		nodeUsage, err := process.UsageOf(n.PID())
		if err != nil && n.Alive() {
			return u, err
		}
		u.real = append(u.real, nodeUsage)
	}
	u.at = time.Now()
	return u, nil
}

// fillFigures sets the figures of the registry, the real nodes and the machine. realCores holds the mean number of
// cores that each real node used while calls went through it; it is nil if there were no such calls.
func (r *run) fillFigures(p *report.Point, before, after usage, realCores []float64, traffic stats.Snapshot) {
	sum, peak, seconds := traffic.Between(before.at, after.at)
	p.Seconds = after.at.Sub(before.at).Seconds()
	p.MachineCores = process.CoresInUse(after.machine-before.machine, before.at, after.at)
	perSecond := func(n int64) float64 { return float64(n) / seconds }
	p.Registry = report.RegistryFigures{
		OpenConnections: traffic.OpenConnections,
		Conns:           perSecond(sum.Conns),
		Calls:           perSecond(sum.Calls),
		BytesIn:         perSecond(sum.ReceivedBytes),
		BytesOut:        perSecond(sum.SentBytes),
		Peak:            float64(peak) / stats.BucketWidth.Seconds(),
		CoresInUse:      process.CoresInUse(after.registry.CPU-before.registry.CPU, before.at, after.at),
		RSS:             after.registry.RSS,
	}
	nodeCount := r.args.Nodes + r.args.Real
	p.PerNode = report.PerNode{
		Nodes:    nodeCount,
		BytesIn:  perSecond(sum.SentBytes) / float64(nodeCount),
		BytesOut: perSecond(sum.ReceivedBytes) / float64(nodeCount),
	}
	if len(r.real) == 0 {
		return
	}
	f := &report.RealFigures{Nodes: len(r.real)}
	for i, n := range r.real {
		if n.Alive() {
			f.Alive++
		}
		used := process.CoresInUse(after.real[i].CPU-before.real[i].CPU, before.at, after.at)
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

// fillHollowFigures sets the figures of the hollow nodes: their resource usage, calls and list changes.
func (r *run) fillHollowFigures(
	ctx context.Context, p *report.Point, before, after usage, started nodes.HollowStartReport,
) error {
	r.mu.Lock()
	changes := r.changes
	r.mu.Unlock()
	var reported nodes.HollowReport
	if err := r.hollows.Call(ctx, "Report", changes, &reported); err != nil {
		return err
	}
	nodeCount := float64(r.args.Nodes)
	h := &report.HollowFigures{
		Nodes: r.args.Nodes, ReadyMS: stats.Milliseconds(started.Took),
		CoresPerNode: process.CoresInUse(after.hollows.CPU-before.hollows.CPU, before.at, after.at) / nodeCount,
		HeapPerNode:  float64(started.HeapBytes) / nodeCount, HeapPerNodeAtEnd: float64(reported.HeapBytes) / nodeCount,
		StackPerNode: float64(started.StackMem) / nodeCount, RSS: after.hollows.RSS,
		Lateness: reported.Lateness, Latency: reported.Latency, ScheduleKept: load.ScheduleKept(reported.Lateness),
		InForce: reported.InForce, Warnings: reported.Warnings,
	}
	for _, tally := range reported.Phases {
		h.Calls = h.Calls.Plus(tally)
	}
	if r.args.Storm != plan.StormNone {
		h.StormCalls = &reported.Phases[nodes.InStorm]
	}
	p.Hollow = h
	return nil
}
