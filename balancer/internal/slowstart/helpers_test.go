package slowstart

import (
	"math/rand/v2"
	"time"
)

// startedAt is the start time of the endpoints that are warming up.
const startedAt = time.Minute

// testSettings has a slow start of 20 seconds from half of the capacity, and an overload limit.
func testSettings() Settings {
	return Settings{
		Floor: 0.5, Duration: 20 * time.Second, Replicas: 1, OverloadMultiple: 2, OverloadWindow: time.Second,
	}
}

// newLimiter returns a limiter with the test settings.
func newLimiter() *Limiter {
	var limiter Limiter
	limiter.Configure(testSettings())
	return &limiter
}

// countsOf counts the endpoints of a list, all of which are in the subset.
func countsOf(l *Limiter, now time.Duration, records ...Record) EndpointCounts {
	counts := EndpointCounts{Ready: len(records), SubsetSize: len(records)}
	for i := range records {
		l.Count(&counts, &records[i], now)
	}
	return counts
}

// newRand returns a random source with a fixed seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
