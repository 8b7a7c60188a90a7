package process

import (
	"os"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// minCPUTime is more CPU time than one reading takes.
const minCPUTime = 50 * time.Millisecond

// The usage of a process includes its CPU time and memory. The test polls until the CPU time has grown, since each
// reading uses CPU time itself.
func TestUsageOf(t *testing.T) {
	before, err := UsageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "50 ms more of CPU time, and a megabyte of memory", func() bool {
		after, err := UsageOf(os.Getpid())
		if err != nil {
			t.Fatal(err)
		}
		return after.CPU >= before.CPU+minCPUTime && after.RSS > 1<<20
	})
}

func TestUsageOfThisProcess(t *testing.T) {
	if peak, err := PeakMemory(os.Getpid()); err != nil || peak < 1<<20 {
		t.Errorf("error %v, peak memory %d bytes, want at least 1 MiB", err, peak)
	}
	if open, err := Descriptors(os.Getpid()); err != nil || open < 3 {
		t.Errorf("error %v, %d open descriptors, want at least 3", err, open)
	}
	if busy, err := MachineCPUTime(); err != nil || busy <= 0 {
		t.Errorf("error %v, machine CPU time %v, want more than 0", err, busy)
	}
}

// unusedPID is larger than any process id that the kernel assigns.
const unusedPID = 1 << 30

func TestUsageOfUnknownProcess(t *testing.T) {
	if used, err := UsageOf(unusedPID); err == nil {
		t.Errorf("usage %+v of an unknown process, want an error", used)
	}
	if peak, err := PeakMemory(unusedPID); err == nil {
		t.Errorf("peak memory %d of an unknown process, want an error", peak)
	}
	if open, err := Descriptors(unusedPID); err == nil {
		t.Errorf("%d open descriptors of an unknown process, want an error", open)
	}
}
