package fleet

import (
	"strings"
	"testing"
	"time"
)

// A sweep has a point for each value, and a slope of each figure.
func TestSweepFitsItsPoints(t *testing.T) {
	t.Parallel()
	args := testArgs()
	args.Nodes, args.For = 3, time.Second
	result, err := newTestRunner(t).Sweep(t.Context(), args, "servers", []int{10, 300})
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Points) != 2 || result.Points[1].Args.Servers != 300 {
		t.Fatalf("points %+v", result.Points)
	}
	if line := result.Slopes["hollow heap bytes a node"]; line.Slope < 100 { // bytes for each server
		t.Errorf("heap against servers: %+v", line)
	}
	for name := range result.Points[0].Figures() {
		if _, ok := result.Slopes[name]; !ok {
			t.Errorf("no slope for %s", name)
		}
	}
	var table strings.Builder
	if err := result.Table(&table); err != nil || !strings.Contains(table.String(), "against servers") {
		t.Errorf("%v: %s", err, table.String())
	}
}

// Values that an argument can't have, and arguments that can't be varied, are refused before the first run.
func TestSweepRefusesBadValues(t *testing.T) {
	t.Parallel()
	args := testArgs()
	args.Nodes = 3
	for _, over := range []string{"nodes", "servers", "changes", "seeds"} {
		t.Run(over, func(t *testing.T) {
			if result, err := newTestRunner(t).Sweep(t.Context(), args, over, []int{-1, 1}); err == nil {
				t.Errorf("from -1 on: %+v", result)
			}
		})
	}
}
