package balancer

import (
	"math"
	"testing"
	"time"
)

// chernoffMean is the largest mean with which a count goes over a limit with a chance of exp(-rarity) at most,
// by Chernoff's bound, found by bisection.
func chernoffMean(limit float64) float64 {
	low, high := 0.0, limit
	for range 60 {
		mean := (low + high) / 2
		if limit-mean-limit*math.Log(limit/mean) <= -rarity {
			low = mean
		} else {
			high = mean
		}
	}
	return low
}

// allowedMean is what a node that is alone sends a cold server in a window, where the settings allow it n.
func allowedMean(t *testing.T, n float64) float64 {
	t.Helper()
	b := newBalancer(t, func(s *Settings) {
		s.Tier, s.Replicas = 1, 1
		s.SlowStartFloor, s.SlowStartDuration, s.OverloadMultiple, s.OverloadWindow = 0.5, 20*time.Second, 2, time.Second
	})
	list := servers(2)
	list[0].StartedAt = time.Minute
	b.Handle(time.Minute, EndpointUpdate{Complete: true, Endpoints: list})
	b.fitPool()
	b.warmCapacity = capacityEstimate{answers: n * b.ramp(), seconds: b.ramp(), at: b.now} // n a second at a warm one
	return b.creditRate(b.servers[list[0].ID]) * b.set.OverloadWindow.Seconds()
}

// A cold server is sent all that the limit allows on average: by the wider rule where the settings allow it
// less than 30 requests in a window. Just under 30 the limit is the one that holds at 30, and it never shrinks.
func TestCreditFollowsTheFallLimit(t *testing.T) {
	narrow := func(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }
	before := 0.0
	for _, n := range []float64{0.5, 1, 2.4, 5, 10, 20, 24.9, 25.5, 29, 29.99, 30, 30.01, 31, 60, 300} {
		limit := narrow(n)
		if n < 30 {
			limit = min(n+3*math.Sqrt(n)+3, narrow(30))
		}
		got, want := allowedMean(t, n), chernoffMean(limit)
		if math.Abs(got-want) > 0.01*want {
			t.Errorf("with N %v a cold server is sent %.3f in a window on average, want %.3f", n, got, want)
		}
		if got < before*0.9999 {
			t.Errorf("with N %v a cold server is sent %.3f, less than the %.3f with a smaller N", n, got, before)
		}
		before = got
	}
}
