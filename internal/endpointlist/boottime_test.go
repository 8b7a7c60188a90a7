package endpointlist

import (
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// The number of stored offsets is bounded however often the clock is stepped, and slewing the clock adds none.
func TestClockOffsetsAreBounded(t *testing.T) {
	machine := testutil.NewMachineClocks()
	clock := newBootClock(monotime.Simulated(machine.Elapsed, machine.Unix))
	for range 1000 {
		machine.Advance(time.Second)
		machine.StepWallClock(offsetTolerance / 2)
		clock.observe()
	}
	if len(clock.offsets) != 1 {
		t.Errorf("%d offsets are stored for a slewed clock, want 1", len(clock.offsets))
	}
	for i := range 1000 {
		machine.StepWallClock(time.Duration(i) * time.Second)
		clock.observe()
	}
	if len(clock.offsets) != maxOffsets {
		t.Errorf("%d offsets are stored, want %d", len(clock.offsets), maxOffsets)
	}
}
