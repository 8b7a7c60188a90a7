package slowstart

import (
	"math"
	"testing"
	"time"
)

// A bucket fills with time, up to its capacity.
func TestBucketFillsUpToItsCapacity(t *testing.T) {
	bucket := tokenBucket{tokens: -1, filledAt: time.Second, rate: 2}
	for _, step := range []struct {
		name     string
		now      time.Duration
		capacity float64
		want     float64
	}{
		{"a quarter of a second", 1250 * time.Millisecond, 3, -0.5},
		{"one second", 2250 * time.Millisecond, 3, 1.5},
		{"a long time", time.Minute, 3, 3},
		{"the capacity shrinks", time.Minute, 1, 1},
	} {
		if bucket.fill(step.now, step.capacity); bucket.tokens != step.want {
			t.Errorf("%s: got %v tokens, want %v", step.name, bucket.tokens, step.want)
		}
	}
}

// An endpoint is sent requests at the rate of its bucket, however often HasTokens is called. From the
// arrivals, this replica assumes 50 requests per second for each of two endpoints. At twice the current
// capacity, which starts at one half, 50 requests are allowed in the first windows. The overload bound leaves
// about half of them for one replica, and more for ten.
func TestTokensLimitTheRequestsInAWindow(t *testing.T) {
	for _, c := range []struct {
		name        string
		inSubset    bool
		replicas    int
		least, most int // requests sent in ten seconds
	}{
		{"outside of the subset", false, 1, 1, 2},
		{"outside of the subsets of many", false, 100, 0, 1},
		{"in the subset", true, 1, 200, 400},
		{"in the subset of all of ten replicas", true, 10, 280, 600},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.Replicas = c.replicas
			var limiter Limiter
			limiter.Configure(settings)
			endpoint, rng, sent := NewRecord(startedAt), newRand(), 0
			for i := range 1000 {
				now := startedAt + time.Duration(i)*10*time.Millisecond
				limiter.ObserveRequest(now, 0)
				if limiter.NeedsRateUpdate(now) {
					limiter.UpdateRates(now, countsOf(&limiter, now, endpoint, NewRecord(0)))
				}
				if limiter.HasTokens(&endpoint, now, c.inSubset, rng) {
					limiter.TakeTokens(&endpoint, now, 0)
					sent++
				}
			}
			if sent < c.least || sent > c.most {
				t.Errorf("got %d of 1,000 requests sent, want %d to %d", sent, c.least, c.most)
			}
		})
	}
}

func TestRequestsCostTheirWork(t *testing.T) {
	for _, c := range []struct {
		name      string
		startedAt time.Duration
		work      float64 // the mean is 100
		want      float64
	}{
		{"without a hint", startedAt, 0, 1},
		{"as the mean", startedAt, 100, 1},
		{"twice the mean", startedAt, 200, 2},
		{"a warm endpoint", 0, 100, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter, record := newLimiter(), NewRecord(c.startedAt)
			limiter.ObserveRequest(time.Second, 100)
			if limiter.TakeTokens(&record, startedAt, c.work); record.bucket.tokens != -c.want {
				t.Errorf("cost of a request: got %v tokens, want %v", -record.bucket.tokens, c.want)
			}
		})
	}
}

// The rates are updated once for each clock time, and again when the subset or the settings change.
func TestRateUpdateIsNeededOnceForEachTime(t *testing.T) {
	limiter, now := newLimiter(), startedAt
	for _, step := range []struct {
		name   string
		change func()
		want   bool
	}{
		{"at first", func() {}, true},
		{"after an update", func() { limiter.UpdateRates(now, EndpointCounts{}) }, false},
		{"later", func() { now += time.Millisecond }, true},
		{"after another update", func() { limiter.UpdateRates(now, EndpointCounts{}) }, false},
		{"after a change of the subset", limiter.ObserveSubsetChange, true},
		{"after new settings without a limit", func() { limiter.Configure(Settings{}) }, false},
	} {
		if step.change(); limiter.NeedsRateUpdate(now) != step.want {
			t.Errorf("%s: update needed: got %v, want %v", step.name, !step.want, step.want)
		}
	}
}

// Responses count relative to the capacity of the endpoints that may have sent them, and the peak rate is
// kept for a while.
func TestCapacityIsEstimatedFromResponses(t *testing.T) {
	for _, c := range []struct {
		name        string
		endpoints   []Record
		least, most float64 // responses per second of a warm endpoint
	}{
		{"a warm endpoint", []Record{NewRecord(0)}, 9, 10.5},
		{"two warm endpoints", []Record{NewRecord(0), NewRecord(0)}, 4.5, 5.25},
		{"one with half of its capacity", []Record{NewRecord(startedAt)}, 14, 20.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter := newLimiter()
			responses := 0
			for now := startedAt; now < startedAt+5*time.Second; now += 100 * time.Millisecond {
				counts := countsOf(limiter, now, c.endpoints...)
				limiter.ObserveResponse(&c.endpoints[responses%len(c.endpoints)], now, counts, true)
				responses++
			}
			best := max(limiter.warm.rate(1), limiter.warmingUp.rate(1))
			if best < c.least || best > c.most {
				t.Errorf("got %.2f responses per second, want %v to %v", best, c.least, c.most)
			}
			limiter.ObserveResponse(&c.endpoints[0], startedAt+10*time.Second, EndpointCounts{}, false)
			if later := max(limiter.warm.rate(1), limiter.warmingUp.rate(1)); math.Abs(later-best) > 1e-9 {
				t.Errorf("after the subset became empty: got %.2f responses per second, want %.2f as before",
					later, best)
			}
		})
	}
}
