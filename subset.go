// Deterministic subsetting: the part of the endpoint list that one copy draws from.

package balancer

import (
	"math"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	alpha       = 0.5 // share of the list in the left group
	poolLeast   = 3   // servers that any node draws from, so that a few may be lost
	poolPerCall = 1.5 // servers drawn from for each own call in flight
	poolOverlap = 2   // nodes that draw from the same server at least
)

// groups are the left and the right group, or a part of each.
type groups struct{ left, right []*server }

// fitPool cuts the node's pool from each group: a run of the shared order that starts at the node's
// place among the copies, so that all pools together cover the groups evenly. Over the whole list a
// node of many meets each server too seldom to tell the slow and the silent, and connections grow
// with nodes times servers. A busy node takes a wider pool: its counts tell more, and its traffic
// would be too much for a few. Only halving shrinks it, so that it keeps still.
//
// The run takes the servers of the node's own zone first. When a zone is lost, discovery tells seconds
// later, and until then each node would have to learn of each of its servers by calls that hang, at
// every tier that a request passes. It hurts where a zone's nodes ask for more than its servers carry.
func (b *Balancer) fitPool() {
	n := float64(b.ready.len())
	want := max(poolLeast, poolPerCall*b.busy, poolOverlap*b.fairServers())
	if b.width > 0 && want <= float64(b.width) && want > float64(b.width)/3 {
		return
	}
	b.width = int(math.Ceil(min(1.25*want, n)))
	left, right := b.ready.split(len(b.whole.left))
	b.pool = groups{b.poolPart(left), b.poolPart(right)}
	b.ready.markPool(b.pool)
	b.creditGrowth.known = false
}

// poolPart takes a group's part of the pool, the servers of the node's own zone first.
func (b *Balancer) poolPart(group zoneSplit) []*server {
	all := len(group.own) + len(group.others)
	size := math.Ceil(float64(b.width) * float64(all) / float64(max(b.ready.len(), 1)))
	part := make([]*server, 0, min(int(size), all))
	return b.fill(b.fill(part, group.own), group.others)
}

// fill appends servers from the node's place on, around the end, as long as the part has capacity. The copies
// of one zone may be numbered in a row: a place that goes round as often as there are zones spreads them.
func (b *Balancer) fill(part, from []*server) []*server {
	start := b.set.ReplicaIndex * max(1, b.set.ZoneCount) * len(from) / max(1, b.set.Replicas)
	for i := range min(len(from), cap(part)-len(part)) {
		part = append(part, from[(start+i)%len(from)])
	}
	return part
}
