// What follows from new settings: which promises stay, and what learned under the old ones holds on.

package balancer

import (
	"cmp"
	"maps"
	"slices"
)

// take puts settings in force. A class that the settings before them had, too, keeps what was learned of it.
func (b *Balancer) take(set Settings) {
	old := b.classes
	b.set, b.classes, b.order = set, map[string]*class{}, nil
	b.ready.setZone(set.Zone)
	odd := slices.MaxFunc(set.Classes, func(a, b Class) int { return cmp.Compare(a.Deadline, b.Deadline) })
	unknown := Class{ // not idempotent
		LatencyObjective: odd.LatencyObjective,
		Deadline:         odd.Deadline,
		PriorityWeight:   odd.PriorityWeight,
	}
	for _, c := range append(slices.Clone(set.Classes), unknown) {
		objective := float64(c.LatencyObjective)
		k := &class{c, &learned{mean: objective / 4, dev: objective / 8, base: objective / 4}}
		if was := old[c.Name]; was != nil {
			if k.learned = was.learned; was.Deadline != c.Deadline {
				k.votes = 0 // the time that is usual was a part of that
			}
		}
		b.classes[c.Name] = k
		b.order = append(b.order, k)
	}
}

// reconfigure takes over new settings. Requests hold the class that they came with, so what their clients
// were promised stays; the servers' health, warmth and counts do not depend on settings. The pool is cut anew
// only if this node's place among the copies is another, and held requests are looked at again.
func (b *Balancer) reconfigure(set Settings) {
	if set.Validate() != nil {
		return
	}
	old := b.set
	set.PollDiscovery = old.PollDiscovery // the host subscribes, or not, for its life
	b.take(set)
	b.creditGrowth.known = false
	if set.Replicas != old.Replicas || set.ReplicaIndex != old.ReplicaIndex || set.Zone != old.Zone ||
		set.ZoneCount != old.ZoneCount {
		b.width = 0
	}
	for _, s := range b.servers { // what is still out of a class that has gone may bring its share back
		maps.DeleteFunc(s.failing, func(l *learned, _ fading) bool {
			return !slices.ContainsFunc(b.order, func(k *class) bool { return k.learned == l })
		})
	}
	for _, r := range slices.Clone(b.held) {
		b.hold(r)
	}
	b.release()
}
