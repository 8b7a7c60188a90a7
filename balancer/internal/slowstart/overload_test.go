package slowstart

import (
	"fmt"
	"math"
	"testing"
)

// chernoffMean is the largest mean with which a count goes over a limit with a chance of exp(-rarity) at
// most, by Chernoff's bound, found by bisection.
func chernoffMean(limit float64) float64 {
	low, high := 0.0, limit
	for range 60 {
		mean := (low + high) / 2
		if limit-mean-limit*math.Log(limit/mean) <= -overloadRarity {
			low = mean
		} else {
			high = mean
		}
	}
	return low
}

// allowedMean is what a single replica sends an endpoint in slow start in a window, where the settings allow
// it n.
func allowedMean(n float64) float64 {
	limiter := newLimiter()
	memory := limiter.capacityMemory()
	limiter.warm = capacityEstimate{answers: n * memory, seconds: memory, at: startedAt} // n a second at a warm one
	// It has half of its capacity, of which the settings allow twice as much.
	record := NewRecord(startedAt)
	limiter.UpdateRates(startedAt, countsOf(limiter, startedAt, record, NewRecord(0)))
	limiter.HasTokens(&record, startedAt, true, newRand())
	return record.bucket.rate * limiter.settings.OverloadWindow.Seconds()
}

// An endpoint in slow start is sent all that the limit allows on average: by the wider rule where the
// settings allow it less than 30 requests in a window. Just under 30 the limit is the one at 30, and it never
// shrinks.
func TestRateFollowsTheOverloadLimit(t *testing.T) {
	narrow := func(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }
	before := 0.0
	for _, n := range []float64{0.5, 1, 2.4, 5, 10, 20, 24.9, 25.5, 29, 29.99, 30, 30.01, 31, 60, 300} {
		limit := narrow(n)
		if n < 30 {
			limit = min(n+3*math.Sqrt(n)+3, narrow(30))
		}
		t.Run(fmt.Sprint(n, " allowed"), func(t *testing.T) {
			got, want := allowedMean(n), chernoffMean(limit)
			if math.Abs(got-want) > 0.01*want {
				t.Errorf("the endpoint is sent %.3f in a window on average, want %.3f", got, want)
			}
			if got < before*0.9999 {
				t.Errorf("the endpoint is sent %.3f, less than the %.3f with a smaller n", got, before)
			}
			before = got
		})
	}
}
