package slowstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestCapacityGrowsWithAge(t *testing.T) {
	for _, c := range []struct {
		name      string
		startedAt time.Duration
		age       time.Duration
		want      float64
	}{
		{"started long ago", 0, time.Second, 1},
		{"just started", startedAt, 0, 0.5},
		{"started in the future, by another clock", startedAt, -time.Second, 0.5},
		{"half of the time", startedAt, 10 * time.Second, 0.75},
		{"just before the end", startedAt, 20*time.Second - 1, 0.9999},
		{"at the end", startedAt, 20 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter, record := newLimiter(), NewRecord(c.startedAt)
			now := c.startedAt + c.age
			if got := limiter.CapacityShare(&record, now); math.Abs(got-c.want) > 0.0002 {
				t.Errorf("capacity share: got %v, want %v", got, c.want)
			}
			if got := limiter.IsWarm(&record, now); got != (c.want == 1) {
				t.Errorf("IsWarm: got %v, want true only at the full capacity", got)
			}
		})
	}
}

// An endpoint's share of the work is made up of light requests; without hints, a random draw admits its
// share.
func TestLightWorkIsAdmitted(t *testing.T) {
	for _, c := range []struct {
		name        string
		share, work float64 // the mean is 100
		least, most float64 // share of the requests that are admitted
	}{
		{"light", 0.5, 30, 1, 1},
		{"at the limit", 0.5, 300, 1, 1},
		{"heavy", 0.5, 301, 0, 0},
		{"the same with more capacity", 0.8, 301, 1, 1},
		{"without a hint", 0.3, 0, 0.25, 0.35},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter, rng, admitted := newLimiter(), newRand(), 0
			limiter.ObserveRequest(time.Second, 100)
			const requests = 2000
			for range requests {
				if limiter.AdmitsWork(c.share, c.work, rng) {
					admitted++
				}
			}
			if got := float64(admitted) / requests; got < c.least || got > c.most {
				t.Errorf("share of admitted requests: got %.2f, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

// The queue is checked periodically while an endpoint is warming up under an overload limit.
func TestNextCheckWaitsForTokens(t *testing.T) {
	young, old := NewRecord(startedAt), NewRecord(0)
	unlimited := testSettings()
	unlimited.OverloadMultiple = 0
	for _, c := range []struct {
		name     string
		settings Settings
		youngest *Record
		want     time.Duration
	}{
		{"no endpoint", testSettings(), nil, math.MaxInt64},
		{"a warm one", testSettings(), &old, math.MaxInt64},
		{"one that warms up", testSettings(), &young, startedAt + 125*time.Millisecond},
		{"one that warms up without an overload limit", unlimited, &young, math.MaxInt64},
	} {
		t.Run(c.name, func(t *testing.T) {
			var limiter Limiter
			limiter.Configure(c.settings)
			if got := limiter.NextCheck(c.youngest, startedAt); got != c.want {
				t.Errorf("next check: got %v, want %v", got, c.want)
			}
		})
	}
}

func TestArrivalIntervalIsBounded(t *testing.T) {
	limiter := newLimiter()
	for i := range 500 {
		limiter.ObserveRequest(time.Duration(i+1)*100*time.Millisecond, 0)
	}
	if got := limiter.arrivals.mean; got < 99*time.Millisecond || got > 101*time.Millisecond {
		t.Errorf("mean interval: got %v, want 100 ms", got)
	}
	limiter.ObserveRequest(time.Hour, 0)
	if got := limiter.arrivals.mean; got > 2*time.Second {
		t.Errorf("mean interval after a pause of one hour: got %v, want at most 2 s", got)
	}
}

func Example() {
	var limiter Limiter
	limiter.Configure(Settings{Floor: 0.2, Duration: 10 * time.Second, Replicas: 1})
	endpoint := NewRecord(time.Minute)
	for _, age := range []time.Duration{0, 5 * time.Second, 10 * time.Second} {
		now := time.Minute + age
		fmt.Printf("%v: %.1f of its capacity\n", age, limiter.CapacityShare(&endpoint, now))
	}
	rng := rand.New(rand.NewPCG(1, 2))
	fmt.Println("without an overload limit there are tokens:", limiter.HasTokens(&endpoint, time.Minute, true, rng))
	// Output:
	// 0s: 0.2 of its capacity
	// 5s: 0.6 of its capacity
	// 10s: 1.0 of its capacity
	// without an overload limit there are tokens: true
}
