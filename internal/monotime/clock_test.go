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
		t.Errorf("clock moved by %v, Unix time is %v; want 0s and 30m0s", clock.Now()-before, clock.Unix())
	}
	elapsed += time.Minute
	if got := clock.Until(before); got != -time.Minute {
		t.Errorf("Until returned %v for a time one minute ago, want -1m0s", got)
	}
}

func TestClockAdvancesAndSleepEndsWithItsContext(t *testing.T) {
	clock := monotime.New()
	before := clock.Now()
	monotime.Sleep(t.Context(), time.Millisecond)
	if elapsed := clock.Now() - before; elapsed < time.Millisecond {
		t.Errorf("slept for %v, want at least 1ms", elapsed)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	monotime.Sleep(cancelled, 24*time.Hour) // returns at once, or the test times out
}
