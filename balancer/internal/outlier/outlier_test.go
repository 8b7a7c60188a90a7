package outlier

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const meanLatency = float64(10 * time.Millisecond)

const firstEjection = baseEjection * 10 * time.Millisecond

// fail records a number of failures of one endpoint at the same time.
func fail(d *Detector, r *Record, now time.Duration, results int) {
	for range results {
		d.ObserveFailure(r, now, meanLatency)
	}
}

// succeed records a number of successes of one endpoint.
func succeed(d *Detector, r *Record, results int) {
	for range results {
		d.ObserveSuccess(r)
	}
}

// A run of failures ejects an endpoint unless failures are common at all endpoints.
func TestRunOfFailuresEjectsUnlessFailuresAreCommon(t *testing.T) {
	for _, c := range []struct {
		name          string
		otherFailures int // failures of other endpoints, just before
		run           int
		want          bool
	}{
		{"no failure", 0, 0, false},
		{"one failure where none is usual", 0, 1, true},
		{"one failure where half of the results are bad", 11, 1, false},
		{"three failures where half of the results are bad", 11, 3, false},
		{"six failures where half of the results are bad", 11, 6, true},
		{"six failures where all results are bad", 100, 6, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			detector := NewDetector()
			fail(&detector, &Record{}, 0, c.otherFailures)
			var record Record
			fail(&detector, &record, 0, c.run)
			if got := record.IsEjected(0); got != c.want {
				t.Errorf("ejected: got %v, want %v", got, c.want)
			}
		})
	}
}

// The length of an ejection doubles with each failed trial, up to a limit, and successes undo the doublings.
func TestEjectionDoublesWithEachFailedTrial(t *testing.T) {
	for _, c := range []struct {
		name      string
		ejections int // earlier ejections
		successes int // successes after them
		want      time.Duration
	}{
		{"the first", 0, 0, firstEjection},
		{"the second", 1, 0, 2 * firstEjection},
		{"the third", 2, 0, 4 * firstEjection},
		{"the tenth", 9, 0, firstEjection << maxEjectionDoublings},
		{"two successes undo no doubling", 1, recoverySuccesses - 1, 2 * firstEjection},
		{"three successes undo one doubling", 1, recoverySuccesses, firstEjection},
		{"five successes undo two doublings", 2, recoverySuccesses + 2, firstEjection},
	} {
		t.Run(c.name, func(t *testing.T) {
			detector := NewDetector()
			var record Record
			now := time.Duration(0)
			for range c.ejections {
				fresh := NewDetector() // ejects on a single failure
				fail(&fresh, &record, now, 1)
				now = record.ejectedUntil
			}
			succeed(&detector, &record, c.successes)
			fail(&detector, &record, now, 1)
			if !record.IsEjected(now+c.want-1) || record.IsEjected(now+c.want) {
				t.Errorf("length of the ejection: got %v, want %v", record.ejectedUntil-now, c.want)
			}
		})
	}
}

// After an ejection the endpoint is on trial until its first success.
func TestTrialEndsWithASuccess(t *testing.T) {
	detector := NewDetector()
	var record Record
	if record.OnTrial() {
		t.Error("a new endpoint is on trial, want it not to be")
	}
	fail(&detector, &record, 0, 1)
	if !record.OnTrial() {
		t.Error("an ejected endpoint is not on trial, want it to be")
	}
	if succeed(&detector, &record, 1); record.OnTrial() {
		t.Error("an endpoint is on trial after a success, want it not to be")
	}
}

func TestCompareFailuresPutsTheLongestRunFirst(t *testing.T) {
	worse, better := Record{consecutiveFailures: 3}, Record{consecutiveFailures: 1}
	if worse.CompareFailures(&better) >= 0 || better.CompareFailures(&worse) <= 0 ||
		worse.CompareFailures(&worse) != 0 {
		t.Error("records are not ordered by consecutive failures, want the most first")
	}
}

// An endpoint is fully eligible as long as its success rate is close to that of all endpoints.
func TestEligibilityFollowsTheSuccessRate(t *testing.T) {
	for _, c := range []struct {
		name          string
		ownFailures   int // of the endpoint, each followed by results of another one
		otherFailures int // of another endpoint at the end; if any, all its earlier results are failures, too
		after         time.Duration
		least, most   float64
	}{
		{"nothing known", 0, 0, 0, 1, 1},
		{"one failure", 1, 0, 0, 1, 1},
		{"three failures: 0.4 to 0.6", 3, 0, 0, 0.4, 0.6},
		{"twenty failures", 20, 0, 0, 0, 0.1},
		{"twenty failures, as everywhere", 20, 200, 0, 1, 1},
		{"twenty failures, long ago", 20, 0, 10 * time.Second, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var class, total ClassRate
			classes := ClassRates{&class, &total}
			var endpoint, other Record
			for i := range c.ownFailures {
				endpoint.UpdateFailureRates(classes, true, 0, meanLatency)
				for range 20 { // meanwhile, another endpoint serves requests
					other.UpdateFailureRates(classes, c.otherFailures > i, 0, meanLatency)
				}
			}
			for range c.otherFailures {
				other.UpdateFailureRates(classes, true, 0, meanLatency)
			}
			if got := endpoint.Eligibility(classes, c.after, meanLatency); got < c.least || got > c.most {
				t.Errorf("eligibility: got %.3f, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

// An endpoint that fails requests of one class only is an outlier for that class, although it succeeds
// mostly.
func TestFailuresOfOneClassCountForIt(t *testing.T) {
	var reads, writes, total ClassRate
	var endpoint Record
	for range 30 {
		endpoint.UpdateFailureRates(ClassRates{&writes, &total}, true, 0, meanLatency)
		for range 20 {
			endpoint.UpdateFailureRates(ClassRates{&reads, &total}, false, 0, meanLatency)
		}
		var other Record
		for range 40 {
			other.UpdateFailureRates(ClassRates{&writes, &total}, false, 0, meanLatency)
		}
	}
	if got := endpoint.Eligibility(ClassRates{&writes, &total}, 0, meanLatency); got > 0.1 {
		t.Errorf("eligibility for the failing class: got %.3f, want at most 0.1", got)
	}
	if got := endpoint.Eligibility(ClassRates{&reads, &total}, 0, meanLatency); got < 1 {
		t.Errorf("eligibility for the other class: got %.3f, want 1", got)
	}
}

func TestRetainClassesDiscardsRatesOfUnknownClasses(t *testing.T) {
	var known, removed, total ClassRate
	var endpoint Record
	endpoint.UpdateFailureRates(ClassRates{&known, &total}, true, 0, meanLatency)
	endpoint.UpdateFailureRates(ClassRates{&removed, &total}, true, 0, meanLatency)
	endpoint.RetainClasses(func(class *ClassRate) bool { return class != &removed })
	if _, found := endpoint.failures[&removed]; found || len(endpoint.failures) != 2 {
		t.Errorf("got %d failure rates, want 2: of the known class and of all classes", len(endpoint.failures))
	}
}

// A failure rate falls by a factor of e within its decay time.
func TestRateDecaysWithTime(t *testing.T) {
	rate := failureRate{share: 0.9, updatedAt: time.Second}
	now := time.Second + time.Duration(failureDecayLatencies*meanLatency)
	if got, want := rate.decayed(now, meanLatency), 0.9/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("rate after the decay time: got %v, want %v", got, want)
	}
}

func Example() {
	detector := NewDetector()
	var endpoint Record
	const mean = float64(10 * time.Millisecond)
	detector.ObserveFailure(&endpoint, time.Second, mean)
	fmt.Println("ejected:", endpoint.IsEjected(time.Second))
	fmt.Println("ejected 200 ms later:", endpoint.IsEjected(1200*time.Millisecond), "on trial:", endpoint.OnTrial())
	detector.ObserveSuccess(&endpoint)
	fmt.Println("on trial after a success:", endpoint.OnTrial())
	// Output:
	// ejected: true
	// ejected 200 ms later: false on trial: true
	// on trial after a success: false
}
