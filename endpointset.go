// The ready servers, in the order that all copies share.

package balancer

import (
	"cmp"
	"slices"
	"strings"
)

// endpointSet holds the ready servers sorted by id, an order that all copies see alike. The same servers are
// kept a second time, sorted as well, in two lists: those of this copy's own zone and those of the others.
// A change of one server costs a few binary searches and moves of pointers, however many there are.
type endpointSet struct {
	all    []*server
	byZone zoneSplit
	zone   string    // this copy's own
	pooled []*server // those marked as pooled
	newest *server   // the one started last; nil: not known at present
}

// zoneSplit is a list of servers in two parts: those of this copy's own zone, and the others.
type zoneSplit struct{ own, others []*server }

func (e *endpointSet) len() int { return len(e.all) }

// list returns that part of the split that a server of the zone belongs to.
func (e *endpointSet) list(zone string) *[]*server {
	if zone == e.zone {
		return &e.byZone.own
	}
	return &e.byZone.others
}

// insert adds a server that is not in the set.
func (e *endpointSet) insert(s *server) {
	insertByID(&e.all, s)
	insertByID(e.list(s.Zone), s)
	if s.pooled {
		e.pooled = append(e.pooled, s)
	}
	if e.newest != nil && s.StartedAt > e.newest.StartedAt {
		e.newest = s
	}
}

// remove takes out a server that is in the set. Its id, zone and boot must still be those it was inserted
// with.
func (e *endpointSet) remove(s *server) {
	removeByID(&e.all, s)
	removeByID(e.list(s.Zone), s)
	if s.pooled {
		e.pooled = slices.DeleteFunc(e.pooled, func(o *server) bool { return o == s })
	}
	if e.newest == s {
		e.newest = nil
	}
}

// replace makes the set hold these servers, in any order; one may be named more than once.
func (e *endpointSet) replace(servers []*server) {
	slices.SortFunc(servers, func(s, o *server) int { return strings.Compare(s.ID, o.ID) })
	e.all = slices.Compact(servers)
	e.splitZones()
	e.newest, e.pooled = nil, nil
	for _, s := range e.all {
		if s.pooled {
			e.pooled = append(e.pooled, s)
		}
	}
}

// setZone makes a zone this copy's own.
func (e *endpointSet) setZone(zone string) {
	if zone != e.zone {
		e.zone = zone
		e.splitZones()
	}
}

// splitZones parts the servers by zone from scratch.
func (e *endpointSet) splitZones() {
	e.byZone = zoneSplit{}
	for _, s := range e.all {
		list := e.list(s.Zone)
		*list = append(*list, s)
	}
}

// split parts the first servers, as many as cut says, and the rest by zone.
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

// markPool marks the servers of a pool, and no others of the set, as pooled.
func (e *endpointSet) markPool(pool groups) {
	for _, s := range e.pooled {
		s.pooled = false
	}
	e.pooled = slices.Concat(pool.left, pool.right)
	for _, s := range e.pooled {
		s.pooled = true
	}
}

// youngest returns the server that was started last, the one that has warmed up least; nil: there is none.
func (e *endpointSet) youngest() *server {
	if e.newest == nil && len(e.all) > 0 {
		e.newest = slices.MaxFunc(e.all, func(s, o *server) int {
			return cmp.Compare(s.StartedAt, o.StartedAt)
		})
	}
	return e.newest
}

func searchByID(list []*server, id string) (at int, found bool) {
	return slices.BinarySearchFunc(list, id, func(s *server, id string) int {
		return strings.Compare(s.ID, id)
	})
}

func insertByID(list *[]*server, s *server) {
	at, _ := searchByID(*list, s.ID)
	*list = slices.Insert(*list, at, s)
}

func removeByID(list *[]*server, s *server) {
	if at, found := searchByID(*list, s.ID); found {
		*list = slices.Delete(*list, at, at+1)
	}
}
