package slowstart

import (
	"fmt"
	"math"
	"testing"
)

// chernoffMean returns the largest mean at which a count exceeds a limit with a probability of at most
// exp(-overloadExponent) by the Chernoff bound. It searches by bisection.
func chernoffMean(limit float64) float64 {
	low, high := 0.0, limit
	for range 60 {
		mean := (low + high) / 2
		if limit-mean-limit*math.Log(limit/mean) <= -overloadExponent {
			low = mean
		} else {
			high = mean
		}
	}
	return low
}

// allowedMean returns the mean number of requests per window that a single replica sends to an endpoint in
// slow start, if the settings allow it n.
func allowedMean(n float64) float64 {
	limiter := newLimiter()
	memory := limiter.capacityMemory()
	// A warm endpoint answers n requests per second.
	limiter.warm = capacityEstimate{responses: n * memory, observedSeconds: memory, updatedAt: startedAt}
	// The endpoint in slow start has half of its capacity, and the settings allow twice its current capacity.
	record := NewRecord(startedAt)
	limiter.UpdateRates(startedAt, countsOf(limiter, startedAt, record, NewRecord(0)))
	limiter.HasTokens(&record, startedAt, true, newRand())
	return record.bucket.rate * limiter.settings.OverloadWindow.Seconds()
}

// On average an endpoint in slow start is sent all that the limit allows, with the wider margin if the
// settings allow less than 30 requests in a window. Just below 30 the limit equals the one at 30, and it
// never falls as more is allowed.
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
				t.Errorf("mean number of requests in a window: got %.3f, want %.3f", got, want)
			}
			if got < before*0.9999 {
				t.Errorf("mean number of requests in a window: got %.3f, want at least the %.3f of a smaller n",
					got, before)
			}
			before = got
		})
	}
}
