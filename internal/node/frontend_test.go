package node

import (
	"testing"
	"time"
)

// A hint is advice: one that can't be used must neither fail its request nor reach the module.
func TestHintsThatCantBeReadAreNone(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "328477": 328477 * time.Microsecond, "0.5": 500, "-3": 0, "0": 0, "NaN": 0, "Inf": 0, "1e300": 0,
		"many": 0, "12 ms": 0,
	} {
		if got := parseWorkHint(text); got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}
