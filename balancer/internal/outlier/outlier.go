// Package outlier detects endpoints that fail more than the others, as in Envoy's outlier detection.
//
// It has two parts. Consecutive failures eject an endpoint for a while that doubles each time, and trials by
// single requests follow (Envoy's consecutive errors and base ejection time). The success rate of an endpoint
// against that of all endpoints lowers the share of requests that it is eligible for (Envoy's success rate).
package outlier

import (
	"maps"
	"math"
	"time"
)

// Constants of ejection.
const (
	badShareWeight    = 0.06 // weight of a new result in the share of bad results (about 16 results)
	luckProbability   = 0.08 // probability from which a run of failures counts as chance
	baseEjection      = 12   // mean latencies that a first ejection lasts
	maxEjectionLevel  = 5    // doublings of an ejection
	recoverySuccesses = 3    // consecutive successes that take one doubling back
	firstBadShare     = 0.02 // share of bad results that is assumed at first
	minBadShare       = 0.01 // and the least that is ever assumed
)

// Detector is what is known of all endpoints together.
type Detector struct {
	badShare float64 // share of bad results, slow answers among them, of all attempts: a moving average
}

// NewDetector returns a Detector that has seen no result.
func NewDetector() Detector { return Detector{badShare: firstBadShare} }

// ObserveSuccess records a good result of an endpoint.
func (d *Detector) ObserveSuccess(r *Record) {
	r.success()
	d.badShare = max(minBadShare, d.badShare-badShareWeight*d.badShare)
}

// ObserveFailure records a bad result of an endpoint, a slow answer included, and ejects the endpoint when a
// run of them is no chance. meanLatency is that of the request's class, in nanoseconds.
func (d *Detector) ObserveFailure(r *Record, now time.Duration, meanLatency float64) {
	r.failure()
	if d.unlikely(r.consecutiveFailures) {
		r.eject(now, time.Duration(baseEjection*meanLatency))
	}
	d.badShare += badShareWeight * (1 - d.badShare)
}

// unlikely says that so many consecutive failures of one endpoint are no chance. A fault that strikes
// everywhere comes from the tier below or from the load; ejecting for it would leave no endpoint. So a run
// counts only if the share of bad results of all endpoints makes it unlikely.
func (d *Detector) unlikely(consecutive int) bool {
	return math.Pow(d.badShare, float64(consecutive)) < luckProbability
}

// Record is what an endpoint's recent results say of its health.
type Record struct {
	consecutiveFailures  int
	consecutiveSuccesses int
	level                int // doublings of the next ejection
	until                time.Duration
	failures             failureRates
}

// IsEjected says that the endpoint is ejected now.
func (r *Record) IsEjected(now time.Duration) bool { return now < r.until }

// OnTrial says that the endpoint was ejected and has had no success since.
func (r *Record) OnTrial() bool { return r.level > 0 && r.consecutiveSuccesses == 0 }

// CompareFailures orders records by their consecutive failures, the most first.
func (r *Record) CompareFailures(other *Record) int {
	return other.consecutiveFailures - r.consecutiveFailures
}

// UpdateFailureRates records that an attempt at the endpoint failed or did not, for the success rates.
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

// RetainClasses discards the failure rates of the classes that are not known any more.
func (r *Record) RetainClasses(known func(*ClassRate) bool) {
	maps.DeleteFunc(r.failures, func(class *ClassRate, _ failureRate) bool { return !known(class) })
}

func (r *Record) success() {
	r.consecutiveFailures = 0
	if r.consecutiveSuccesses++; r.consecutiveSuccesses >= recoverySuccesses && r.level > 0 {
		r.level, r.consecutiveSuccesses = r.level-1, 1
	}
}

func (r *Record) failure() {
	r.consecutiveFailures++
	r.consecutiveSuccesses = 0
}

// eject begins an ejection, unless one is in force. Its length doubles while the trials after it fail.
func (r *Record) eject(now, base time.Duration) {
	if now >= r.until {
		r.until = now + base<<r.level
		r.level = min(r.level+1, maxEjectionLevel)
	}
}
