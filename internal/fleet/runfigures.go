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

// usage reads what processes have used.
type usage struct {
	at       time.Time
	busy     time.Duration
	hollows  process.Usage
	registry process.Usage
	real     []process.Usage
}

func (r *run) usage() (u usage, err error) {
	if u.busy, err = process.MachineCPUTime(); err != nil {
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
		one, err := process.UsageOf(n.PID())
		if err != nil && n.Alive() {
			return u, err
		}
		u.real = append(u.real, one)
	}
	u.at = time.Now()
	return u, nil
}

// fill notes what the processes used and what passed at the registry. realCores is what the real nodes used
// while calls went through them; nil: there were none.
func (r *run) fill(p *report.Point, before, after usage, realCores []float64, counted stats.Snapshot) {
	sum, peak, seconds := counted.Between(before.at, after.at)
	p.Seconds = after.at.Sub(before.at).Seconds()
	p.MachineCores = process.CoresInUse(after.busy-before.busy, before.at, after.at)
	per := func(n int64) float64 { return float64(n) / seconds }
	p.Registry = report.RegistryFigures{
		OpenConnections: counted.OpenConnections, Conns: per(sum.Conns), Calls: per(sum.Calls), BytesIn: per(sum.ReceivedBytes),
		BytesOut: per(sum.SentBytes), Peak: float64(peak) / stats.BucketWidth.Seconds(),
		Cores: process.CoresInUse(after.registry.CPU-before.registry.CPU, before.at, after.at), RSS: after.registry.RSS,
	}
	nodeCount := r.args.Nodes + r.args.Real
	p.PerNode = report.PerNode{
		Nodes: nodeCount, BytesIn: per(sum.SentBytes) / float64(nodeCount), BytesOut: per(sum.ReceivedBytes) / float64(nodeCount),
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

// hollowFigures notes what the hollow nodes used, and how calls and changes of lists fared there.
func (r *run) hollowFigures(
	ctx context.Context, p *report.Point, before, after usage, started nodes.HollowStartReport,
) error {
	r.mu.Lock()
	changes := r.changes
	r.mu.Unlock()
	var reported nodes.HollowReport
	if err := r.hollows.Call(ctx, "Report", changes, &reported); err != nil {
		return err
	}
	n := float64(r.args.Nodes)
	h := &report.HollowFigures{
		Nodes: r.args.Nodes, ReadyMS: stats.Milliseconds(started.Took),
		CoresPerNode: process.CoresInUse(after.hollows.CPU-before.hollows.CPU, before.at, after.at) / n,
		HeapPerNode:  float64(started.HeapBytes) / n, HeapPerNodeAtEnd: float64(reported.HeapBytes) / n,
		StackPerNode: float64(started.StackMem) / n, RSS: after.hollows.RSS,
		Lateness: reported.Lateness, Latency: reported.Latency, ScheduleKept: load.ScheduleKept(reported.Lateness),
		InForce: reported.InForce, Warnings: reported.Warnings,
	}
	for _, t := range reported.Phases {
		h.Calls = h.Calls.Plus(t)
	}
	if r.args.Storm != plan.StormNone {
		h.StormCalls = &reported.Phases[nodes.InStorm]
	}
	p.Hollow = h
	return nil
}
