package node

import (
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// fixedDeadline is a connection with one request that was sent ahead, whose deadline is a clock time; 0: with none.
type fixedDeadline time.Duration

func (d *fixedDeadline) PipelinedDeadline() (at time.Duration, found bool) {
	return time.Duration(*d), *d > 0
}

// No attempt starts from the deadline of a request on that was sent ahead, and the response to the open one is due
// maxLateness after it.
func TestResponseIsDueSomeTimeAfterThePipelinedDeadline(t *testing.T) {
	machine := testutil.NewMachineClocks()
	clock := monotime.Simulated(machine.Elapsed, machine.Unix)
	var deadline fixedDeadline
	due := newDueTimer(clock, &deadline)
	if due.isLate() || due.update() != nil {
		t.Error("a response is late or due, want neither before a request is sent ahead")
	}
	deadline = fixedDeadline(clock.Now() + time.Hour)
	if due.isLate() || due.update() == nil {
		t.Error("the response is late, or has no timer, want a timer alone")
	}
	deadline = fixedDeadline(clock.Now() + time.Second)
	machine.Advance(time.Second - 1)
	if due.isLate() {
		t.Error("the response is late just before the deadline")
	}
	machine.Advance(1)
	if !due.isLate() {
		t.Error("the response is not late at the deadline")
	}
	if at, found := due.dueAt(); !found || at != clock.Now()+maxLateness {
		t.Errorf("the response is due in %v, want %v", at-clock.Now(), maxLateness)
	}
	machine.Advance(maxLateness)
	testutil.Wait(t, due.update(), "the timer, which had been set for a later time")
	due.stop()
	if due.update() != nil {
		t.Error("a stopped timer was set again")
	}
}
