// The ready endpoints, in the order that all replicas share.

package balancer

import (
	"cmp"
	"slices"
	"strings"
)

// endpointSet holds the ready endpoints sorted by id, an order that all replicas share. It holds the same
// endpoints a second time, sorted as well, in two lists: those of this replica's own zone and the others.
// A change of one endpoint costs a few binary searches and moves of pointers, however many there are.
type endpointSet struct {
	all    []*endpoint
	byZone zoneSplit
	zone   string      // this replica's own
	subset []*endpoint // those marked as in the subset
	newest *endpoint   // the one started last; nil: not known at present
}

// zoneSplit is a list of endpoints in two parts: those of this replica's own zone, and the others.
type zoneSplit struct{ own, others []*endpoint }

func (e *endpointSet) len() int { return len(e.all) }

// list returns that part of the split that an endpoint of the zone belongs to.
func (e *endpointSet) list(zone string) *[]*endpoint {
	if zone == e.zone {
		return &e.byZone.own
	}
	return &e.byZone.others
}

// insert adds an endpoint that is not in the set.
func (e *endpointSet) insert(ep *endpoint) {
	insertByID(&e.all, ep)
	insertByID(e.list(ep.Zone), ep)
	if ep.inSubset {
		e.subset = append(e.subset, ep)
	}
	if e.newest != nil && ep.StartedAt > e.newest.StartedAt {
		e.newest = ep
	}
}

// remove takes out an endpoint that is in the set. Its id, zone and start must still be those that it was
// inserted with.
func (e *endpointSet) remove(ep *endpoint) {
	removeByID(&e.all, ep)
	removeByID(e.list(ep.Zone), ep)
	if ep.inSubset {
		e.subset = slices.DeleteFunc(e.subset, func(o *endpoint) bool { return o == ep })
	}
	if e.newest == ep {
		e.newest = nil
	}
}

// replace makes the set hold these endpoints, given in any order; one may be given more than once.
func (e *endpointSet) replace(endpoints []*endpoint) {
	slices.SortFunc(endpoints, func(ep, o *endpoint) int { return strings.Compare(ep.ID, o.ID) })
	e.all = slices.Compact(endpoints)
	e.splitZones()
	e.newest, e.subset = nil, nil
	for _, ep := range e.all {
		if ep.inSubset {
			e.subset = append(e.subset, ep)
		}
	}
}

// setZone makes a zone this replica's own.
func (e *endpointSet) setZone(zone string) {
	if zone != e.zone {
		e.zone = zone
		e.splitZones()
	}
}

// splitZones splits the endpoints by zone from scratch.
func (e *endpointSet) splitZones() {
	e.byZone = zoneSplit{}
	for _, ep := range e.all {
		list := e.list(ep.Zone)
		*list = append(*list, ep)
	}
}

// split splits the first endpoints, as many as cut says, and the rest by zone.
func (e *endpointSet) split(cut int) (first, rest zoneSplit) {
	if cut == len(e.all) {
		return e.byZone, zoneSplit{}
	}
	id := e.all[cut].ID
	own, _ := searchByID(e.byZone.own, id)
	others, _ := searchByID(e.byZone.others, id)
	return zoneSplit{e.byZone.own[:own], e.byZone.others[:others]},
		zoneSplit{e.byZone.own[own:], e.byZone.others[others:]}
}

// markSubset marks the endpoints of the subset, and no others of the set.
func (e *endpointSet) markSubset(subset groupPair) {
	for _, ep := range e.subset {
		ep.inSubset = false
	}
	e.subset = slices.Concat(subset.left, subset.right)
	for _, ep := range e.subset {
		ep.inSubset = true
	}
}

// youngest returns the endpoint that was started last, which has warmed up least; nil: there is none.
func (e *endpointSet) youngest() *endpoint {
	if e.newest == nil && len(e.all) > 0 {
		e.newest = slices.MaxFunc(e.all, func(ep, o *endpoint) int {
			return cmp.Compare(ep.StartedAt, o.StartedAt)
		})
	}
	return e.newest
}

func searchByID(list []*endpoint, id string) (at int, found bool) {
	return slices.BinarySearchFunc(list, id, func(ep *endpoint, id string) int {
		return strings.Compare(ep.ID, id)
	})
}

func insertByID(list *[]*endpoint, ep *endpoint) {
	at, _ := searchByID(*list, ep.ID)
	*list = slices.Insert(*list, at, ep)
}

func removeByID(list *[]*endpoint, ep *endpoint) {
	if at, found := searchByID(*list, ep.ID); found {
		*list = slices.Delete(*list, at, at+1)
	}
}
