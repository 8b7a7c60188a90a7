// Classes and what is learned of each: exponentially weighted averages of latency and its deviation.

package balancer

import (
	"math"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	averageWeight  = 0.06   // weight of a new sample in pooled averages (about 16 samples)
	baseRiseWeight = 0.0005 // weight of a new sample in a class's base latency when it lies above
	baseFallWeight = 0.02   // and when it lies below: a noisy mean now and then is lower than any real one
	slowDeviations = 3.0    // deviations above the mean at which a wait counts as overlong
)

// class is a class as the settings had it when its requests were taken, and what was learned of it, which
// outlives those settings.
type class struct {
	Class
	*classStats
}

// classStats is what was learned of a class.
type classStats struct {
	mean, deviation  float64 // latency of successes, in ns
	base             float64 // what mean was when there was most room
	failureShare     float64 // share of its attempts that fail
	samples          int
	arrivals, served float64 // decayed counts
	usualTimeout     float64 // time that most tries are given, in ns
	timeoutVotes     int     // for it, less those against it
}

// observe takes in the latency of a good answer, and says whether enough are known to tell a late one.
// The first samples replace the guess, or who answers first would look fast against it.
func (c *class) observe(took float64) bool {
	c.samples++
	share := max(averageWeight, 1/float64(c.samples))
	c.deviation += share * (math.Abs(took-c.mean) - c.deviation)
	c.mean += share * (took - c.mean)
	c.base += baseRiseWeight * (c.mean - c.base)
	c.base += min(0, baseFallWeight*(c.mean-c.base))
	if c.samples < 8 {
		c.base = c.mean
		return false
	}
	return true
}

// isSlow says that an answer after so many nanoseconds is slow for the class.
func (c *class) isSlow(latency float64) bool { return latency > c.mean+slowDeviations*c.deviation }

// slowLatency returns the latency that most answers of the class stay well under.
func (c *class) slowLatency() time.Duration {
	return time.Duration(c.mean + slowDeviations*c.deviation)
}
