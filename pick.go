// The pick of one of two servers (d-left hashing).

package balancer

import (
	"math"
)

// pick is the design's rule: one server drawn from each group, the fewer own calls win, equal
// counts above zero go left, and at zero the side is drawn by the groups' shares. Draws and shares
// go by weight, which is alike for all while nothing tells the servers apart.
// An empty group leaves the draw to the other.
func (b *Balancer) pick(left, right []*endpoint) *endpoint {
	first, firstWeight := b.draw(left)
	second, secondWeight := b.draw(right)
	switch {
	case second == nil || first != nil && first.inFlight < second.inFlight:
		return first
	case first == nil || second.inFlight < first.inFlight:
		return second
	case first.inFlight > 0 || b.rng.Float64()*(firstWeight+secondWeight) < firstWeight:
		return first
	}
	return second
}

// draw takes one server by weight and tells the weight of its group.
func (b *Balancer) draw(group []*endpoint) (pick *endpoint, total float64) {
	for _, ep := range group {
		w := b.weight(ep)
		total += w
		if b.rng.Float64()*total < w {
			pick = ep
		}
	}
	return pick, total
}

// weight is what a server can carry against its peers: its listed size, corrected by how its
// latency stands to theirs. Uniform draws over unequal servers crowd the slow ones at loads that
// the fleet could carry, and a node's own counts are too small to show it. One node's samples are
// few, but the errors of many nodes cancel out.
func (b *Balancer) weight(ep *endpoint) float64 {
	w := math.Exp(-max(ep.latency.logRatio, -1))
	if ep.Capacity > 0 {
		w *= min(ep.Capacity, 1e6) // an infinite weight would draw nobody
	}
	return w
}

// choose draws from the node's pool and, when nobody there may be drawn, from the whole groups; those
// that fail more than others come last.
func (b *Balancer) choose(req *request) *endpoint {
	b.resizeSubset()
	for step, g := range []groupPair{b.subset, b.groups, b.groups} {
		if ep := b.chooseAmong(g, req, step > 0, step < 2); ep != nil {
			return ep
		}
	}
	return nil
}
