package admission

import (
	"time"

	"basaltdrum/balancer/internal/latency"
)

// Constants of the priorities.
const (
	countDecay    = 0.99 // factor of the counts of arrivals and answers at each request
	minLimitShare = 0.5  // part of the limit that any class may use, so that none starves
	maxLimitShare = 2.0
	leastSum      = 1e-9 // keeps a division from one by zero
)

// Class is a class of requests, as far as admission depends on it.
type Class struct {
	Objective      time.Duration // latency within which an answer has its full worth
	PriorityWeight float64
	LateValue      float64 // share of PriorityWeight that an answer after the objective earns
	Latency        *latency.Estimator
	Traffic        *Traffic // the same for a class under new settings
}

// Traffic is counts of a class, which decay with each request.
type Traffic struct {
	arrivals float64
	served   float64 // answers within the latency objective
}

// ObserveOnTime counts an answer within the latency objective.
func (t *Traffic) ObserveOnTime() { t.served++ }

// Priorities ranks the classes of the settings in force.
type Priorities struct {
	TotalWeight      float64  // how much the sum over all classes counts when load is shed
	WorstClassWeight float64  // how much the class served worst counts when load is shed
	Classes          []*Class // all that there are
}

// observeArrival counts a request of a class.
func (p *Priorities) observeArrival(c *Class) {
	for _, class := range p.Classes {
		class.Traffic.arrivals *= countDecay
		class.Traffic.served *= countDecay
	}
	c.Traffic.arrivals++
}

// limitShare returns the part of the concurrency limit that a request may use, by its priority against the
// others': the more load is shed, the more capacity is kept for the highest priority. The queue alone keeps a
// request too short a time for that, since at a replica of little traffic seldom two wait at once. No class
// loses more than half of the limit, so that none starves.
func (p *Priorities) limitShare(c *Class, retry bool, shed float64) float64 {
	var sum, arrivals float64
	for _, class := range p.Classes {
		sum += class.Traffic.arrivals * p.of(class, false)
		arrivals += class.Traffic.arrivals
	}
	share := 1 + shed*(p.of(c, retry)*arrivals/max(sum, leastSum)-1)
	return min(maxLimitShare, max(minLimitShare, share))
}

// of returns what an answer in a class is worth for the time it takes, so that what is worth most is shed
// least; the class that is served worst counts extra, so that none starves. The latency objective of a
// client's retry runs from its first attempt and is mostly used up.
func (p *Priorities) of(c *Class, retry bool) float64 {
	var total float64
	worst := c
	for _, class := range p.Classes {
		total += class.PriorityWeight * class.Traffic.arrivals
		if class.Traffic.arrivals > 1 && class.isServedWorseThan(worst) {
			worst = class
		}
	}
	value := p.TotalWeight * c.PriorityWeight / max(total, leastSum)
	if worst == c {
		value += p.WorstClassWeight / max(c.Traffic.arrivals, leastSum)
	}
	if retry {
		value *= c.LateValue
	}
	return value / c.Latency.Mean()
}

// isServedWorseThan says that a smaller share of the class's requests is served in time.
func (c *Class) isServedWorseThan(other *Class) bool {
	return c.Traffic.served*other.Traffic.arrivals < other.Traffic.served*c.Traffic.arrivals
}
