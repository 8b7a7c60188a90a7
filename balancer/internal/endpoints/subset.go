package endpoints

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

// Placement is this replica's place among those that share the endpoint list.
type Placement struct {
	Zone      string
	ZoneCount int
	Replicas  int
	Index     int // this replica's number among them, from 0
}

// perReplica returns how many endpoints there are for each replica.
func (p *Placement) perReplica(endpoints int) float64 {
	return float64(endpoints) / float64(max(1, p.Replicas))
}

// Groups is the left and the right group of the pick, or a part of each.
type Groups struct{ Left, Right []*Endpoint }

// subset is the groups of all ready endpoints, and the part of each that this replica draws from.
type subset struct {
	all, own Groups
	size     int // endpoints in own, but for rounding; 0: to be made anew
}

// cut cuts the list of ready endpoints into the two groups; the subset is to be made anew.
func (s *subset) cut(ready []*Endpoint) {
	left := int(math.Ceil(leftShare * float64(len(ready))))
	s.all = Groups{ready[:left], ready[left:]}
	s.invalidate()
}

// invalidate has the subset made anew.
func (s *subset) invalidate() { s.size = 0 }

// fits says that the subset may stay as it is. It shrinks only by much, so that it rarely changes.
func (s *subset) fits(needed float64) bool {
	size := float64(s.size)
	return size > 0 && needed <= size && needed > size/shrinkRatio
}

// resize makes the subset anew where its size no longer fits, and says whether it did. From each group
// it takes a run of the order that all replicas share, from this replica's position on, so that all subsets
// together cover the groups evenly. With the whole list, one replica of many meets each endpoint too seldom
// to find the slow and the unresponsive ones, and connections grow with replicas times endpoints. A replica
// with many requests in flight takes a larger subset: its counts say more, and its traffic would be too much
// for a few endpoints.
//
// Endpoints of the replica's own zone come first. When a zone is lost, discovery reports it seconds later,
// and until then each replica would have to learn of each of its endpoints by requests that hang, at every
// tier that a request passes. This hurts where a zone's replicas need more than its endpoints can carry.
func (s *subset) resize(ready *readySet, placement *Placement, meanInFlight float64) bool {
	shared := minReplicasPerEndpoint * placement.perReplica(ready.len())
	needed := max(minSubset, subsetPerInFlight*meanInFlight, shared)
	if s.fits(needed) {
		return false
	}
	s.size = int(math.Ceil(min(subsetHeadroom*needed, float64(ready.len()))))
	left, right := ready.split(len(s.all.Left))
	s.own = Groups{s.part(left, ready.len(), placement), s.part(right, ready.len(), placement)}
	ready.markSubset(s.own)
	return true
}

// part returns a group's part of the subset, the endpoints of the replica's own zone first.
func (s *subset) part(group zoneSplit, ready int, placement *Placement) []*Endpoint {
	all := group.len()
	size := math.Ceil(float64(s.size) * float64(all) / float64(max(ready, 1)))
	part := make([]*Endpoint, 0, min(int(size), all))
	return placement.appendFrom(placement.appendFrom(part, group.own), group.others)
}

// appendFrom appends endpoints from the replica's position on, around the end, as long as part has capacity.
// The replicas of one zone may be numbered in a row: a position that goes round as often as there are zones
// spreads them.
func (p *Placement) appendFrom(part, from []*Endpoint) []*Endpoint {
	rounds := max(1, p.ZoneCount)
	start := p.Index * rounds * len(from) / max(1, p.Replicas)
	for i := range min(len(from), cap(part)-len(part)) {
		part = append(part, from[(start+i)%len(from)])
	}
	return part
}
