// When the client first asked.

package balancer

import (
	"math"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	sameTry   = 0.05 // by how much times given to tries may differ and be held for the same
	mostVotes = 50   // counted for the time that is usual
)

// backdate finds when the client first asked. Most tries of a class are given the same time, a share of
// its deadline; one that is given another has all that its earlier tries left: less than the share, or
// more where no try is to follow. What is usual is a vote, so that no odd caller decides it for all. It
// would hurt callers in the minority where those of one class are given different times. The time given runs
// from the first byte (0: now), so that a request that is written slowly is not taken for an odd one.
func (b *Balancer) backdate(r *request, firstByte time.Duration) {
	began := b.now
	if firstByte > 0 {
		began = min(b.now, firstByte)
	}
	c, left := r.class, float64(r.deadline-began)
	switch {
	case b.set.Tier > 0:
	case math.Abs(left-c.usual) <= sameTry*c.usual:
		c.votes = min(c.votes+1, mostVotes)
	case c.votes == 0:
		c.usual, c.votes = left, 1
	default:
		c.votes--
		r.arrived = min(b.now, r.deadline-c.Deadline)
		r.repeat = r.repeat || began-r.arrived > c.LatencyObjective/2
	}
}
