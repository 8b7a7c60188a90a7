// Shedding: which requests may fill the window when not all can.

package balancer

// limitShare is the part of the window that a request may fill, by its value against the others': the more
// is shed, the more room is kept for what is worth most. A hold alone is too short to wait for that, for
// at a node of few calls seldom two requests wait at once. No class loses more than half of the window,
// so that none starves.
func (b *Balancer) limitShare(req *request) float64 {
	var sum, n float64
	for _, c := range b.classOrder {
		sum += c.arrivals * b.priority(&request{class: c})
		n += c.arrivals
	}
	return min(2, max(0.5, 1+b.shedShare*(b.priority(req)*n/max(sum, 1e-9)-1)))
}

// priority is what an answer in a class adds to the result for the time it takes, so that shedding
// hits what is worth least; the class served worst counts extra, so none starves.
func (b *Balancer) priority(req *request) float64 {
	c := req.class
	var total float64
	worst := c
	for _, k := range b.classOrder {
		total += k.PriorityWeight * k.arrivals
		if k.arrivals > 1 && k.served*worst.arrivals < worst.served*k.arrivals {
			worst = k
		}
	}
	v := b.settings.TotalWeight * c.PriorityWeight / max(total, 1e-9)
	if worst == c {
		v += b.settings.WorstClassWeight / max(c.arrivals, 1e-9)
	}
	if req.retry { // its aim runs from the client's first try and is mostly over
		v *= c.LateValue
	}
	return v / c.mean
}

// dispatchQueued sends held requests while there is room, the most valuable first.
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
