package upstream

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// The forwarded deadline is never rounded up.
func TestForwardedDeadlineIsNotRoundedUp(t *testing.T) {
	for _, remaining := range []time.Duration{
		time.Millisecond, 1999 * time.Microsecond, 480 * time.Millisecond,
		999999 * time.Microsecond, time.Second, 9999999999, 99999999999, 12345678901, time.Hour,
	} {
		t.Run(remaining.String(), func(t *testing.T) {
			value := []byte(strings.Repeat("0", deadlineValueWidth))
			if !writeDeadlineValue(value, remaining) {
				t.Error("writeDeadlineValue returned false, want true")
			}
			seconds, err := strconv.ParseFloat(string(value), 64)
			if lost := remaining.Seconds() - seconds; err != nil || lost < 0 || lost > 0.0010001 {
				t.Errorf("%v is forwarded as %q, want the same or less by at most 1 ms", remaining, value)
			}
		})
	}
}

// A deadline that has passed, or is about to, is not forwarded.
func TestPassedDeadlineIsNotForwarded(t *testing.T) {
	pool := newTestPool(1)
	for _, left := range []time.Duration{-time.Second, 0, minRemainingTime / 2} {
		t.Run(left.String(), func(t *testing.T) {
			a := newTestAttempt(t, pool, "127.0.0.1:1")
			a.Deadline = pool.clock.Now() + left
			if remaining := a.remainingTime(pool.clock.Now()); remaining != 0 || writeDeadlineValue(nil, remaining) {
				t.Errorf("a remaining time of %v is forwarded, want none", remaining)
			}
		})
	}
}
