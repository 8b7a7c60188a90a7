// The pick of one of two endpoints: d-left hashing (Vöcking, "How Asymmetry Helps Load Balancing";
// Mitzenmacher and Vöcking, "The Asymptotics of Selecting the Shortest of Two, Improved").

package balancer

import "basaltdrum/balancer/internal/endpoints"

// maxCapacity is the listed capacity that counts: with an infinite weight no draw would take any endpoint.
const maxCapacity = 1e6

// pick draws one endpoint from each group, and the one with fewer requests in flight wins. Equal counts above
// zero go left; at zero the side is drawn by the groups' weights. Draws go by weight, which is equal as long
// as nothing distinguishes the endpoints. An empty group leaves the pick to the other.
func (b *Balancer) pick(left, right []*endpoints.Endpoint) *endpoints.Endpoint {
	first, firstWeight := b.draw(left)
	second, secondWeight := b.draw(right)
	switch {
	case second == nil || first != nil && first.Attempts.InFlight() < second.Attempts.InFlight():
		return first
	case first == nil || second.Attempts.InFlight() < first.Attempts.InFlight():
		return second
	case first.Attempts.InFlight() > 0 || b.rng.Float64()*(firstWeight+secondWeight) < firstWeight:
		return first
	}
	return second
}

// draw draws one endpoint of a group by weight (reservoir sampling), and returns the weight of the group.
func (b *Balancer) draw(group []*endpoints.Endpoint) (drawn *endpoints.Endpoint, total float64) {
	for _, ep := range group {
		weight := weight(ep)
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
func weight(ep *endpoints.Endpoint) float64 {
	weight := ep.Latency.Speed()
	if ep.Capacity > 0 {
		weight *= min(ep.Capacity, maxCapacity)
	}
	return weight
}

// choose picks an endpoint from the replica's subset and, when none there is eligible, from all; outliers
// come last. It returns nil when no endpoint is eligible.
func (b *Balancer) choose(req *request) *endpoints.Endpoint {
	if b.endpoints.ResizeSubset(b.admission.MeanInFlight()) {
		b.slowStart.ObserveSubsetChange()
	}
	subset, _ := b.endpoints.Subset()
	all := b.endpoints.Groups()
	for _, from := range []candidates{
		{groups: subset, excludeOutliers: true},
		{groups: all, excludeOutliers: true, warmingUp: true},
		{groups: all, warmingUp: true},
	} {
		if ep := b.chooseFrom(from, req); ep != nil {
			return ep
		}
	}
	return nil
}
