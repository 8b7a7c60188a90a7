// Package unresponsive suspects endpoints that hang, by comparison with the others, long before a timeout.
//
// It is a failure detector (Chandra and Toueg, "Unreliable Failure Detectors for Reliable Distributed
// Systems") whose heartbeats are the answers to requests: a machine that hangs, pauses or has lost its
// network shows nothing else until its attempts time out.
package unresponsive

import (
	"slices"
	"time"

	"basaltdrum/balancer/internal/latency"
)

// Detector is what is known of all endpoints together.
type Detector struct{ lastSuccess time.Duration }

// Record is what is known of one endpoint.
type Record struct {
	attempts    []attempt // in flight, in order of sending
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
// alike.
func (r *Record) EndAttempt(sent time.Duration, class *latency.Estimator) {
	if at := slices.Index(r.attempts, attempt{sent, class}); at >= 0 {
		r.attempts = slices.Delete(r.attempts, at, at+1)
	}
}

// InFlight returns how many attempts are in flight.
func (r *Record) InFlight() int { return len(r.attempts) }

// ObserveSuccess records that an endpoint has answered a request.
func (d *Detector) ObserveSuccess(r *Record, now time.Duration) {
	d.lastSuccess, r.lastSuccess = now, now
}

// AfterRestart returns the record of the endpoint once it has restarted: only its attempts are known.
func (r *Record) AfterRestart() Record { return Record{attempts: r.attempts} }

// Suspects says that an old attempt at the endpoint is unanswered while the endpoint has answered no later
// one and another endpoint has.
func (d *Detector) Suspects(r *Record, now time.Duration) bool {
	if len(r.attempts) == 0 {
		return false
	}
	oldest := r.attempts[0]
	wait := oldest.class.SlowThreshold()
	recent := oldest.sent + wait/2
	return now-oldest.sent > wait && d.lastSuccess > recent && r.lastSuccess < recent
}
