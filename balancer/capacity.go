// An estimate of the endpoints' capacity from their answers to this replica, from which slow start derives
// its limits.

package balancer

import (
	"math"
	"time"
)

// peakMemory is how many times as long as the current rate of answers the best one is remembered.
const peakMemory = 8.0

// capacityEstimate is how many good answers a second endpoints give to this replica, for each unit of their
// capacity share. Each replica's estimate is its own part of what the endpoints answer to all replicas, so
// limits derived from it add up over the fleet, though no replica knows the others' traffic.
type capacityEstimate struct {
	answers float64 // decayed; each counts one over the capacity share of those that may have given it
	seconds float64 // in which such an answer may have come, decayed alike
	peak    float64 // answers a second at the best time, decayed more slowly
	at      time.Duration
}

// rate returns the answers a second at the best time of late, once a window of seconds or more was seen:
// endpoints that are overloaded while others warm up slow down, and answer less than they could.
func (c *capacityEstimate) rate(window float64) float64 {
	c.peak = max(c.peak, c.answers/max(c.seconds, window))
	return c.peak
}

// observe decays the estimate up to now, over a time in seconds. An answer, if one has come, was given by one
// of the endpoints of the subset whose capacity shares sum up to capacity.
func (c *capacityEstimate) observe(now time.Duration, over, capacity float64, answered bool) {
	if capacity > 0 && c.at > 0 {
		elapsed := (now - c.at).Seconds()
		keep := math.Exp(-elapsed / over)
		c.peak *= math.Exp(-elapsed / (peakMemory * over))
		c.answers *= keep
		c.seconds = c.seconds*keep + over*(1-keep)
	}
	c.at = now
	if capacity > 0 && answered {
		c.answers += 1 / capacity
	}
}

// observeCapacity takes in the time and, where an endpoint is given, a good answer of it. The answers of warm
// endpoints say most, as the others answer no more than they are sent. Where the subset has no warm one, the
// estimate of warm ones stays, and that of the others counts if it is higher.
func (b *Balancer) observeCapacity(ep *endpoint) {
	counts := ep != nil && ep.listed && ep.inSubset
	warm, warmingUp := b.subsetCapacity()
	over := b.capacityMemory()
	b.slowStart.warm.observe(b.now, over, warm, counts && b.isWarm(ep))
	b.slowStart.warmingUp.observe(b.now, over, warmingUp, counts && !b.isWarm(ep))
}

// capacityMemory returns how many seconds the estimate goes back: half of the time of a slow start is long
// enough for a replica of little traffic, and short enough to follow the load.
func (b *Balancer) capacityMemory() float64 {
	return (b.settings.SlowStartDuration/2 + b.settings.OverloadWindow).Seconds()
}

// subsetCapacity returns the sums of the capacity shares of the subset's endpoints, for those that are warm
// and for those that warm up.
func (b *Balancer) subsetCapacity() (warm, warmingUp float64) {
	for _, group := range [][]*endpoint{b.subset.own.left, b.subset.own.right} {
		for _, ep := range group {
			if share := b.capacityShare(ep); share == 1 {
				warm++
			} else {
				warmingUp += share
			}
		}
	}
	return warm, warmingUp
}
