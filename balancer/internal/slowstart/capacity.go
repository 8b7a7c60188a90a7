package slowstart

import (
	"math"
	"time"
)

// peakMemoryRatio is the ratio of the decay time of the peak rate to that of the current rate.
const peakMemoryRatio = 8.0

// capacityEstimate estimates the successful responses per second that this replica gets from the endpoints,
// per unit of their capacity share. The estimate of each replica is its own part of the responses to all
// replicas, so limits derived from it add up over the fleet, although no replica knows the traffic of the
// others.
type capacityEstimate struct {
	responses       float64 // decayed; each counts 1 / capacity of the endpoints that may have sent it
	observedSeconds float64 // time in which such responses could arrive, in seconds, with the same decay
	peak            float64 // highest rate, in responses per second, with a slower decay
	updatedAt       time.Duration
}

// rate returns the highest recent rate in responses per second, computed over at least a window of this many
// seconds. The highest one counts because endpoints that are overloaded while others warm up slow down, and
// respond less often than they could.
func (c *capacityEstimate) rate(window float64) float64 {
	c.peak = max(c.peak, c.responses/max(c.observedSeconds, window))
	return c.peak
}

// observe applies the decay until now. memory is the decay time in seconds. If responded is set, one of the
// endpoints of the subset, whose capacity shares add up to capacity, has sent a response.
func (c *capacityEstimate) observe(now time.Duration, memory, capacity float64, responded bool) {
	if capacity > 0 && c.updatedAt > 0 {
		elapsed := (now - c.updatedAt).Seconds()
		decay := math.Exp(-elapsed / memory)
		c.peak *= math.Exp(-elapsed / (peakMemoryRatio * memory))
		c.responses *= decay
		c.observedSeconds = c.observedSeconds*decay + memory*(1-decay)
	}
	c.updatedAt = now
	if capacity > 0 && responded {
		c.responses += 1 / capacity
	}
}
