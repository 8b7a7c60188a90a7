// When the client first asked.

package balancer

import (
	"math"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	timeoutTolerance = 0.05 // by how much times given to tries may differ and be held for the same
	maxTimeoutVotes  = 50   // counted for the time that is usual
)

// inferFirstArrival finds when the client first asked. Most tries of a class are given the same time, a share
// of
// its deadline; one that is given another has all that its earlier tries left: less than the share, or
// more where no try is to follow. What is usual is a vote, so that no odd caller decides it for all. It
// would hurt callers in the minority where those of one class are given different times. The time given runs
// from the first byte (0: now), so that a request that is written slowly is not taken for an odd one.
func (b *Balancer) inferFirstArrival(req *request, firstByte time.Duration) {
	began := b.now
	if firstByte > 0 {
		began = min(b.now, firstByte)
	}
	c, left := req.class, float64(req.deadline-began)
	switch {
	case b.settings.Tier > 0:
	case math.Abs(left-c.usualTimeout) <= timeoutTolerance*c.usualTimeout:
		c.timeoutVotes = min(c.timeoutVotes+1, maxTimeoutVotes)
	case c.timeoutVotes == 0:
		c.usualTimeout, c.timeoutVotes = left, 1
	default:
		c.timeoutVotes--
		req.arrived = min(b.now, req.deadline-c.Deadline)
		req.retry = req.retry || began-req.arrived > c.LatencyObjective/2
	}
}
