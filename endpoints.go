// The endpoint list: complete lists and changes of it, applied to the servers that are known.

package balancer

import (
	"math"
	"time"
)

// endpoint is a listed server, or one that left with calls of ours still out.
type endpoint struct {
	Endpoint
	listed   bool
	inFlight int        // own calls in flight
	attempts []*attempt // the same calls in order of sending

	lastSuccess time.Duration
	latency     relativeLatency
	ejection    ejection
	rejections  rejections
	failures    failureRates
	tokens      tokenBucket // to send to it while it warms up
	excluded    bool        // for its health, from the pick for the request at hand
	inSubset    bool        // in this replica's subset
}

// isReady says that a server is listed and may be sent requests.
func (ep *endpoint) isReady() bool { return ep.listed && ep.State == Ready }

// updateEndpoints applies an update of the endpoint list and cuts the two groups anew.
func (b *Balancer) updateEndpoints(e EndpointUpdate) {
	if e.Complete {
		b.replaceList(e.Endpoints)
	} else {
		b.applyChanges(e.Endpoints)
	}
	cut := int(math.Ceil(leftShare * float64(b.ready.len())))
	b.groups = groupPair{b.ready.all[:cut], b.ready.all[cut:]}
	b.subsetSize = 0
	b.admission.start(b.minLimit())
	if e.Cached {
		b.scheduleSubscribe()
	} else {
		b.subscription.failures = 0
	}
	b.dispatchQueued()
}

// applyChanges applies the changed entries of the endpoint list, one by one.
func (b *Balancer) applyChanges(entries []Endpoint) {
	for _, entry := range entries {
		b.applyChange(entry)
	}
	for _, entry := range entries { // at the end, as a server may be named twice
		if ep := b.endpoints[entry.ID]; ep != nil {
			b.forgetEndpoint(ep)
		}
	}
}

// applyChange applies a changed entry, and moves its server in the set of ready ones where it has to.
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

// replaceList applies a complete endpoint list: a server that it does not name is gone.
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

// updateEntry takes over an entry of the endpoint list. A new boot time resets what is known of the server.
func (b *Balancer) updateEntry(entry Endpoint) *endpoint {
	ep := b.endpoints[entry.ID]
	if ep == nil {
		ep = &endpoint{}
		b.endpoints[entry.ID] = ep
	} else if ep.StartedAt != entry.StartedAt {
		*ep = endpoint{inFlight: ep.inFlight, attempts: ep.attempts}
	}
	ep.Endpoint = entry
	ep.listed = entry.State != Removed
	return ep
}

// forgetEndpoint drops a server that has left the list once no call to it is out.
func (b *Balancer) forgetEndpoint(ep *endpoint) {
	if !ep.listed && ep.inFlight == 0 {
		delete(b.endpoints, ep.ID)
	}
}
