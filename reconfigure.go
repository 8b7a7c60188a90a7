// What follows from new settings: which promises stay, and what learned under the old ones holds on.

package balancer

import (
	"cmp"
	"maps"
	"slices"
)

// applySettings puts settings in force. A class that the settings before them had, too, keeps what was
// learned of it.
func (b *Balancer) applySettings(set Settings) {
	old := b.classes
	b.settings, b.classes, b.classOrder = set, map[string]*class{}, nil
	b.ready.setZone(set.Zone)
	odd := slices.MaxFunc(set.Classes, func(a, b Class) int { return cmp.Compare(a.Deadline, b.Deadline) })
	unknown := Class{ // not idempotent
		LatencyObjective: odd.LatencyObjective,
		Deadline:         odd.Deadline,
		PriorityWeight:   odd.PriorityWeight,
	}
	for _, c := range append(slices.Clone(set.Classes), unknown) {
		objective := float64(c.LatencyObjective)
		k := &class{c, &classStats{mean: objective / 4, deviation: objective / 8, base: objective / 4}}
		if was := old[c.Name]; was != nil {
			if k.classStats = was.classStats; was.Deadline != c.Deadline {
				k.timeoutVotes = 0 // the time that is usual was a part of that
			}
		}
		b.classes[c.Name] = k
		b.classOrder = append(b.classOrder, k)
	}
}

// reconfigure takes over new settings. Requests hold the class that they came with, so what their clients
// were promised stays; the servers' health, warmth and counts do not depend on settings. The pool is cut anew
// only if this node's place among the copies is another, and held requests are looked at again.
func (b *Balancer) reconfigure(set Settings) {
	if set.Validate() != nil {
		return
	}
	old := b.settings
	set.PollDiscovery = old.PollDiscovery // the host subscribes, or not, for its life
	b.applySettings(set)
	b.slowStart.basis.known = false
	if set.Replicas != old.Replicas || set.ReplicaIndex != old.ReplicaIndex || set.Zone != old.Zone ||
		set.ZoneCount != old.ZoneCount {
		b.subset.size = 0
	}
	for _, ep := range b.endpoints { // what is still out of a class that has gone may bring its share back
		maps.DeleteFunc(ep.failures, func(l *classStats, _ failureRate) bool {
			return !slices.ContainsFunc(b.classOrder, func(k *class) bool { return k.classStats == l })
		})
	}
	for _, req := range slices.Clone(b.queue) {
		b.enqueue(req)
	}
	b.dispatchQueued()
}
