// Package outlier detects endpoints that fail more often than the others, like Envoy's outlier detection.
//
// It has two parts. A run of consecutive failures ejects an endpoint for a time that doubles with each
// ejection. After it, single requests probe the endpoint (Envoy's consecutive errors and base ejection time).
// The success rate of an endpoint, compared with that of all endpoints, lowers the share of requests that the
// endpoint may receive (Envoy's success rate).
package outlier

import (
	"maps"
	"math"
	"time"
)

// Constants of ejection.
const (
	failureShareWeight   = 0.06 // weight of a new result in the share of failures (about 16 results)
	minChanceProbability = 0.08 // probability of a run of failures from which it is attributed to chance
	baseEjection         = 12   // length of a first ejection, in mean latencies
	maxEjectionDoublings = 5    // limit on the doublings of the length
	recoverySuccesses    = 3    // consecutive successes that undo one doubling
	initialFailureShare  = 0.02 // share of failures assumed initially
	minFailureShare      = 0.01 // smallest share of failures assumed
)

// Detector holds the state shared by all endpoints.
type Detector struct {
	failureShare float64 // moving average over all attempts; slow responses count as failures
}

// NewDetector returns a Detector without observations.
func NewDetector() Detector { return Detector{failureShare: initialFailureShare} }

// ObserveSuccess records a successful attempt at an endpoint.
func (d *Detector) ObserveSuccess(r *Record) {
	r.success()
	d.failureShare = max(minFailureShare, d.failureShare-failureShareWeight*d.failureShare)
}

// ObserveFailure records a failed attempt or a slow response, and ejects the endpoint if a run of them is
// unlikely to be chance. meanLatency is the mean latency of the request's class, in nanoseconds.
func (d *Detector) ObserveFailure(r *Record, now time.Duration, meanLatency float64) {
	r.failure()
	if d.isUnlikelyByChance(r.consecutiveFailures) {
		r.eject(now, time.Duration(baseEjection*meanLatency))
	}
	d.failureShare += failureShareWeight * (1 - d.failureShare)
}

// isUnlikelyByChance reports whether a run of consecutive failures of one endpoint is unlikely to be chance,
// given the share of failures of all endpoints. A fault that affects all of them comes from the tier below or
// from the load, and ejections for it would leave no endpoint.
func (d *Detector) isUnlikelyByChance(consecutive int) bool {
	return math.Pow(d.failureShare, float64(consecutive)) < minChanceProbability
}

// Record holds the recent results of an endpoint.
type Record struct {
	consecutiveFailures  int
	consecutiveSuccesses int
	doublings            int // of the length of the next ejection
	ejectedUntil         time.Duration
	failures             failureRates
}

// IsEjected reports whether the endpoint is currently ejected.
func (r *Record) IsEjected(now time.Duration) bool { return now < r.ejectedUntil }

// OnTrial reports whether the endpoint has been ejected and has had no success since.
func (r *Record) OnTrial() bool { return r.doublings > 0 && r.consecutiveSuccesses == 0 }

// CompareFailures orders records by their consecutive failures, the most first.
func (r *Record) CompareFailures(other *Record) int {
	return other.consecutiveFailures - r.consecutiveFailures
}

// UpdateFailureRates records in the failure rates of the classes whether an attempt at the endpoint failed.
func (r *Record) UpdateFailureRates(classes ClassRates, failed bool, now time.Duration, meanLatency float64) {
	if r.failures == nil {
		r.failures = failureRates{}
	}
	r.failures.observe(classes, failed, now, meanLatency)
}

// Eligibility returns the probability with which the endpoint may be sent a request of the class now, by its
// success rate.
func (r *Record) Eligibility(classes ClassRates, now time.Duration, meanLatency float64) float64 {
	return r.failures.eligibility(classes, now, meanLatency)
}

// RetainClasses discards the failure rates of all classes that are not known.
func (r *Record) RetainClasses(known func(*ClassRate) bool) {
	maps.DeleteFunc(r.failures, func(class *ClassRate, _ failureRate) bool { return !known(class) })
}

func (r *Record) success() {
	r.consecutiveFailures = 0
	if r.consecutiveSuccesses++; r.consecutiveSuccesses >= recoverySuccesses && r.doublings > 0 {
		r.doublings, r.consecutiveSuccesses = r.doublings-1, 1
	}
}

func (r *Record) failure() {
	r.consecutiveFailures++
	r.consecutiveSuccesses = 0
}

// eject starts an ejection unless one is in force. Each ejection after a failed trial is twice as long as the
// last, up to a limit.
func (r *Record) eject(now, base time.Duration) {
	if now >= r.ejectedUntil {
		r.ejectedUntil = now + base<<r.doublings
		r.doublings = min(r.doublings+1, maxEjectionDoublings)
	}
}
