package fleet

import (
	"context"
	"fmt"

	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/report"
	"basaltdrum/internal/fleet/stats"
)

// Sweep makes a run for each value of the argument over, and fits each figure against it.
func (r Runner) Sweep(ctx context.Context, args plan.Args, over string, values []int) (report.Report, error) {
	result := report.Report{Over: over, Slopes: map[string]stats.Line{}}
	runs, err := plan.SweepPlan(args, over, values)
	if err != nil {
		return result, fmt.Errorf("sweep: %w", err)
	}
	for i, runArgs := range runs {
		r.Log.Info("point", "number", i+1, "of", len(runs), over, values[i])
		point, err := r.Run(ctx, runArgs)
		if err != nil {
			return result, fmt.Errorf("with --%s %d: %w", over, values[i], err)
		}
		result.Points = append(result.Points, point)
	}
	x := make([]float64, len(values))
	y := map[string][]float64{}
	for i, point := range result.Points {
		x[i] = float64(values[i])
		for name, value := range point.Figures() {
			y[name] = append(y[name], value)
		}
	}
	for name, figures := range y {
		line, err := stats.Fit(x, figures)
		if err != nil {
			return result, fmt.Errorf("slope of %s: %w", name, err)
		}
		result.Slopes[name] = line
	}
	return result, nil
}
