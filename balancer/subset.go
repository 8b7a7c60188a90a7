// Deterministic subsetting (SRE book, "Load Balancing in the Datacenter"): the part of the endpoint list that
// one replica draws from.

package balancer

import "math"

// Constants of the subset.
const (
	leftShare              = 0.5  // share of the list in the left group
	minSubset              = 3    // endpoints in a subset, so that a few may be lost
	subsetPerInFlight      = 1.5  // endpoints in a subset for each request in flight
	minReplicasPerEndpoint = 2    // replicas that have the same endpoint in their subsets
	subsetHeadroom         = 1.25 // ratio of a new subset's size to what is needed
	shrinkRatio            = 3    // size to what is needed from which a subset is made smaller
)

// groupPair is the left and the right group of the pick, or a part of each.
type groupPair struct{ left, right []*endpoint }

// subset is the groups of all ready endpoints, and the part of each that this replica draws from.
type subset struct {
	all, own groupPair
	size     int // endpoints in own, but for rounding; 0: to be made anew
}

// cut cuts the list of ready endpoints into the two groups; the subset is to be made anew.
func (s *subset) cut(ready []*endpoint) {
	left := int(math.Ceil(leftShare * float64(len(ready))))
	s.all = groupPair{ready[:left], ready[left:]}
	s.size = 0
}

// fits says that the subset may stay as it is. It shrinks only by much, so that it rarely changes.
func (s *subset) fits(needed float64) bool {
	size := float64(s.size)
	return size > 0 && needed <= size && needed > size/shrinkRatio
}

// resizeSubset makes the subset anew where its size no longer fits. From each group it takes a run of the
// order that all replicas share, from this replica's position on, so that all subsets together cover the
// groups evenly. With the whole list, one replica of many meets each endpoint too seldom to find the slow and
// the unresponsive ones, and connections grow with replicas times endpoints. A replica with many requests in
// flight takes a larger subset: its counts say more, and its traffic would be too much for a few endpoints.
//
// Endpoints of the replica's own zone come first. When a zone is lost, discovery tells it seconds later, and
// until then each replica would have to learn of each of its endpoints by requests that hang, at every tier
// that a request passes. This hurts where a zone's replicas need more than its endpoints can carry.
func (b *Balancer) resizeSubset() {
	shared := minReplicasPerEndpoint * b.endpointsPerReplica()
	needed := max(minSubset, subsetPerInFlight*b.admission.MeanInFlight(), shared)
	if b.subset.fits(needed) {
		return
	}
	b.subset.size = int(math.Ceil(min(subsetHeadroom*needed, float64(b.ready.len()))))
	left, right := b.ready.split(len(b.subset.all.left))
	b.subset.own = groupPair{b.subsetPart(left), b.subsetPart(right)}
	b.ready.markSubset(b.subset.own)
	b.slowStart.ObserveSubsetChange()
}

// endpointsPerReplica returns how many endpoints there are for each replica of this tier.
func (b *Balancer) endpointsPerReplica() float64 {
	return float64(b.ready.len()) / float64(max(1, b.settings.Replicas))
}

// subsetPart returns a group's part of the subset, the endpoints of the replica's own zone first.
func (b *Balancer) subsetPart(group zoneSplit) []*endpoint {
	all := len(group.own) + len(group.others)
	size := math.Ceil(float64(b.subset.size) * float64(all) / float64(max(b.ready.len(), 1)))
	part := make([]*endpoint, 0, min(int(size), all))
	return b.appendFromPosition(b.appendFromPosition(part, group.own), group.others)
}

// appendFromPosition appends endpoints from the replica's position on, around the end, as long as part has
// capacity. The replicas of one zone may be numbered in a row: a position that goes round as often as there
// are zones spreads them.
func (b *Balancer) appendFromPosition(part, from []*endpoint) []*endpoint {
	rounds := max(1, b.settings.ZoneCount)
	start := b.settings.ReplicaIndex * rounds * len(from) / max(1, b.settings.Replicas)
	for i := range min(len(from), cap(part)-len(part)) {
		part = append(part, from[(start+i)%len(from)])
	}
	return part
}
