package load

import (
	"context"
	"math"
	"testing"
	"time"
)

// Arrivals are a Poisson process: their gaps have the mean that the rate gives, and as large a standard deviation.
func TestArrivalsArePoisson(t *testing.T) {
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
		t.Errorf("mean %v s, want %v", mean, 1.0/rate)
	}
	if deviation := math.Sqrt(squares/count-mean*mean) / mean; math.Abs(deviation-1) > 0.02 {
		t.Errorf("gaps have a standard deviation of %v means, want 1", deviation)
	}
}

func TestArrivalsDependOnSeedAndStream(t *testing.T) {
	const count = 100000
	arrivals, same, other := NewArrivals(282, 7, 1), NewArrivals(282, 7, 1), NewArrivals(282, 7, 2)
	differ := false
	for range count {
		at := arrivals.Next()
		if at != same.Next() {
			t.Fatal("the same seed gives other times")
		}
		differ = differ || at != other.Next()
	}
	if !differ {
		t.Error("streams do not differ")
	}
}

// What is drawn is sent, each at its time or later, and never waits for an answer. The times are the subject.
func TestPlaySendsAllThatIsDrawn(t *testing.T) {
	t.Parallel()
	const rate, length = 1000, 200 * time.Millisecond
	want := 0
	for drawn := NewArrivals(rate, 3, 0); drawn.Next() < length; {
		want++
	}
	sent := 0
	NewArrivals(rate, 3, 0).Play(t.Context(), length, func(drawn time.Time) {
		sent++
		if early := time.Until(drawn); early > timerResolution {
			t.Errorf("sent %v early", early)
		}
	})
	if sent != want || want < 100 {
		t.Errorf("sent %d of %d", sent, want)
	}
}

func TestPlayEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	NewArrivals(1000, 3, 0).Play(ctx, time.Hour, func(time.Time) { t.Error("sent after the end") })
}
