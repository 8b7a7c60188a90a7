// Package clienttimeout finds the timeout that most clients of a class use.
//
// It is a majority vote (Boyer and Moore), so that no unusual client decides it for all. A request with
// another timeout has what earlier attempts of its client have left: it is a retry that is not marked as one.
package clienttimeout

import "math"

// Constants of the vote.
const (
	tolerance = 0.05 // share by which timeouts may differ and count as the same
	maxVotes  = 50   // most votes for one timeout
)

// Estimator is the timeout that most attempts of a class's clients have.
type Estimator struct {
	value float64 // in ns
	votes int     // for it, less those against it
}

// Observe records a timeout, in nanoseconds, and says whether it is the usual one.
func (u *Estimator) Observe(timeout float64) bool {
	switch {
	case math.Abs(timeout-u.value) <= tolerance*u.value:
		u.votes = min(u.votes+1, maxVotes)
	case u.votes == 0:
		u.value, u.votes = timeout, 1
	default:
		u.votes--
		return false
	}
	return true
}

// Reset discards the votes: the next timeout becomes the usual one unless it is like the last.
func (u *Estimator) Reset() { u.votes = 0 }
