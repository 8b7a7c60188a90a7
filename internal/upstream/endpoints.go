package upstream

import (
	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
)

// isReady reports whether the list has an endpoint as ready, in the same instance. The caller holds mu.
func (p *Pool) isReady(to endpointlist.Instance) bool {
	entry, listed := p.endpoints[to.UID]
	return listed && entry.State == balancer.Ready && entry.Instance() == to
}

// UpdateEndpoints applies an update of the endpoint list, and closes idle connections to endpoints that were
// removed, that drain or that have restarted. Of an incremental update only the named entries are visited, as
// updates of a long list are frequent.
func (p *Pool) UpdateEndpoints(entries []endpointlist.Entry, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range entries {
		p.applyEntry(entry)
	}
	if complete {
		p.removeUnlisted(entries)
	}
}

// applyEntry applies one entry of an endpoint list. The caller holds mu.
func (p *Pool) applyEntry(entry endpointlist.Entry) {
	previous, known := p.endpoints[entry.ID]
	if known && (entry.State != balancer.Ready || entry.Instance() != previous.Instance()) {
		p.closeIdle(previous.Instance())
	}
	if entry.State == balancer.Removed {
		delete(p.endpoints, entry.ID)
	} else {
		p.endpoints[entry.ID] = entry
	}
}

// removeUnlisted removes the endpoints that a complete list does not name. The caller holds mu.
func (p *Pool) removeUnlisted(entries []endpointlist.Entry) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for id, entry := range p.endpoints {
		if !listed[id] {
			p.closeIdle(entry.Instance())
			delete(p.endpoints, id)
		}
	}
}
