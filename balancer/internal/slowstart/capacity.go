package slowstart

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

// rate returns the answers a second at the best recent time, once a window of seconds or more was observed:
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
