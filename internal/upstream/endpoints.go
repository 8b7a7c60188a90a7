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

// apply applies an update of the endpoint list, and calls unready for each instance that is not ready any more: its
// endpoint was removed, drains or has restarted. Of an incremental update only the named entries are visited, as
// updates of a long list are frequent.
func (t endpointTable) apply(entries []endpointlist.Entry, complete bool, unready func(endpointlist.Instance)) {
	for _, entry := range entries {
		previous, known := t[entry.ID]
		if known && (entry.State != balancer.Ready || entry.Instance() != previous.Instance()) {
			unready(previous.Instance())
		}
		if entry.State == balancer.Removed {
			delete(t, entry.ID)
		} else {
			t[entry.ID] = entry
		}
	}
	if complete {
		t.removeUnlisted(entries, unready)
	}
}

// removeUnlisted removes the endpoints that a complete list does not name, and calls unready for their instances.
func (t endpointTable) removeUnlisted(entries []endpointlist.Entry, unready func(endpointlist.Instance)) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for id, entry := range t {
		if !listed[id] {
			unready(entry.Instance())
			delete(t, id)
		}
	}
}
