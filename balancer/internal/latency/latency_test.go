package latency

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const (
	objective   = 400 * time.Millisecond
	meanLatency = float64(40 * time.Millisecond)
)

// observeAll records the same latency a number of times, and returns the result of the last Observe.
func observeAll(e *Estimator, latency float64, samples int) (reliable bool) {
	for range samples {
		reliable = e.Observe(latency)
	}
	return reliable
}

func TestEstimatorFollowsTheSamples(t *testing.T) {
	for _, c := range []struct {
		name                string
		samples             int
		reliable            bool
		leastMean, mostMean float64
	}{
		{"no sample: a quarter of the objective", 0, false, float64(objective) / 4, float64(objective) / 4},
		{"the first sample replaces the initial estimate", 1, false, meanLatency, meanLatency},
		{"seven samples are too few", minSamples - 1, false, meanLatency, meanLatency},
		{"eight samples are enough", minSamples, true, meanLatency, meanLatency},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := NewEstimator(objective)
			if got := observeAll(&e, meanLatency, c.samples); got != c.reliable {
				t.Errorf("enough samples: got %v, want %v", got, c.reliable)
			}
			if got := e.Mean(); got < c.leastMean || got > c.mostMean {
				t.Errorf("mean: got %v, want %v to %v", got, c.leastMean, c.mostMean)
			}
		})
	}
}

// A latency is typical up to two deviations above the mean, and slow above three.
func TestSlowIsThreeDeviationsAboveTheMean(t *testing.T) {
	e := Estimator{mean: meanLatency, deviation: meanLatency / 4, samples: 100}
	if got, want := e.SlowThreshold(), time.Duration(meanLatency*1.75); got != want {
		t.Errorf("slow threshold: got %v, want %v", got, want)
	}
	if got, want := e.TypicalMax(), time.Duration(meanLatency*1.5); got != want {
		t.Errorf("typical maximum: got %v, want %v", got, want)
	}
	for latency, want := range map[float64]bool{
		meanLatency: false, meanLatency * 1.75: false, meanLatency * 1.76: true,
	} {
		if got := e.IsSlow(latency); got != want {
			t.Errorf("IsSlow(%v): got %v, want %v", latency, got, want)
		}
	}
}

// The base latency follows a falling mean quickly, and a mean that rises under load slowly.
func TestBaseFollowsTheLowestLoad(t *testing.T) {
	for _, c := range []struct {
		name                string
		latency             float64
		leastBase, mostBase float64
	}{
		{"responses slow down", 4 * meanLatency, meanLatency, 1.2 * meanLatency},
		{"responses get faster", meanLatency / 4, meanLatency / 4, meanLatency / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := NewEstimator(objective)
			observeAll(&e, meanLatency, 100)
			observeAll(&e, c.latency, 100)
			if got := e.Base(); got < c.leastBase || got > c.mostBase {
				t.Errorf("base latency: got %v, want %v to %v", got, c.leastBase, c.mostBase)
			}
		})
	}
}

func TestSpeedFollowsTheRatio(t *testing.T) {
	for _, c := range []struct {
		name    string
		ratio   float64
		samples int
		want    float64
	}{
		{"nothing known", 1, 0, 1},
		{"as the mean", 1, 10, 1},
		{"half as fast", 2, 100, 0.5},
		{"twice as fast", 0.5, 100, 2},
		{"much faster: bounded", 0.01, 100, math.E},
		{"the first sample counts by half", 4, 1, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Relative
			for range c.samples {
				r.Observe(c.ratio)
			}
			if got := r.Speed(); math.Abs(got-c.want) > 0.001 {
				t.Errorf("speed: got %v, want %v", got, c.want)
			}
		})
	}
}

func Example() {
	class := NewEstimator(400 * time.Millisecond)
	for range 20 {
		class.Observe(float64(40 * time.Millisecond))
	}
	late := float64(200 * time.Millisecond)
	fmt.Println("slow:", class.IsSlow(late))

	var endpoint Relative
	endpoint.Observe(late / class.Mean())
	fmt.Printf("speed of the endpoint: %.2f\n", endpoint.Speed())
	// Output:
	// slow: true
	// speed of the endpoint: 0.45
}
