package fleet

import (
	"context"
	"math"
	"os"
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

func TestFit(t *testing.T) {
	x := []float64{10, 100, 300, 1100}
	var y []float64
	for _, v := range x {
		y = append(y, 5+0.25*v)
	}
	l, err := Fit(x, y)
	if err != nil || math.Abs(l.Slope-0.25) > 1e-12 || math.Abs(l.Base-5) > 1e-9 || math.Abs(l.R2-1) > 1e-12 {
		t.Errorf("%+v, %v", l, err)
	}
	if l, err = Fit([]float64{1, 2, 3}, []float64{4, 4, 4}); err != nil || l.Slope != 0 || l.Base != 4 {
		t.Errorf("level: %+v, %v", l, err)
	}
	if l, err = Fit([]float64{0, 1, 2}, []float64{0, 1, 0}); err != nil || l.Slope != 0 || l.R2 != 0 {
		t.Errorf("no trend: %+v, %v", l, err)
	}
	for _, bad := range [][2][]float64{{{1}, {1}}, {{1, 1}, {1, 2}}, {{1, 2}, {1}}} {
		if l, err := Fit(bad[0], bad[1]); err == nil {
			t.Errorf("%v: %+v", bad, l)
		}
	}
}

func TestSeriesBetween(t *testing.T) {
	start := time.Unix(100, 0)
	c := Counted{StartNS: start.UnixNano(), Buckets: []Traffic{{Calls: 1}, {Calls: 5, In: 7}, {Calls: 2, Out: 9}}}
	at := func(n float64) time.Time { return start.Add(time.Duration(n * float64(BucketWidth))) }
	for _, test := range []struct {
		from, to    float64
		calls, peak int64
		buckets     float64
	}{{0, 3, 8, 5, 3}, {0.5, 3, 7, 5, 2}, {1, 2.9, 5, 5, 1}, {2, 10, 2, 2, 8}, {-1, 1, 1, 1, 1}} {
		sum, peak, seconds := c.Between(at(test.from), at(test.to))
		if sum.Calls != test.calls || peak != test.peak || math.Abs(seconds-test.buckets*BucketWidth.Seconds()) > 1e-9 {
			t.Errorf("from %v to %v: %+v, peak %d, %v s", test.from, test.to, sum, peak, seconds)
		}
	}
}

func TestAtShare(t *testing.T) {
	var v []float64
	for i := range 200 {
		v = append(v, float64(i+1))
	}
	for share, want := range map[float64]float64{0.5: 100, 0.99: 198, 1: 200} {
		if got := Quantile(v, share); got != want {
			t.Errorf("%v: %v, want %v", share, got, want)
		}
	}
	if got := Quantile(v[:1], 0.5); got != 1 {
		t.Errorf("of one: %v", got)
	}
}

func TestUsageOf(t *testing.T) {
	before, err := UsageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(limit); ; {
		after, err := UsageOf(os.Getpid())
		if err != nil {
			t.Fatal(err)
		}
		if after.CPU >= before.CPU+50*time.Millisecond && after.RSS > 1<<20 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%+v, then %+v", before, after)
		}
	}
}
