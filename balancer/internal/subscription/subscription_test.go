package subscription

import (
	"fmt"
	"testing"
	"time"
)

// The longest wait doubles with each failure, up to a quarter of the time allowed without a subscription.
func TestSubscribeBackoffDoubles(t *testing.T) {
	const pollWithin = 64 * time.Second
	for _, c := range []struct {
		name     string
		failures int
		longest  time.Duration
	}{
		{"no failure", 0, time.Second},
		{"one failure", 1, 2 * time.Second},
		{"four failures", 4, 16 * time.Second},
		{"many failures", 100, 16 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			backoff := Backoff{}
			for range c.failures {
				backoff.Fail()
			}
			for _, jitter := range []float64{0, 0.25, 1} {
				want := time.Minute + time.Duration(jitter*float64(c.longest)) + 1
				got := backoff.Schedule(time.Minute, pollWithin, jitter)
				if got != want || backoff.subscribeAt != want {
					t.Errorf("with jitter %v: got %v, scheduled at %v, want %v", jitter, got,
						backoff.subscribeAt, want)
				}
			}
		})
	}
}

// A scheduled subscription is due once, from one tick before its time.
func TestSubscribeIsDueOnce(t *testing.T) {
	const tick = 2 * time.Millisecond
	backoff := Backoff{subscribeAt: time.Second}
	for _, c := range []struct {
		name string
		now  time.Duration
		want bool
	}{
		{"too early", time.Second - tick - 1, false},
		{"a tick early", time.Second - tick, true},
		{"again", 2 * time.Second, false},
	} {
		if got := backoff.TakeIfDue(c.now, tick); got != c.want {
			t.Errorf("%s: due: got %v, want %v", c.name, got, c.want)
		}
	}
}

// The arrival of an endpoint list resets the backoff.
func TestSuccessResetsTheBackoff(t *testing.T) {
	const pollWithin = 64 * time.Second
	var fresh, recovered Backoff
	recovered.Fail()
	recovered.Fail()
	recovered.Succeed()
	if got, want := recovered.Schedule(0, pollWithin, 1), fresh.Schedule(0, pollWithin, 1); got != want {
		t.Errorf("next subscription after a success: got %v, want %v", got, want)
	}
}

func Example() {
	var backoff Backoff
	for range 3 {
		at := backoff.Schedule(0, 64*time.Second, 0.5) // a jitter of half of the wait
		fmt.Println("subscribe at", at.Round(time.Millisecond))
		backoff.Fail()
	}
	// Output:
	// subscribe at 500ms
	// subscribe at 1s
	// subscribe at 2s
}
