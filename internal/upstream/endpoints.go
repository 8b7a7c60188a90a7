package upstream

import (
	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
)

// endpointTable holds the parts of the endpoint list that a pool needs: the listed endpoints by uid, each with its
// instance and state. The caller holds Pool.mu.
type endpointTable map[string]endpointlist.Entry

// isReady reports whether an instance of an endpoint is listed and ready.
func (t endpointTable) isReady(instance endpointlist.Instance) bool {
	entry, listed := t[instance.UID]
	return listed && entry.State == balancer.Ready && entry.Instance() == instance
}

// apply applies an update of the endpoint list, and calls onUnready for each instance that is no longer ready because
// its endpoint was removed, drains or has restarted. For an incremental update it visits only the listed entries, as
// updates of a long list are frequent.
func (t endpointTable) apply(entries []endpointlist.Entry, complete bool, onUnready func(endpointlist.Instance)) {
	for _, entry := range entries {
		previous, listed := t[entry.ID]
		if listed && (entry.State != balancer.Ready || entry.Instance() != previous.Instance()) {
			onUnready(previous.Instance())
		}
		if entry.State == balancer.Removed {
			delete(t, entry.ID)
		} else {
			t[entry.ID] = entry
		}
	}
	if complete {
		t.removeUnlisted(entries, onUnready)
	}
}

// removeUnlisted removes the endpoints that a complete list does not contain, and calls onUnready for their instances.
func (t endpointTable) removeUnlisted(entries []endpointlist.Entry, onUnready func(endpointlist.Instance)) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for id, entry := range t {
		if !listed[id] {
			onUnready(entry.Instance())
			delete(t, id)
		}
	}
}
