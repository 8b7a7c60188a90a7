// Package clienttimeout estimates the timeout that most clients of a class use.
//
// It takes a majority vote (the Boyer–Moore algorithm), so that a client with an unusual timeout does not
// change the estimate. A request with another timeout has the time that earlier attempts of its client left:
// it is a retry that is not marked as one.
package clienttimeout

import "math"

// Constants of the vote.
const (
	tolerance = 0.05 // relative difference up to which timeouts count as equal
	maxVotes  = 50   // limit on the votes for the current timeout
)

// Estimator estimates the timeout that most clients of a class use. The zero value is ready to use.
type Estimator struct {
	value float64 // in nanoseconds
	votes int     // votes for value minus votes against it
}

// Observe records a timeout in nanoseconds and reports whether it equals the usual one.
func (e *Estimator) Observe(timeout float64) bool {
	switch {
	case math.Abs(timeout-e.value) <= tolerance*e.value:
		e.votes = min(e.votes+1, maxVotes)
	case e.votes == 0:
		e.value, e.votes = timeout, 1
	default:
		e.votes--
		return false
	}
	return true
}

// Reset discards the votes: the next timeout becomes the usual one, unless it equals the current one.
func (e *Estimator) Reset() { e.votes = 0 }
