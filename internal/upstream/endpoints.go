package upstream

import (
	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
)

// endpointTable is the endpoint list as far as a pool needs it: the listed endpoints by uid, each in one instance and
// state. The caller holds Pool.mu.
type endpointTable map[string]endpointlist.Entry

// isReady reports whether the list has an endpoint as ready, in the same instance.
func (t endpointTable) isReady(to endpointlist.Instance) bool {
	entry, listed := t[to.UID]
	return listed && entry.State == balancer.Ready && entry.Instance() == to
}

// apply applies an update of the endpoint list, and returns the instances that are not ready any more: their
// endpoints were removed, drain or have restarted. Of an incremental update only the named entries are visited, as
// updates of a long list are frequent.
func (t endpointTable) apply(entries []endpointlist.Entry, complete bool) []endpointlist.Instance {
	var unready []endpointlist.Instance
	for _, entry := range entries {
		previous, known := t[entry.ID]
		if known && (entry.State != balancer.Ready || entry.Instance() != previous.Instance()) {
			unready = append(unready, previous.Instance())
		}
		if entry.State == balancer.Removed {
			delete(t, entry.ID)
		} else {
			t[entry.ID] = entry
		}
	}
	if complete {
		unready = append(unready, t.removeUnlisted(entries)...)
	}
	return unready
}

// removeUnlisted removes the endpoints that a complete list does not name, and returns their instances.
func (t endpointTable) removeUnlisted(entries []endpointlist.Entry) []endpointlist.Instance {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	var removed []endpointlist.Instance
	for id, entry := range t {
		if !listed[id] {
			removed = append(removed, entry.Instance())
			delete(t, id)
		}
	}
	return removed
}
