// Clients' retries that are not marked as such, found by their timeouts, so that a request's latency
// objective runs from the client's first attempt.

package balancer

import (
	"math"
	"time"
)

// Constants of the usual timeout.
const (
	timeoutTolerance = 0.05 // share by which timeouts may differ and count as the same
	maxTimeoutVotes  = 50   // most votes for one timeout
)

// usualTimeout is the time that most attempts of a class's clients have, found by a majority vote (Boyer and
// Moore), so that no unusual client decides it for all.
type usualTimeout struct {
	value float64 // in ns
	votes int     // for it, less those against it
}

// vote takes in a timeout and says whether it is the usual one.
func (u *usualTimeout) vote(timeout float64) bool {
	switch {
	case math.Abs(timeout-u.value) <= timeoutTolerance*u.value:
		u.votes = min(u.votes+1, maxTimeoutVotes)
	case u.votes == 0:
		u.value, u.votes = timeout, 1
	default:
		u.votes--
		return false
	}
	return true
}

// inferFirstAttempt finds when the client's first attempt began. Most attempts of a class have the same
// timeout, a share of its deadline. One with another timeout has all that earlier attempts left: less than
// the share, or more where it is the last. This would hurt the clients in the minority if those of one class
// used different timeouts. A timeout runs from the first byte (0: now), so that a request that is written
// slowly does not look unusual.
func (b *Balancer) inferFirstAttempt(req *request, firstByte time.Duration) {
	if b.settings.Tier > 0 {
		return
	}
	began := b.now
	if firstByte > 0 {
		began = min(b.now, firstByte)
	}
	c := req.class
	if c.timeout.vote(float64(req.deadline - began)) {
		return
	}
	req.arrived = min(b.now, req.deadline-c.Deadline)
	req.retry = req.retry || began-req.arrived > c.LatencyObjective/2
}
