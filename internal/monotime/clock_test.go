package monotime_test

import (
	"context"
	"testing"
	"time"

	"basaltdrum/internal/monotime"
)

func TestSettingTheWallClockDoesNotMoveTheClock(t *testing.T) {
	elapsed, unix := time.Second, time.Hour
	clock := monotime.Simulated(func() time.Duration { return elapsed }, func() time.Duration { return unix })
	before := clock.Now()
	unix -= 30 * time.Minute
	if clock.Now() != before || clock.Unix() != 30*time.Minute {
		t.Errorf("the clock moved by %v and shows the Unix time %v", clock.Now()-before, clock.Unix())
	}
	elapsed += time.Minute
	if got := clock.Until(before); got != -time.Minute {
		t.Errorf("%v until a time a minute ago", got)
	}
}

func TestTheClockMovesOnAndSleepEndsWithItsContext(t *testing.T) {
	clock := monotime.New()
	before := clock.Now()
	monotime.Sleep(t.Context(), time.Millisecond)
	if passed := clock.Now() - before; passed < time.Millisecond {
		t.Errorf("slept for %v", passed)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	monotime.Sleep(ended, 24*time.Hour) // returns at once, or the test never ends
}
