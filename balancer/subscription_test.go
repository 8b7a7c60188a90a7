package balancer

import (
	"testing"
	"time"
)

// The longest wait of the backoff doubles with each failure, up to a fourth of the time without a Subscribe
// that is allowed.
func TestSubscribeBackoffDoubles(t *testing.T) {
	const pollWithin = 64 * time.Second
	for _, c := range []struct {
		name     string
		failures int
		longest  time.Duration
	}{
		{"at first", 0, time.Second},
		{"after a failure", 1, 2 * time.Second},
		{"after four", 4, 16 * time.Second},
		{"after many", 100, 16 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := subscription{failures: c.failures}
			for _, jitter := range []float64{0, 0.25, 1} {
				want := time.Minute + time.Duration(jitter*float64(c.longest)) + 1
				if got := s.schedule(time.Minute, pollWithin, jitter); got != want || s.subscribeAt != want {
					t.Errorf("with a jitter of %v: at %v, planned %v, want %v", jitter, got, s.subscribeAt, want)
				}
			}
		})
	}
}

// A planned Subscribe is due once, from a tick before its time.
func TestSubscribeIsDueOnce(t *testing.T) {
	s := subscription{subscribeAt: time.Second}
	for _, c := range []struct {
		name string
		now  time.Duration
		want bool
	}{
		{"too early", time.Second - 2*msec - 1, false},
		{"a tick early", time.Second - 2*msec, true},
		{"again", 2 * time.Second, false},
	} {
		if got := s.due(c.now, 2*msec); got != c.want {
			t.Errorf("%s: due %v, want %v", c.name, got, c.want)
		}
	}
}
