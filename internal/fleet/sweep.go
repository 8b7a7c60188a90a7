package fleet

import (
	"context"
	"fmt"
)

// Plan returns the runs of a sweep: the arguments with one of them varied.
func Plan(args Args, over string, values []int) ([]Args, error) {
	set, ok := map[string]func(a *Args, v int){
		"nodes":   func(a *Args, v int) { a.Nodes = v },
		"servers": func(a *Args, v int) { a.Servers = v },
		"changes": func(a *Args, v int) { a.Changes = float64(v) },
	}[over]
	if !ok {
		return nil, fmt.Errorf("--over %q is none of nodes, servers, changes", over)
	}
	var plan []Args
	differ := false
	for _, v := range values {
		one := args
		set(&one, v)
		if err := one.Check(); err != nil {
			return nil, fmt.Errorf("at %s %d: %w", over, v, err)
		}
		plan = append(plan, one)
		differ = differ || v != values[0]
	}
	if !differ {
		return nil, fmt.Errorf("--values must hold two different ones, not %v", values)
	}
	return plan, nil
}

// Sweep makes a run for each value of one argument, and fits each figure against it.
func (r Runner) Sweep(ctx context.Context, args Args, over string, values []int) (Report, error) {
	report := Report{Over: over, Slopes: map[string]Line{}}
	plan, err := Plan(args, over, values)
	if err != nil {
		return report, fmt.Errorf("sweep: %w", err)
	}
	for i, one := range plan {
		r.Log.Info("point", "number", i+1, "of", len(plan), over, values[i])
		p, err := r.Run(ctx, one)
		if err != nil {
			return report, fmt.Errorf("at %s %d: %w", over, values[i], err)
		}
		report.Points = append(report.Points, p)
	}
	x := make([]float64, len(values))
	y := map[string][]float64{}
	for i, p := range report.Points {
		x[i] = float64(values[i])
		for name, v := range p.figures() {
			y[name] = append(y[name], v)
		}
	}
	for name, v := range y {
		line, err := Fit(x, v)
		if err != nil {
			return report, fmt.Errorf("%s: %w", name, err)
		}
		report.Slopes[name] = line
	}
	return report, nil
}

// figures returns those of a point's figures that a sweep fits.
func (p Point) figures() map[string]float64 {
	f := map[string]float64{
		"node bytes in/s": p.PerNode.BytesIn, "node bytes out/s": p.PerNode.BytesOut,
		"registry connections": float64(p.Registry.Open), "registry calls/s": p.Registry.Calls,
		"registry bytes out/s": p.Registry.BytesOut, "registry bytes in/s": p.Registry.BytesIn, "registry cores": p.Registry.Cores,
	}
	if p.Hollow != nil {
		f["hollow cores a node"] = p.Hollow.CoresNode
		f["hollow heap bytes a node"] = p.Hollow.HeapNode
		f["hollow heap bytes a node at the end"] = p.Hollow.HeapAfter
	}
	if p.Real != nil {
		f["real cores a node"] = p.Real.CoresMean
		f["real RSS bytes a node"] = p.Real.RSSMean
	}
	return f
}
