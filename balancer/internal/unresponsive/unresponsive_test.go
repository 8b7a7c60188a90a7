package unresponsive

import (
	"fmt"
	"testing"
	"time"

	"basaltdrum/balancer/internal/latency"
)

// newClass returns the latency estimate of a class whose responses take less than 100 ms.
func newClass() *latency.Estimator {
	class := latency.NewEstimator(160 * time.Millisecond) // mean 40 ms, deviation 20 ms
	return &class
}

func TestSuspicionNeedsAResponseOfAnotherEndpoint(t *testing.T) {
	const sent, now = time.Second, 1200 * time.Millisecond
	for _, c := range []struct {
		name          string
		sent          time.Duration
		otherResponse time.Duration // time of the last response of another endpoint
		ownResponse   time.Duration // time of the last response of this endpoint; 0: none
		want          bool
	}{
		{"another has responded since", sent, now, 0, true},
		{"none has responded since", sent, sent, 0, false},
		{"this one has responded since", sent, now, now - 1, false},
		{"this one has responded before", sent, now, sent, true},
		{"the attempt is young", now - 99*time.Millisecond, now, 0, false},
		{"the attempt is old", now - 101*time.Millisecond, now, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var detector Detector
			var record, other Record
			record.StartAttempt(c.sent, newClass())
			if c.ownResponse > 0 {
				detector.ObserveSuccess(&record, c.ownResponse)
			}
			detector.ObserveSuccess(&other, c.otherResponse)
			if got := detector.Suspects(&record, now); got != c.want {
				t.Errorf("suspected: got %v, want %v", got, c.want)
			}
		})
	}
}

// InFlight follows attempts that start and end in any order; the end of an unknown attempt changes nothing.
func TestInFlightCountsAttempts(t *testing.T) {
	class, other := newClass(), newClass()
	var record Record
	record.StartAttempt(1, class)
	record.StartAttempt(2, class)
	record.StartAttempt(2, other)
	for i, ended := range []struct {
		sent  time.Duration
		class *latency.Estimator
		want  int
	}{{2, class, 2}, {2, class, 2}, {1, other, 2}, {2, other, 1}, {1, class, 0}, {1, class, 0}} {
		if record.EndAttempt(ended.sent, ended.class); record.InFlight() != ended.want {
			t.Errorf("after end %d: got %d in flight, want %d", i, record.InFlight(), ended.want)
		}
	}
}

// A restart of an endpoint keeps its attempts in flight, but not its responses.
func TestRestartKeepsAttempts(t *testing.T) {
	const now = time.Minute
	var detector Detector
	var record, other Record
	record.StartAttempt(time.Second, newClass())
	detector.ObserveSuccess(&record, now)
	detector.ObserveSuccess(&other, now)
	if detector.Suspects(&record, now) {
		t.Error("an endpoint that has just responded is suspected, want it not to be")
	}
	record = record.AfterRestart()
	if record.InFlight() != 1 || !detector.Suspects(&record, now) {
		t.Errorf("after a restart: got %d attempts in flight, want 1, and the endpoint suspected for it",
			record.InFlight())
	}
}

func Example() {
	class := latency.NewEstimator(160 * time.Millisecond)
	var detector Detector
	var hanging, healthy Record
	hanging.StartAttempt(0, &class)
	healthy.StartAttempt(0, &class)
	healthy.EndAttempt(0, &class)
	detector.ObserveSuccess(&healthy, 150*time.Millisecond)
	fmt.Println(detector.Suspects(&hanging, 200*time.Millisecond))
	fmt.Println(detector.Suspects(&healthy, 200*time.Millisecond))
	// Output:
	// true
	// false
}
