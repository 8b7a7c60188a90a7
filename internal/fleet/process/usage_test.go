package process

import (
	"os"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// minimalUse is more processor time than reading it costs.
const minimalUse = 50 * time.Millisecond

// What a process computes and holds shows in its use, which the test polls: each look costs processor time itself.
func TestUsageOf(t *testing.T) {
	before, err := UsageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "50 ms more of processor time, and a megabyte of memory", func() bool {
		after, err := UsageOf(os.Getpid())
		if err != nil {
			t.Fatal(err)
		}
		return after.CPU >= before.CPU+minimalUse && after.RSS > 1<<20
	})
}

func TestUseOfThisProcess(t *testing.T) {
	if peak, err := PeakMemory(os.Getpid()); err != nil || peak < 1<<20 {
		t.Errorf("%v: peak memory %d", err, peak)
	}
	if open, err := Descriptors(os.Getpid()); err != nil || open < 3 {
		t.Errorf("%v: %d descriptors", err, open)
	}
	if busy, err := MachineBusy(); err != nil || busy <= 0 {
		t.Errorf("%v: the machine was busy for %v", err, busy)
	}
}

// noProcess is larger than any process id of the kernel.
const noProcess = 1 << 30

func TestUseOfNoProcess(t *testing.T) {
	if used, err := UsageOf(noProcess); err == nil {
		t.Errorf("usage %+v", used)
	}
	if peak, err := PeakMemory(noProcess); err == nil {
		t.Errorf("peak memory %d", peak)
	}
	if open, err := Descriptors(noProcess); err == nil {
		t.Errorf("%d descriptors", open)
	}
}
