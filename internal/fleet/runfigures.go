package fleet

import (
	"context"
	"time"
)

// usage reads what processes have used.
type usage struct {
	at       time.Time
	busy     time.Duration
	hollows  Usage
	registry Usage
	real     []Usage
}

func (r *run) usage() (u usage, err error) {
	if u.busy, err = MachineBusy(); err != nil {
		return u, err
	}
	if u.registry, err = UsageOf(r.registry.PID()); err != nil {
		return u, err
	}
	if r.hollows != nil {
		if u.hollows, err = UsageOf(r.hollows.PID()); err != nil {
			return u, err
		}
	}
	for _, n := range r.real {
		one, err := UsageOf(n.PID())
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
func (r *run) fill(p *Point, before, after usage, realCores []float64, counted Counted) {
	sum, peak, seconds := counted.Between(before.at, after.at)
	p.Seconds = after.at.Sub(before.at).Seconds()
	p.Busy = Cores(after.busy-before.busy, before.at, after.at)
	per := func(n int64) float64 { return float64(n) / seconds }
	p.Registry = RegistryFigures{
		Open: counted.Open, Conns: per(sum.Conns), Calls: per(sum.Calls), BytesIn: per(sum.In),
		BytesOut: per(sum.Out), Peak: float64(peak) / BucketWidth.Seconds(),
		Cores: Cores(after.registry.CPU-before.registry.CPU, before.at, after.at), RSS: after.registry.RSS,
	}
	nodeCount := r.args.Nodes + r.args.Real
	p.PerNode = PerNode{nodeCount, per(sum.Out) / float64(nodeCount), per(sum.In) / float64(nodeCount)}
	if len(r.real) == 0 {
		return
	}
	f := &RealFigures{Nodes: len(r.real)}
	for i, n := range r.real {
		if n.Alive() {
			f.Alive++
		}
		used := Cores(after.real[i].CPU-before.real[i].CPU, before.at, after.at)
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
	var reported HollowReport
	if err := r.hollows.Call(ctx, "Report", changes, &reported); err != nil {
		return err
	}
	n := float64(r.args.Nodes)
	h := &HollowFigures{
		Nodes: r.args.Nodes, ReadyMS: Milliseconds(started.Took),
		CoresNode: Cores(after.hollows.CPU-before.hollows.CPU, before.at, after.at) / n,
		HeapNode:  float64(started.HeapBytes) / n, HeapAfter: float64(reported.HeapBytes) / n, StackNode: float64(started.StackMem) / n, RSS: after.hollows.RSS,
		Lateness: reported.Lateness, Latency: reported.Latency, ScheduleKept: ScheduleKept(reported.Lateness),
		InForce: reported.InForce, Warnings: reported.Warnings,
	}
	for _, t := range reported.Phases {
		h.Calls = h.Calls.Plus(t)
	}
	if r.args.Storm != StormNone {
		h.StormCalls = &reported.Phases[InStorm]
	}
	p.Hollow = h
	return nil
}
