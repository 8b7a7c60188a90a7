// Package endpoints holds the endpoint list and the subset of it that one replica sends to.
//
// The ready endpoints are kept in an order that all replicas share and are divided into two groups, from
// which the endpoint of an attempt is chosen. Each replica uses a subset of each group: deterministic
// subsetting (SRE book, "Load Balancing in the Datacenter"). An endpoint carries the records of the
// mechanisms; only the mechanism that owns a record reads and updates it.
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

// State is the state of an endpoint as reported by discovery.
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
	Capacity  float64       // relative to the other endpoints, as listed; 0: unknown
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// Endpoint is a listed endpoint, or one that left the list while attempts of this replica were in flight.
type Endpoint struct {
	Entry
	listed   bool
	inSubset bool // set when the subset is built and kept when the endpoint leaves the list

	Attempts   unresponsive.Record // this replica's attempts in flight
	Latency    latency.Relative
	Health     outlier.Record
	Rejections rejection.Record
	SlowStart  slowstart.Record
	Excluded   bool // for health reasons, from the selection for the current request
}

// isReady reports whether the endpoint is listed and may be sent requests.
func (ep *Endpoint) isReady() bool { return ep.listed && ep.State == Ready }

// InSubset reports whether the endpoint is in this replica's subset.
func (ep *Endpoint) InSubset() bool { return ep.listed && ep.inSubset }

// List is the endpoint list with its groups and this replica's subset.
type List struct {
	placement Placement
	byID      map[string]*Endpoint // by ID: listed, or with attempts in flight
	ready     readySet
	subset    subset
}

// NewList returns an empty list.
func NewList() List { return List{byID: map[string]*Endpoint{}} }

// Configure sets the placement. The subset is rebuilt only if the placement has changed.
func (l *List) Configure(placement Placement) {
	if placement != l.placement {
		l.placement = placement
		l.ready.setZone(placement.Zone)
		l.subset.invalidate()
	}
}

// ReadyCount returns the number of endpoints that may be sent requests.
func (l *List) ReadyCount() int { return l.ready.len() }

// PerReplica returns the number of ready endpoints for each replica.
func (l *List) PerReplica() float64 {
	return l.placement.endpointsPerReplica(l.ready.len())
}

// Groups returns all ready endpoints, divided into the two groups.
func (l *List) Groups() Groups { return l.subset.all }

// Subset returns the endpoints that this replica prefers, and the size that the subset was built for.
func (l *List) Subset() (groups Groups, size int) { return l.subset.own, l.subset.size }

// ResizeSubset rebuilds the subset if its size no longer fits, and reports whether it did. meanInFlight is
// the mean number of attempts that this replica has in flight.
func (l *List) ResizeSubset(meanInFlight float64) bool {
	return l.subset.resize(&l.ready, &l.placement, meanInFlight)
}

// Youngest returns the ready endpoint that started last, or nil if there is none.
func (l *List) Youngest() *Endpoint { return l.ready.youngest() }

// Known iterates over the endpoints that are listed or have attempts in flight, in no particular order.
func (l *List) Known() iter.Seq[*Endpoint] { return maps.Values(l.byID) }

// ApplyChanges applies changed entries of the endpoint list in order.
func (l *List) ApplyChanges(entries []Entry) {
	for _, entry := range entries {
		l.applyChange(entry)
	}
	for _, entry := range entries { // after all changes, as an endpoint may occur twice
		if ep := l.byID[entry.ID]; ep != nil {
			l.RemoveIfUnused(ep)
		}
	}
	l.subset.setGroups(l.ready.all)
}

// applyChange applies a changed entry, and updates the set of ready endpoints if it is affected.
func (l *List) applyChange(entry Entry) {
	ep := l.byID[entry.ID]
	wasReady := ep != nil && ep.isReady()
	inPlace := wasReady && ep.State == entry.State && ep.Zone == entry.Zone && ep.StartedAt == entry.StartedAt
	if wasReady && !inPlace {
		l.ready.remove(ep)
	}
	ep = l.updateEntry(entry)
	if ep.isReady() && !inPlace {
		l.ready.insert(ep)
	}
}

// Replace applies a complete endpoint list: endpoints that it does not contain are removed.
func (l *List) Replace(entries []Entry) {
	for _, ep := range l.byID {
		ep.listed = false
	}
	for _, entry := range entries {
		l.updateEntry(entry)
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
	l.subset.setGroups(l.ready.all)
}

// updateEntry adds or replaces an entry of the endpoint list. A restart of the endpoint discards its records,
// except for its attempts in flight.
func (l *List) updateEntry(entry Entry) *Endpoint {
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

// RemoveIfUnused removes an endpoint that has left the list and has no attempt in flight.
func (l *List) RemoveIfUnused(ep *Endpoint) {
	if !ep.listed && ep.Attempts.InFlight() == 0 && l.byID[ep.ID] == ep {
		delete(l.byID, ep.ID)
	}
}
