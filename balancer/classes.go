// Statistics of each class of requests: exponentially weighted averages of latency and its deviation, as in
// TCP's estimate of the round-trip time (RFC 6298), and of what else the mechanisms go by.

package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Constants of the averages: weights of a new sample, or ratios.
const (
	averageWeight  = 0.06   // least weight in averages over all endpoints (about 16 samples)
	baseRiseWeight = 0.0005 // weight in a class's base latency when the mean lies above it
	baseFallWeight = 0.02   // and when it lies below; the mean is noisy and at times lower than any real one
	baseSamples    = 8      // samples from which base latency has a value of its own and answers can be slow
	slowDeviations = 3.0    // deviations above the mean from which an answer is slow
	countDecay     = 0.99   // factor of the counts of arrivals and answers at each request
)

// class is a class as the settings had it when its requests were accepted, with its statistics, which outlive
// those settings.
type class struct {
	Class
	*classStats
}

// classStats is what was observed of a class.
type classStats struct {
	mean, deviation  float64 // latency of successes, in ns
	base             float64 // what mean was when load was lowest
	samples          int
	failureShare     float64 // share of its attempts that fail
	arrivals, served float64 // requests, and answers within the latency objective: decayed counts
	timeout          usualTimeout
}

// newClass returns a class with the first guess at its latency.
func newClass(c Class) *class {
	objective := float64(c.LatencyObjective)
	return &class{c, &classStats{mean: objective / 4, deviation: objective / 8, base: objective / 4}}
}

// observe takes in the latency of a success, and says whether enough are known to call one slow. The first
// samples replace the guess, or the endpoint that answers first would look fast against it.
func (c *classStats) observe(latency float64) bool {
	c.samples++
	weight := max(averageWeight, 1/float64(c.samples))
	c.deviation += weight * (math.Abs(latency-c.mean) - c.deviation)
	c.mean += weight * (latency - c.mean)
	c.base += baseRiseWeight * (c.mean - c.base)
	c.base += min(0, baseFallWeight*(c.mean-c.base))
	if c.samples < baseSamples {
		c.base = c.mean
		return false
	}
	return true
}

// isSlow says that an answer after so many nanoseconds is slow for the class.
func (c *classStats) isSlow(latency float64) bool { return latency > c.mean+slowDeviations*c.deviation }

// slowLatency returns the latency that most answers of the class stay well under.
func (c *classStats) slowLatency() time.Duration {
	return time.Duration(c.mean + slowDeviations*c.deviation)
}

// classTable is the classes of the settings in force.
type classTable struct {
	byName  map[string]*class
	ordered []*class // as in the settings, then the unknown class
}

// newClassTable returns the classes of new settings. One that was in the old settings keeps its statistics.
func newClassTable(classes []Class, old classTable) classTable {
	table := classTable{byName: map[string]*class{}}
	for _, settings := range append(slices.Clone(classes), unknownClass(classes)) {
		c := newClass(settings)
		if was := old.byName[c.Name]; was != nil {
			c.classStats = was.classStats
			if was.Deadline != c.Deadline {
				c.timeout.votes = 0 // the usual timeout was a share of the deadline
			}
		}
		table.byName[c.Name] = c
		table.ordered = append(table.ordered, c)
	}
	return table
}

// unknownClass returns the class of requests whose class is not in the settings: not idempotent, and
// otherwise like the class with the longest deadline.
func unknownClass(classes []Class) Class {
	longest := slices.MaxFunc(classes, func(a, b Class) int { return cmp.Compare(a.Deadline, b.Deadline) })
	return Class{
		LatencyObjective: longest.LatencyObjective,
		Deadline:         longest.Deadline,
		PriorityWeight:   longest.PriorityWeight,
	}
}

// unknown returns the unknown class. Its failure rates stand for all classes together.
func (t *classTable) unknown() *class { return t.ordered[len(t.ordered)-1] }

// get returns the class of this name, or the unknown one.
func (t *classTable) get(name string) *class {
	if c := t.byName[name]; c != nil {
		return c
	}
	return t.unknown()
}

// has says whether the statistics belong to a class of the table.
func (t *classTable) has(stats *classStats) bool {
	return slices.ContainsFunc(t.ordered, func(c *class) bool { return c.classStats == stats })
}

// countArrival counts a request of a class.
func (t *classTable) countArrival(c *class) {
	for _, k := range t.ordered {
		k.arrivals *= countDecay
		k.served *= countDecay
	}
	c.arrivals++
}
