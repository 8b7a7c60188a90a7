// The endpoint list: complete lists and changes of it, applied to the endpoints that are known.

package balancer

import (
	"basaltdrum/balancer/internal/latency"
	"basaltdrum/balancer/internal/outlier"
	"basaltdrum/balancer/internal/rejection"
	"basaltdrum/balancer/internal/slowstart"
	"basaltdrum/balancer/internal/unresponsive"
)

// endpoint is a listed endpoint, or one that left the list while attempts of this replica were in flight.
type endpoint struct {
	Endpoint
	listed   bool
	attempts unresponsive.Record // this replica's attempts in flight

	latency    latency.Relative
	health     outlier.Record
	rejections rejection.Record
	slowStart  slowstart.Record
	excluded   bool // for its health, from the pick for the request at hand
	inSubset   bool // in this replica's subset
}

// isReady says that an endpoint is listed and may be sent requests.
func (ep *endpoint) isReady() bool { return ep.listed && ep.State == Ready }

// updateEndpoints applies an update of the endpoint list and cuts the two groups anew. A list from the host's
// cache may be out of date, so a subscription is still wanted.
func (b *Balancer) updateEndpoints(e EndpointUpdate) {
	if e.Complete {
		b.replaceList(e.Endpoints)
	} else {
		b.applyChanges(e.Endpoints)
	}
	b.subset.cut(b.ready.all)
	b.admission.Start(b.endpointsPerReplica())
	if e.Cached {
		b.scheduleSubscribe()
	} else {
		b.subscription.Succeed()
	}
	b.dispatchQueued()
}

// applyChanges applies the changed entries of the endpoint list, one by one.
func (b *Balancer) applyChanges(entries []Endpoint) {
	for _, entry := range entries {
		b.applyChange(entry)
	}
	for _, entry := range entries { // at the end, as an endpoint may be named twice
		if ep := b.endpoints[entry.ID]; ep != nil {
			b.forgetEndpoint(ep)
		}
	}
}

// applyChange applies a changed entry, and moves its endpoint in the set of ready ones where it has to.
func (b *Balancer) applyChange(entry Endpoint) {
	ep := b.endpoints[entry.ID]
	wasReady := ep != nil && ep.isReady()
	stays := wasReady && ep.State == entry.State && ep.Zone == entry.Zone && ep.StartedAt == entry.StartedAt
	if wasReady && !stays {
		b.ready.remove(ep)
	}
	ep = b.updateEntry(entry)
	if ep.isReady() && !stays {
		b.ready.insert(ep)
	}
}

// replaceList applies a complete endpoint list: an endpoint that it does not name is removed.
func (b *Balancer) replaceList(entries []Endpoint) {
	for _, ep := range b.endpoints {
		ep.listed = false
	}
	for _, entry := range entries {
		b.updateEntry(entry)
	}
	ready := make([]*endpoint, 0, len(entries))
	for _, entry := range entries {
		if ep := b.endpoints[entry.ID]; ep.isReady() {
			ready = append(ready, ep)
		}
	}
	b.ready.replace(ready)
	for _, ep := range b.endpoints {
		b.forgetEndpoint(ep)
	}
}

// updateEntry takes over an entry of the endpoint list. After a restart nothing is known of the endpoint.
func (b *Balancer) updateEntry(entry Endpoint) *endpoint {
	ep := b.endpoints[entry.ID]
	if ep == nil {
		ep = &endpoint{slowStart: slowstart.NewRecord(entry.StartedAt)}
		b.endpoints[entry.ID] = ep
	} else if ep.StartedAt != entry.StartedAt {
		*ep = endpoint{
			attempts: ep.attempts.AfterRestart(), slowStart: slowstart.NewRecord(entry.StartedAt),
		}
	}
	ep.Endpoint = entry
	ep.listed = entry.State != Removed
	return ep
}

// forgetEndpoint drops an endpoint that has left the list once no attempt at it is in flight.
func (b *Balancer) forgetEndpoint(ep *endpoint) {
	if !ep.listed && ep.attempts.InFlight() == 0 {
		delete(b.endpoints, ep.ID)
	}
}
