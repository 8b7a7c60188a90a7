// Capacity: what servers answer of this copy's calls.

package balancer

import (
	"math"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	bestKept = 8.0 // times as long as what servers bear is remembered, it is at their best
)

// capacityEstimate is what servers answer of this copy's calls: good answers a second for each unit of their
// warmth. Each copy's figure is its own part of what they answer for all copies, so limits taken from it add
// up over the fleet, though no copy knows the others' traffic.
type capacityEstimate struct {
	answers float64 // decayed; each counts one over the warmth of those that it could have come from
	seconds float64 // in which such an answer could have come, decayed alike
	most    float64 // answers a second at the best time, decayed more slowly
	at      time.Duration
}

// rate is in answers a second, once a window of seconds or more was seen, at the best time of late: servers
// that are crowded because others are cold choke and answer less than they could.
func (r *capacityEstimate) rate(window float64) float64 {
	r.most = max(r.most, r.answers/max(r.seconds, window))
	return r.most
}

// note brings the figure up to now, forgetting over a number of seconds. An answer, if one has come, was of
// one of the servers of a pool that have so much warmth together.
func (r *capacityEstimate) note(now time.Duration, over, warmth float64, answered bool) {
	if warmth > 0 && r.at > 0 {
		keep := math.Exp(-(now - r.at).Seconds() / over)
		r.most *= math.Exp(-(now - r.at).Seconds() / (bestKept * over))
		r.answers *= keep
		r.seconds = r.seconds*keep + over*(1-keep)
	}
	r.at = now
	if warmth > 0 && answered {
		r.answers += 1 / warmth
	}
}

// observeCapacity notes the time and, where a server is named, its good answer. What warm servers answer
// tells most: cold ones answer no more than they are sent. Where the pool has no warm one, what was known of
// them stays, and the cold ones tell if they answer more.
func (b *Balancer) observeCapacity(s *server) {
	pooled := s != nil && s.listed && s.pooled
	warm, cold := b.poolWarmth()
	b.warmCapacity.note(b.now, b.ramp(), warm, pooled && b.warmth(s) == 1)
	b.coldCapacity.note(b.now, b.ramp(), cold, pooled && b.warmth(s) < 1)
}

// ramp is how many seconds the capacity estimate goes back: half of a server's way to its full capacity is
// long enough for a copy of few calls, and short enough to follow the load.
func (b *Balancer) ramp() float64 {
	return (b.set.SlowStartDuration/2 + b.set.OverloadWindow).Seconds()
}

// poolWarmth is what the warm and the cold servers of the pool can do, in warm servers.
func (b *Balancer) poolWarmth() (warm, cold float64) {
	for _, group := range [][]*server{b.pool.left, b.pool.right} {
		for _, s := range group {
			if w := b.warmth(s); w == 1 {
				warm++
			} else {
				cold += w
			}
		}
	}
	return warm, cold
}
