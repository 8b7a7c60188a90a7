package upstream

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// A forwarded deadline is never rounded up, and one that has passed is not forwarded.
func TestForwardedDeadlineIsNotRoundedUp(t *testing.T) {
	for _, wait := range []time.Duration{
		time.Millisecond, 1999 * time.Microsecond, 480 * time.Millisecond,
		999999 * time.Microsecond, time.Second, 9999999999, 99999999999, 12345678901, time.Hour,
	} {
		value := []byte(strings.Repeat("0", deadlineValueWidth))
		if !writeDeadlineValue(value, wait) {
			t.Errorf("%v is not forwarded", wait)
		}
		seconds, err := strconv.ParseFloat(string(value), 64)
		if short := wait.Seconds() - seconds; err != nil || short < 0 || short > 0.0010001 {
			t.Errorf("%v is forwarded as %q", wait, value)
		}
	}
	b := testPool(1)
	for _, left := range []time.Duration{-time.Second, 0, minRemainingTime / 2} {
		a := testAttempt(t, b, "127.0.0.1:1")
		a.Deadline = b.clock.Now() + left
		if wait := b.remainingTime(&a.Attempt); wait != 0 || writeDeadlineValue(nil, wait) {
			t.Errorf("with %v left, %v is forwarded", left, wait)
		}
	}
}
