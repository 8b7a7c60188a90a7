package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/report"
)

// growthRowCount is the number of rows in a growth report: those of the standing test.
const growthRowCount = 6

// A growth run at a small size reports all rows and leaves no child process. Whether a row is within its limit depends
// on the machine and is not checked.
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
			runner.processes.checkEnded(t)
			if len(result.Rows) != growthRowCount {
				t.Errorf("rows %+v, want 6 of them", result.Rows)
			}
			checkGrowthFigures(t, result.Usual, 20)
			checkGrowthFigures(t, result.Large, 40)
		})
	}
}

// checkGrowthFigures checks the figures of a day with the given number of servers.
func checkGrowthFigures(t *testing.T, f report.GrowthFigures, servers int) {
	t.Helper()
	expect(t, f,
		expectation{"the servers listed", f.Servers == servers},
		expectation{"three changes for each server replaced", f.Changes == 3*plan.ReplacedCount(servers)},
		expectation{"all calls answered", f.Calls.Answered() == f.Calls.Offered},
		expectation{"at least 10 calls", f.Calls.Offered >= 10},
		expectation{"a call served", f.Calls.Served >= 1},
		expectation{"CPU time", f.CPUSeconds > 0},
		expectation{"a megabyte of memory", f.PeakMemory >= 1e6},
		expectation{"the three standard file descriptors", f.Descriptors >= 3},
		expectation{"connections to servers", f.Connections >= 1},
		expectation{"100 bytes for each server listed", f.ListBytes >= float64(servers)*100},
		expectation{"more bytes with the headers", f.ListPayload > f.ListBytes},
		expectation{"calls for lists", f.ListCalls >= 1},
	)
}

// A cancelled growth run leaves no child process and returns the cause.
func TestGrowthRunStopsWhenContextEnds(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	runner := newTestRunner(t)
	runner.cancelAt("running a growth day", cancel)
	_, err := runner.Growth(ctx, plan.GrowthArgs{
		Servers: 20, Factor: 2, Real: 1, Fleet: 10, Mode: "pushed", Rate: 40, For: time.Minute,
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("Growth() returned error %v, want %v", err, context.Canceled)
	}
	runner.processes.checkEnded(t)
}
