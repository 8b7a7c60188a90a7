// Deterministic subsetting: the part of the endpoint list that one copy draws from.

package balancer

import (
	"math"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	leftShare              = 0.5 // share of the list in the left group
	minSubset              = 3   // servers that any node draws from, so that a few may be lost
	subsetPerInFlight      = 1.5 // servers drawn from for each own call in flight
	minReplicasPerEndpoint = 2   // nodes that draw from the same server at least
)

// groupPair are the left and the right group, or a part of each.
type groupPair struct{ left, right []*endpoint }

// resizeSubset cuts the node's pool from each group: a run of the shared order that starts at the node's
// place among the copies, so that all pools together cover the groups evenly. Over the whole list a
// node of many meets each server too seldom to tell the slow and the silent, and connections grow
// with nodes times servers. A busy node takes a wider pool: its counts tell more, and its traffic
// would be too much for a few. Only halving shrinks it, so that it keeps still.
//
// The run takes the servers of the node's own zone first. When a zone is lost, discovery tells seconds
// later, and until then each node would have to learn of each of its servers by calls that hang, at
// every tier that a request passes. It hurts where a zone's nodes ask for more than its servers carry.
func (b *Balancer) resizeSubset() {
	n := float64(b.ready.len())
	want := max(minSubset, subsetPerInFlight*b.inFlight.mean, minReplicasPerEndpoint*b.endpointsPerReplica())
	if b.subsetSize > 0 && want <= float64(b.subsetSize) && want > float64(b.subsetSize)/3 {
		return
	}
	b.subsetSize = int(math.Ceil(min(1.25*want, n)))
	left, right := b.ready.split(len(b.groups.left))
	b.subset = groupPair{b.subsetPart(left), b.subsetPart(right)}
	b.ready.markSubset(b.subset)
	b.fillBasis.known = false
}

// subsetPart takes a group's part of the pool, the servers of the node's own zone first.
func (b *Balancer) subsetPart(group zoneSplit) []*endpoint {
	all := len(group.own) + len(group.others)
	size := math.Ceil(float64(b.subsetSize) * float64(all) / float64(max(b.ready.len(), 1)))
	part := make([]*endpoint, 0, min(int(size), all))
	return b.appendRotated(b.appendRotated(part, group.own), group.others)
}

// appendRotated appends servers from the node's place on, around the end, as long as the part has capacity.
// The copies
// of one zone may be numbered in a row: a place that goes round as often as there are zones spreads them.
func (b *Balancer) appendRotated(part, from []*endpoint) []*endpoint {
	start := b.settings.ReplicaIndex * max(1, b.settings.ZoneCount) * len(from) / max(1, b.settings.Replicas)
	for i := range min(len(from), cap(part)-len(part)) {
		part = append(part, from[(start+i)%len(from)])
	}
	return part
}
