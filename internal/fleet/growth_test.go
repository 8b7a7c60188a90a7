package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/report"
)

// growthRowCount is how many rows a growth report has: those of the standing test.
const growthRowCount = 6

// A growth run at a small size gives all rows, and leaves no child. Whether a row is within its limit is the machine's.
func TestGrowthRun(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, mode string }{
		{"lists are pushed", "pushed"},
		{"lists are polled", plan.ModePolled},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runner := newTestRunner(t)
			result, err := runner.Growth(t.Context(), plan.GrowthArgs{
				Servers: 20, Factor: 2, Real: 1, Fleet: 10, Mode: test.mode,
				Rate: 40, Seed: 1, For: time.Second,
			})
			if err != nil {
				t.Fatal(err)
			}
			runner.started.checkEnded(t)
			if len(result.Rows) != growthRowCount {
				t.Errorf("rows %+v", result.Rows)
			}
			checkGrowthFigures(t, result.Usual, 20)
			checkGrowthFigures(t, result.Large, 40)
		})
	}
}

// checkGrowthFigures wants all figures of a day with so many servers.
func checkGrowthFigures(t *testing.T, f report.GrowthFigures, servers int) {
	t.Helper()
	expect(t, f,
		expectation{"the servers listed", f.Servers == servers},
		expectation{"three changes for each server replaced", f.Changes == 3*plan.ReplacedCount(servers)},
		expectation{"all calls answered", f.Calls.Answered() == f.Calls.Offered},
		expectation{"at least 10 calls", f.Calls.Offered >= 10},
		expectation{"a call served", f.Calls.Served >= 1},
		expectation{"processor time", f.CPUSeconds > 0},
		expectation{"a megabyte of memory", f.PeakMemory >= 1e6},
		expectation{"standard descriptors", f.Descriptors >= 3},
		expectation{"connections to servers", f.Connections >= 1},
		expectation{"100 bytes for each server listed", f.ListBytes >= float64(servers)*100},
		expectation{"more bytes with the headers", f.ListPayload > f.ListBytes},
		expectation{"calls for lists", f.ListCalls >= 1},
	)
}

// A growth run that is ended early leaves no child, and says why it has ended.
func TestGrowthRunEndsWithItsContext(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	runner := newTestRunner(t)
	runner.cancelAt("playing a day", cancel)
	_, err := runner.Growth(ctx, plan.GrowthArgs{
		Servers: 20, Factor: 2, Real: 1, Fleet: 10, Mode: "pushed", Rate: 40, For: time.Minute,
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want %v", err, context.Canceled)
	}
	runner.started.checkEnded(t)
}
