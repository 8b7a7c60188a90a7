package endpoints

import "math"

// Constants of the subset.
const (
	leftShare              = 0.5  // share of the list in the left group
	minSubsetSize          = 3    // endpoints in a subset, so that it can lose a few
	subsetPerInFlight      = 1.5  // endpoints in a subset for each request in flight
	minReplicasPerEndpoint = 2    // replicas that have the same endpoint in their subsets
	subsetHeadroom         = 1.25 // ratio of a new subset's size to the size needed
	shrinkRatio            = 3    // ratio of the size to the size needed from which a subset is reduced
)

// Placement is the position of this replica among those that share the endpoint list.
type Placement struct {
	Zone      string
	ZoneCount int
	Replicas  int
	Index     int // this replica's index, from 0
}

// endpointsPerReplica returns the number of endpoints for each replica.
func (p *Placement) endpointsPerReplica(endpoints int) float64 {
	return float64(endpoints) / float64(max(1, p.Replicas))
}

// Groups holds the left and the right group that endpoints are chosen from, or a part of each.
type Groups struct{ Left, Right []*Endpoint }

// subset holds the groups of all ready endpoints, and the part of each group that this replica uses.
type subset struct {
	all, own Groups
	size     int // endpoints in own, up to rounding; 0: must be rebuilt
}

// setGroups divides the ready endpoints into the two groups and invalidates the subset.
func (s *subset) setGroups(ready []*Endpoint) {
	left := int(math.Ceil(leftShare * float64(len(ready))))
	s.all = Groups{ready[:left], ready[left:]}
	s.invalidate()
}

// invalidate makes the next resize rebuild the subset.
func (s *subset) invalidate() { s.size = 0 }

// fits reports whether the subset can be kept. It is reduced only if it is much too large, so it rarely
// changes.
func (s *subset) fits(needed float64) bool {
	size := float64(s.size)
	return size > 0 && needed <= size && needed > size/shrinkRatio
}

// resize rebuilds the subset if its size no longer fits, and reports whether it did. From each group it takes
// consecutive endpoints in the order that all replicas share, starting at this replica's position, so that
// the subsets of all replicas cover the groups evenly. If each replica used the whole list, one of many
// replicas would send to each endpoint too seldom to detect slow and unresponsive ones, and the number of
// connections would grow with replicas times endpoints. A replica with many requests in flight uses a larger
// subset: its counts carry more information, and its traffic would be too much for a few endpoints.
//
// Endpoints of the replica's own zone come first. When a zone is lost, discovery reports it seconds later.
// Until then each replica with a subset of several zones would have to detect each lost endpoint by requests
// that hang, at every tier that a request passes. This order is a disadvantage if the replicas of a zone need
// more capacity than its endpoints have.
func (s *subset) resize(ready *readySet, placement *Placement, meanInFlight float64) bool {
	shared := minReplicasPerEndpoint * placement.endpointsPerReplica(ready.len())
	needed := max(minSubsetSize, subsetPerInFlight*meanInFlight, shared)
	if s.fits(needed) {
		return false
	}
	s.size = int(math.Ceil(min(subsetHeadroom*needed, float64(ready.len()))))
	left, right := ready.split(len(s.all.Left))
	s.own = Groups{s.partOfGroup(left, ready.len(), placement), s.partOfGroup(right, ready.len(), placement)}
	ready.markSubset(s.own)
	return true
}

// partOfGroup returns the subset's part of a group, with the endpoints of the replica's own zone first.
func (s *subset) partOfGroup(group zoneSplit, ready int, placement *Placement) []*Endpoint {
	all := group.len()
	size := math.Ceil(float64(s.size) * float64(all) / float64(max(ready, 1)))
	part := make([]*Endpoint, 0, min(int(size), all))
	return placement.appendFrom(placement.appendFrom(part, group.own), group.others)
}

// appendFrom appends endpoints starting at the replica's position, wrapping around at the end, as long as
// part has capacity. The replicas of one zone may be numbered consecutively: a position that wraps around
// once per zone spreads them evenly.
func (p *Placement) appendFrom(part, from []*Endpoint) []*Endpoint {
	rounds := max(1, p.ZoneCount)
	start := p.Index * rounds * len(from) / max(1, p.Replicas)
	for i := range min(len(from), cap(part)-len(part)) {
		part = append(part, from[(start+i)%len(from)])
	}
	return part
}
