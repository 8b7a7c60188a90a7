package fleet

import (
	"context"
	"fmt"
)

// Sweep makes a run for each value of one argument, and fits each figure against it.
func (r Runner) Sweep(ctx context.Context, args Args, over string, values []int) (Report, error) {
	report := Report{Over: over, Slopes: map[string]Line{}}
	plan, err := SweepPlan(args, over, values)
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
		for name, v := range p.Figures() {
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
