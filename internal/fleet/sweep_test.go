package fleet

import (
	"strings"
	"testing"
	"time"
)

// A sweep reports a point for each value, and a slope for each figure.
func TestSweepFitsItsPoints(t *testing.T) {
	t.Parallel()
	args := testArgs()
	args.Nodes, args.For = 3, time.Second
	result, err := newTestRunner(t).Sweep(t.Context(), args, "servers", []int{10, 300})
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Points) != 2 || result.Points[1].Args.Servers != 300 {
		t.Fatalf("points %+v, want 2, the second with 300 servers", result.Points)
	}
	if line := result.Slopes["hollow heap bytes a node"]; line.Slope < 100 { // bytes per server
		t.Errorf("fit of the heap against servers %+v, want a slope of at least 100 bytes per server", line)
	}
	for name := range result.Points[0].Figures() {
		if _, ok := result.Slopes[name]; !ok {
			t.Errorf("no slope for %s", name)
		}
	}
	var table strings.Builder
	if err := result.Table(&table); err != nil || !strings.Contains(table.String(), "against servers") {
		t.Errorf("error %v, table %s; want the slopes against servers", err, table.String())
	}
}

// Invalid values, and arguments that can't be varied, are rejected before the first run.
func TestSweepRejectsBadValues(t *testing.T) {
	t.Parallel()
	args := testArgs()
	args.Nodes = 3
	for _, over := range []string{"nodes", "servers", "changes", "seeds"} {
		t.Run(over, func(t *testing.T) {
			if result, err := newTestRunner(t).Sweep(t.Context(), args, over, []int{-1, 1}); err == nil {
				t.Errorf("a sweep with the value -1 returned %+v, want an error", result)
			}
		})
	}
}
