package admission

import (
	"time"

	"basaltdrum/balancer/internal/latency"
)

// Constants of the priorities.
const (
	countDecay    = 0.99 // factor that each request applies to the counts of arrivals and responses
	minLimitShare = 0.5  // share of the limit that every class may use, so that none starves
	maxLimitShare = 2.0
	minDivisor    = 1e-9 // avoids a division by zero
)

// Class holds the properties of a request class that admission depends on.
type Class struct {
	Objective      time.Duration // a response within it earns the full PriorityWeight
	PriorityWeight float64
	LateValue      float64 // share of PriorityWeight earned by a response after Objective
	Latency        *latency.Estimator
	Traffic        *Traffic // kept when the settings of the class change
}

// Traffic holds the counts of a class, which decay with each request.
type Traffic struct {
	arrivals float64
	onTime   float64 // responses within the latency objective
}

// ObserveOnTime counts a response within the latency objective.
func (t *Traffic) ObserveOnTime() { t.onTime++ }

// Priorities holds the classes and weights of the current settings, from which priorities are computed.
type Priorities struct {
	TotalWeight      float64  // weight of the served share of all priority weight
	WorstClassWeight float64  // weight of the on-time share of the worst-served class
	Classes          []*Class // all classes
}

// observeArrival counts a request of a class.
func (p *Priorities) observeArrival(c *Class) {
	for _, class := range p.Classes {
		class.Traffic.arrivals *= countDecay
		class.Traffic.onTime *= countDecay
	}
	c.Traffic.arrivals++
}

// limitShare returns the share of the concurrency limit that a request may use, by its priority relative to
// the other classes: the more load is shed, the more capacity is reserved for the highest priority. The queue
// alone can't do that, as it holds a request only for a short time and, at a replica with little traffic,
// seldom holds two at once. No class loses more than half of the limit, so that none starves.
func (p *Priorities) limitShare(c *Class, retry bool, shed float64) float64 {
	var sum, arrivals float64
	for _, class := range p.Classes {
		sum += class.Traffic.arrivals * p.priority(class, false)
		arrivals += class.Traffic.arrivals
	}
	share := 1 + shed*(p.priority(c, retry)*arrivals/max(sum, minDivisor)-1)
	return min(maxLimitShare, max(minLimitShare, share))
}

// priority returns the value of a response of the class per unit of time that it takes, so that the most
// valuable requests are shed least. The worst-served class gets extra weight, so that none starves. The
// latency objective of a retry by a client runs from its first attempt and is mostly used up.
func (p *Priorities) priority(c *Class, retry bool) float64 {
	var total float64
	worst := c
	for _, class := range p.Classes {
		total += class.PriorityWeight * class.Traffic.arrivals
		if class.Traffic.arrivals > 1 && class.hasLowerOnTimeShare(worst) {
			worst = class
		}
	}
	value := p.TotalWeight * c.PriorityWeight / max(total, minDivisor)
	if worst == c {
		value += p.WorstClassWeight / max(c.Traffic.arrivals, minDivisor)
	}
	if retry {
		value *= c.LateValue
	}
	return value / c.Latency.Mean()
}

// hasLowerOnTimeShare reports whether a smaller share of the class's requests than of the other's is answered
// in time.
func (c *Class) hasLowerOnTimeShare(other *Class) bool {
	return c.Traffic.onTime*other.Traffic.arrivals < other.Traffic.onTime*c.Traffic.arrivals
}
