package load

import (
	"context"
	"math"
	"testing"
	"time"
)

func TestArrivals(t *testing.T) {
	const n = 100000
	a, same, other := NewArrivals(282, 7, 1), NewArrivals(282, 7, 1), NewArrivals(282, 7, 2)
	var last, sum2 float64
	differ := false
	for range n {
		at := a.Next()
		if at != same.Next() {
			t.Fatal("the same seed gives other times")
		}
		differ = differ || at != other.Next()
		gap := at.Seconds() - last
		sum2 += gap * gap
		last = at.Seconds()
	}
	if !differ {
		t.Error("streams do not differ")
	}
	mean := last / n
	if math.Abs(mean*282-1) > 0.02 {
		t.Errorf("mean %v s, want %v", mean, 1.0/282)
	}
	if spread := math.Sqrt(sum2/n-mean*mean) / mean; math.Abs(spread-1) > 0.02 { // a Poisson process has 1
		t.Errorf("gaps have a standard deviation of %v means, want 1", spread)
	}
}

// What is drawn is sent, each at its time or later, and never waits for an answer.
func TestPlaySendsAllThatIsDrawn(t *testing.T) {
	want := 0
	for a := NewArrivals(1000, 3, 0); a.Next() < 200*time.Millisecond; {
		want++
	}
	sent := 0
	NewArrivals(1000, 3, 0).Play(context.Background(), 200*time.Millisecond, func(drawn time.Time) {
		sent++
		if early := time.Until(drawn); early > timerResolution {
			t.Errorf("sent %v early", early)
		}
	})
	if sent != want || want < 100 {
		t.Errorf("sent %d of %d", sent, want)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	NewArrivals(1000, 3, 0).Play(ctx, time.Hour, func(time.Time) { t.Error("sent after the end") })
}
