package rejection

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const meanLatency = float64(10 * time.Millisecond)

// The backoff doubles with each consecutive rejection, up to a limit, and starts again after a success.
func TestLimitAppliesForADoublingBackoff(t *testing.T) {
	for _, c := range []struct {
		name       string
		rejections int
		success    bool // just before the last rejection
		jitter     float64
		want       time.Duration
	}{
		{"one, least jitter", 1, false, 0, 60 * time.Millisecond},
		{"one, mean jitter", 1, false, 0.5, 120 * time.Millisecond},
		{"two in a row", 2, false, 0.5, 240 * time.Millisecond},
		{"two with a success between", 2, true, 0.5, 120 * time.Millisecond},
		{"six in a row", 6, false, 0.5, 32 * 120 * time.Millisecond},
		{"twenty in a row", 20, false, 0.5, 32 * 120 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			const now, inFlight = time.Second, 3
			var record Record
			for i := range c.rejections {
				if c.success && i == c.rejections-1 {
					record.ObserveSuccess()
				}
				record.Observe(now, meanLatency, c.jitter, inFlight)
			}
			if got := record.Limit(now + c.want - 1); got != inFlight {
				t.Errorf("limit just before the end of the backoff: got %d, want %d", got, inFlight)
			}
			if got := record.Limit(now + c.want); got != math.MaxInt {
				t.Errorf("limit after the backoff: got %d, want none", got)
			}
		})
	}
}

func Example() {
	var record Record
	record.Observe(0, float64(10*time.Millisecond), 0.5, 4) // rejected with 4 requests in flight
	fmt.Println(record.Limit(100 * time.Millisecond))
	fmt.Println(record.Limit(time.Second) == math.MaxInt)
	// Output:
	// 4
	// true
}
