// The pick of one of two endpoints: d-left hashing (Vöcking, "How Asymmetry Helps Load Balancing";
// Mitzenmacher and Vöcking, "The Asymptotics of Selecting the Shortest of Two, Improved").

package balancer

// maxCapacity is the listed capacity that counts: with an infinite weight no draw would take any endpoint.
const maxCapacity = 1e6

// pick draws one endpoint from each group, and the one with fewer requests in flight wins. Equal counts above
// zero go left; at zero the side is drawn by the groups' weights. Draws go by weight, which is equal as long
// as nothing distinguishes the endpoints. An empty group leaves the pick to the other.
func (b *Balancer) pick(left, right []*endpoint) *endpoint {
	first, firstWeight := b.draw(left)
	second, secondWeight := b.draw(right)
	switch {
	case second == nil || first != nil && first.attempts.InFlight() < second.attempts.InFlight():
		return first
	case first == nil || second.attempts.InFlight() < first.attempts.InFlight():
		return second
	case first.attempts.InFlight() > 0 || b.rng.Float64()*(firstWeight+secondWeight) < firstWeight:
		return first
	}
	return second
}

// draw draws one endpoint of a group by weight (reservoir sampling), and returns the weight of the group.
func (b *Balancer) draw(group []*endpoint) (drawn *endpoint, total float64) {
	for _, ep := range group {
		weight := ep.weight()
		total += weight
		if b.rng.Float64()*total < weight {
			drawn = ep
		}
	}
	return drawn, total
}

// weight returns what an endpoint can carry against the others: its listed capacity, corrected by its
// relative latency. Equal draws among unequal endpoints overload the slow ones at loads that all together
// could carry, and one replica's counts are too small to show it. One replica's samples are few, too, but the
// errors of many replicas cancel out.
func (ep *endpoint) weight() float64 {
	weight := ep.latency.Speed()
	if ep.Capacity > 0 {
		weight *= min(ep.Capacity, maxCapacity)
	}
	return weight
}

// choose picks an endpoint from the replica's subset and, when none there is eligible, from all; outliers
// come last. It returns nil when no endpoint is eligible.
func (b *Balancer) choose(req *request) *endpoint {
	b.resizeSubset()
	for _, from := range []candidates{
		{groups: b.subset.own, excludeOutliers: true},
		{groups: b.subset.all, excludeOutliers: true, warmingUp: true},
		{groups: b.subset.all, warmingUp: true},
	} {
		if ep := b.chooseFrom(from, req); ep != nil {
			return ep
		}
	}
	return nil
}
