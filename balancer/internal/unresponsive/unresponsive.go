// Package unresponsive detects endpoints that hang, by comparison with the others, long before a timeout.
//
// It is a failure detector (Chandra and Toueg, "Unreliable Failure Detectors for Reliable Distributed
// Systems") that uses the responses to requests as heartbeats: a machine that hangs, pauses or has lost its
// network shows no other sign until its attempts time out.
package unresponsive

import (
	"slices"
	"time"

	"basaltdrum/balancer/internal/latency"
)

// Detector holds the state shared by all endpoints.
type Detector struct{ lastSuccess time.Duration }

// Record holds the state of one endpoint.
type Record struct {
	attempts    []attempt // in flight, in the order of sending
	lastSuccess time.Duration
}

// attempt is an attempt in flight.
type attempt struct {
	sent  time.Duration
	class *latency.Estimator
}

// StartAttempt records that an attempt was sent.
func (r *Record) StartAttempt(now time.Duration, class *latency.Estimator) {
	r.attempts = append(r.attempts, attempt{now, class})
}

// EndAttempt records that an attempt has ended. Attempts of one class that were sent at the same time are
// interchangeable.
func (r *Record) EndAttempt(sent time.Duration, class *latency.Estimator) {
	if at := slices.Index(r.attempts, attempt{sent, class}); at >= 0 {
		r.attempts = slices.Delete(r.attempts, at, at+1)
	}
}

// InFlight returns the number of attempts in flight.
func (r *Record) InFlight() int { return len(r.attempts) }

// ObserveSuccess records a successful response of an endpoint.
func (d *Detector) ObserveSuccess(r *Record, now time.Duration) {
	d.lastSuccess, r.lastSuccess = now, now
}

// AfterRestart returns the record after a restart of the endpoint, which keeps only the attempts in flight.
func (r *Record) AfterRestart() Record { return Record{attempts: r.attempts} }

// Suspects reports whether the endpoint appears unresponsive: its oldest attempt has taken longer than the
// slow threshold of its class, and since half of that threshold another endpoint has responded but this one
// has not.
func (d *Detector) Suspects(r *Record, now time.Duration) bool {
	if len(r.attempts) == 0 {
		return false
	}
	oldest := r.attempts[0]
	wait := oldest.class.SlowThreshold()
	recent := oldest.sent + wait/2
	return now-oldest.sent > wait && d.lastSuccess > recent && r.lastSuccess < recent
}
