// Load shedding by priority: which requests may use the concurrency limit when not all can (SRE book,
// "Handling Overload": criticality; priorities are weights here).

package balancer

// sheddingWeight is the weight of one request in the share of load that is shed.
const sheddingWeight = averageWeight / 4

// sheddingRate is the share of requests that are answered without an attempt, an exponentially weighted
// average.
type sheddingRate struct{ share float64 }

func (s *sheddingRate) admitted() { s.share -= sheddingWeight * s.share }

func (s *sheddingRate) shed() { s.share += sheddingWeight * (1 - s.share) }

// limitShare returns the part of the concurrency limit that a request may use, by its priority against the
// others': the more load is shed, the more capacity is kept for the highest priority. The queue alone keeps a
// request too short a time for that, since at a replica of little traffic seldom two wait at once. No class
// loses more than half of the limit, so that none starves.
func (b *Balancer) limitShare(req *request) float64 {
	var sum, arrivals float64
	for _, c := range b.classes.ordered {
		sum += c.arrivals * b.classPriority(c, false)
		arrivals += c.arrivals
	}
	return min(2, max(0.5, 1+b.shedding.share*(b.priority(req)*arrivals/max(sum, 1e-9)-1)))
}

func (b *Balancer) priority(req *request) float64 { return b.classPriority(req.class, req.retry) }

// classPriority returns what an answer in a class is worth for the time it takes, so that what is worth most
// is shed least; the class that is served worst counts extra, so that none starves. The latency objective of
// a client's retry runs from its first attempt and is mostly used up.
func (b *Balancer) classPriority(c *class, retry bool) float64 {
	var total float64
	worst := c
	for _, k := range b.classes.ordered {
		total += k.PriorityWeight * k.arrivals
		if k.arrivals > 1 && k.served*worst.arrivals < worst.served*k.arrivals {
			worst = k
		}
	}
	value := b.settings.TotalWeight * c.PriorityWeight / max(total, 1e-9)
	if worst == c {
		value += b.settings.WorstClassWeight / max(c.arrivals, 1e-9)
	}
	if retry {
		value *= c.LateValue
	}
	return value / c.latency.Mean()
}

// dispatchQueued sends requests from the queue while there is capacity, the highest priority first.
func (b *Balancer) dispatchQueued() {
	for tries := len(b.queue); tries > 0 && len(b.queue) > 0; tries-- {
		best := b.queue[0]
		for _, req := range b.queue[1:] {
			if b.priority(req) >= b.priority(best) { // equal: the youngest has most time left
				best = req
			}
		}
		if b.atCapacity(best) {
			return
		}
		ep := b.choose(best)
		if ep == nil {
			return
		}
		b.send(best, ep)
	}
}
