// Package endpoints holds the endpoint list, and the part of it that one replica sends to.
//
// The ready endpoints are kept in an order that all replicas share, and cut into two groups for the pick.
// Each replica draws from a subset of each group: deterministic subsetting (SRE book, "Load Balancing in the
// Datacenter"). An endpoint carries the records that the mechanisms keep of it; no one but they opens them.
package endpoints

import (
	"iter"
	"maps"
	"time"

	"basaltdrum/balancer/internal/latency"
	"basaltdrum/balancer/internal/outlier"
	"basaltdrum/balancer/internal/rejection"
	"basaltdrum/balancer/internal/slowstart"
	"basaltdrum/balancer/internal/unresponsive"
)

// State is what discovery says of an endpoint.
type State int

// Endpoint states.
const (
	Ready State = iota
	Draining
	Removed
)

// Entry is an entry of the endpoint list.
type Entry struct {
	ID        string
	Zone      string
	Cell      int
	State     State
	Capacity  float64       // against other endpoints, as listed; 0: unknown
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// Endpoint is a listed endpoint, or one that left the list while attempts of this replica were in flight.
type Endpoint struct {
	Entry
	listed   bool
	inSubset bool // marked when the subset was made; an endpoint keeps the mark when it leaves the list

	Attempts   unresponsive.Record // this replica's attempts in flight
	Latency    latency.Relative
	Health     outlier.Record
	Rejections rejection.Record
	SlowStart  slowstart.Record
	Excluded   bool // for its health, from the pick for the request at hand
}

// isReady says that the endpoint is listed and may be sent requests.
func (ep *Endpoint) isReady() bool { return ep.listed && ep.State == Ready }

// InSubset says that this replica has the endpoint in its subset.
func (ep *Endpoint) InSubset() bool { return ep.listed && ep.inSubset }

// List is the endpoint list with the groups and the subset.
type List struct {
	placement Placement
	byID      map[string]*Endpoint // listed, or with attempts in flight
	ready     readySet
	subset    subset
}

// NewList returns an empty list.
func NewList() List { return List{byID: map[string]*Endpoint{}} }

// Configure puts a placement in force. The subset is made anew only if it has changed.
func (l *List) Configure(placement Placement) {
	if placement != l.placement {
		l.placement = placement
		l.ready.setZone(placement.Zone)
		l.subset.invalidate()
	}
}

// ReadyCount returns how many endpoints may be sent requests.
func (l *List) ReadyCount() int { return l.ready.len() }

// PerReplica returns how many ready endpoints there are for each replica.
func (l *List) PerReplica() float64 {
	return l.placement.perReplica(l.ready.len())
}

// Groups returns all ready endpoints.
func (l *List) Groups() Groups { return l.subset.all }

// Subset returns the endpoints that this replica sends to first, and how many it was made for.
func (l *List) Subset() (groups Groups, size int) { return l.subset.own, l.subset.size }

// ResizeSubset makes the subset anew where its size no longer fits, and says whether it did. meanInFlight is
// how many attempts this replica has in flight on average.
func (l *List) ResizeSubset(meanInFlight float64) bool {
	return l.subset.resize(&l.ready, &l.placement, meanInFlight)
}

// Youngest returns the ready endpoint that was started last; nil: there is none.
func (l *List) Youngest() *Endpoint { return l.ready.youngest() }

// Known iterates over the endpoints that are listed or have attempts in flight, in any order.
func (l *List) Known() iter.Seq[*Endpoint] { return maps.Values(l.byID) }

// ApplyChanges applies the changed entries of the endpoint list, one by one.
func (l *List) ApplyChanges(entries []Entry) {
	for _, entry := range entries {
		l.change(entry)
	}
	for _, entry := range entries { // at the end, as an endpoint may be named twice
		if ep := l.byID[entry.ID]; ep != nil {
			l.RemoveIfUnused(ep)
		}
	}
	l.subset.cut(l.ready.all)
}

// change applies a changed entry, and moves its endpoint in the set of ready ones where it has to.
func (l *List) change(entry Entry) {
	ep := l.byID[entry.ID]
	wasReady := ep != nil && ep.isReady()
	stays := wasReady && ep.State == entry.State && ep.Zone == entry.Zone && ep.StartedAt == entry.StartedAt
	if wasReady && !stays {
		l.ready.remove(ep)
	}
	ep = l.update(entry)
	if ep.isReady() && !stays {
		l.ready.insert(ep)
	}
}

// Replace applies a complete endpoint list: an endpoint that it does not name is removed.
func (l *List) Replace(entries []Entry) {
	for _, ep := range l.byID {
		ep.listed = false
	}
	for _, entry := range entries {
		l.update(entry)
	}
	ready := make([]*Endpoint, 0, len(entries))
	for _, entry := range entries {
		if ep := l.byID[entry.ID]; ep.isReady() {
			ready = append(ready, ep)
		}
	}
	l.ready.replace(ready)
	for _, ep := range l.byID {
		l.RemoveIfUnused(ep)
	}
	l.subset.cut(l.ready.all)
}

// update replaces an entry of the endpoint list. After a restart nothing is known of the endpoint.
func (l *List) update(entry Entry) *Endpoint {
	ep := l.byID[entry.ID]
	if ep == nil {
		ep = &Endpoint{SlowStart: slowstart.NewRecord(entry.StartedAt)}
		l.byID[entry.ID] = ep
	} else if ep.StartedAt != entry.StartedAt {
		*ep = Endpoint{
			Attempts: ep.Attempts.AfterRestart(), SlowStart: slowstart.NewRecord(entry.StartedAt),
		}
	}
	ep.Entry = entry
	ep.listed = entry.State != Removed
	return ep
}

// RemoveIfUnused drops an endpoint that has left the list once no attempt at it is in flight.
func (l *List) RemoveIfUnused(ep *Endpoint) {
	if !ep.listed && ep.Attempts.InFlight() == 0 && l.byID[ep.ID] == ep {
		delete(l.byID, ep.ID)
	}
}
