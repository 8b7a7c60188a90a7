package endpointlist

import (
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// The number of observed offsets is bounded, however often the clock is stepped, and slewing the clock is no step.
func TestClockOffsetsAreBounded(t *testing.T) {
	machine := testutil.NewMachineClocks()
	clock := newBootClock(monotime.Simulated(machine.Elapsed, machine.Unix))
	for range 1000 {
		machine.Advance(time.Second)
		machine.StepWallClock(offsetTolerance / 2)
		clock.observe()
	}
	if len(clock.offsets) != 1 {
		t.Errorf("a clock that is slewed has %d offsets", len(clock.offsets))
	}
	for i := range 1000 {
		machine.StepWallClock(time.Duration(i) * time.Second)
		clock.observe()
	}
	if len(clock.offsets) != maxOffsets {
		t.Errorf("%d offsets are kept, want %d", len(clock.offsets), maxOffsets)
	}
}
