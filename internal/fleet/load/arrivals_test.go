package load

import (
	"context"
	"math"
	"testing"
	"time"
)

// Arrivals are a Poisson process: the standard deviation of the intervals between them equals their mean, 1/rate.
func TestArrivalsAreAPoissonProcess(t *testing.T) {
	const count, rate = 100000, 282
	arrivals := NewArrivals(rate, 7, 1)
	var last, squares float64
	for range count {
		at := arrivals.Next().Seconds()
		squares += (at - last) * (at - last)
		last = at
	}
	mean := last / count
	if math.Abs(mean*rate-1) > 0.02 {
		t.Errorf("mean interval %v s, want %v", mean, 1.0/rate)
	}
	if deviation := math.Sqrt(squares/count-mean*mean) / mean; math.Abs(deviation-1) > 0.02 {
		t.Errorf("the standard deviation of the intervals is %v times their mean, want 1", deviation)
	}
}

func TestArrivalsDependOnSeedAndStream(t *testing.T) {
	const count = 100000
	arrivals, same, other := NewArrivals(282, 7, 1), NewArrivals(282, 7, 1), NewArrivals(282, 7, 2)
	differ := false
	for range count {
		at := arrivals.Next()
		if at != same.Next() {
			t.Fatal("the same seed and stream give different times, want the same")
		}
		differ = differ || at != other.Next()
	}
	if !differ {
		t.Error("different streams give the same times, want different ones")
	}
}

// Run calls send for each arrival, and no earlier than the timers' resolution before its scheduled time. The test needs
// real time, since it checks times.
func TestRunSendsAllArrivals(t *testing.T) {
	t.Parallel()
	const rate, length = 1000, 200 * time.Millisecond
	want := 0
	for arrivals := NewArrivals(rate, 3, 0); arrivals.Next() < length; {
		want++
	}
	sent := 0
	NewArrivals(rate, 3, 0).Run(t.Context(), length, func(scheduled time.Time) {
		sent++
		if early := time.Until(scheduled); early > timerResolution {
			t.Errorf("sent %v before the scheduled time, want 2 ms at most", early)
		}
	})
	if sent != want || want < 100 {
		t.Errorf("sent %d calls, want %d and at least 100", sent, want)
	}
}

func TestArrivalsStopWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	NewArrivals(1000, 3, 0).Run(ctx, time.Hour, func(time.Time) { t.Error("sent after the context ended, want none") })
}
