package fleet

import (
	"context"
	"testing"
	"time"

	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/report"
)

// growthRowCount is how many rows a growth report has: those of the standing test.
const growthRowCount = 6

// A run at a small size gives all rows, and leaves no child. Whether a row is within its limit is the machine's.
func TestGrowthRun(t *testing.T) {
	for _, mode := range []string{"pushed", "asked"} {
		result, err := testRunner(t).Growth(context.Background(), plan.GrowthArgs{
			Servers: 20, Factor: 2, Real: 1, Fleet: 10, Mode: mode,
			Rate: 40, Seed: 1, For: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		if n := children(t); len(n) > 0 {
			t.Fatalf("children are left: %v", n)
		}
		if len(result.Rows) != growthRowCount {
			t.Fatalf("%s: rows %+v", mode, result.Rows)
		}
		for i, f := range []report.GrowthFigures{result.Usual, result.Large} {
			servers := []int{20, 40}[i]
			if f.Servers != servers || f.Changes != 3*plan.ReplacedCount(servers) || f.Calls.Answered() != f.Calls.Offered || f.Calls.Offered < 10 ||
				f.Calls.Served < 1 || f.CPUSeconds <= 0 || f.PeakMemory < 1e6 || f.Descriptors < 3 || f.Connections < 1 ||
				f.ListBytes < float64(servers)*100 || f.ListPayload <= f.ListBytes || f.ListCalls < 1 {
				t.Errorf("%s: %+v", mode, f)
			}
		}
	}
}

// A growth run that is ended early leaves no child, and says so.
func TestGrowthRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(time.Second, cancel)
	_, err := testRunner(t).Growth(ctx, plan.GrowthArgs{Servers: 20, Factor: 2, Real: 1, Fleet: 10, Mode: "pushed", Rate: 40, For: time.Minute})
	if err == nil {
		t.Error("no error")
	}
	if n := children(t); len(n) > 0 {
		t.Errorf("children are left: %v", n)
	}
}
