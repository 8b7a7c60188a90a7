package endpoints

import (
	"cmp"
	"slices"
	"strings"
)

// readySet holds the ready endpoints sorted by id, an order that all replicas share. It holds the same
// endpoints a second time, sorted as well, in two lists: those of this replica's own zone and the others.
// A change of one endpoint costs a few binary searches and moves of pointers, however many there are.
type readySet struct {
	all    []*Endpoint
	byZone zoneSplit
	zone   string      // this replica's own
	subset []*Endpoint // those marked as in the subset
	newest *Endpoint   // the one started last; nil: not known at present
}

// zoneSplit is a list of endpoints in two parts: those of this replica's own zone, and the others.
type zoneSplit struct{ own, others []*Endpoint }

func (z *zoneSplit) len() int { return len(z.own) + len(z.others) }

func (s *readySet) len() int { return len(s.all) }

// list returns that part of the split that an endpoint of the zone belongs to.
func (s *readySet) list(zone string) *[]*Endpoint {
	if zone == s.zone {
		return &s.byZone.own
	}
	return &s.byZone.others
}

// insert adds an endpoint that is not in the set.
func (s *readySet) insert(ep *Endpoint) {
	insertByID(&s.all, ep)
	insertByID(s.list(ep.Zone), ep)
	if ep.inSubset {
		s.subset = append(s.subset, ep)
	}
	if s.newest != nil && ep.StartedAt > s.newest.StartedAt {
		s.newest = ep
	}
}

// remove takes out an endpoint that is in the set. Its id, zone and start must still be those that it was
// inserted with.
func (s *readySet) remove(ep *Endpoint) {
	removeByID(&s.all, ep)
	removeByID(s.list(ep.Zone), ep)
	if ep.inSubset {
		s.subset = slices.DeleteFunc(s.subset, func(o *Endpoint) bool { return o == ep })
	}
	if s.newest == ep {
		s.newest = nil
	}
}

// replace makes the set hold these endpoints, given in any order; one may be given more than once.
func (s *readySet) replace(endpoints []*Endpoint) {
	slices.SortFunc(endpoints, func(ep, o *Endpoint) int { return strings.Compare(ep.ID, o.ID) })
	s.all = slices.Compact(endpoints)
	s.splitZones()
	s.newest, s.subset = nil, nil
	for _, ep := range s.all {
		if ep.inSubset {
			s.subset = append(s.subset, ep)
		}
	}
}

// setZone makes a zone this replica's own.
func (s *readySet) setZone(zone string) {
	if zone != s.zone {
		s.zone = zone
		s.splitZones()
	}
}

// splitZones splits the endpoints by zone from scratch.
func (s *readySet) splitZones() {
	s.byZone = zoneSplit{}
	for _, ep := range s.all {
		list := s.list(ep.Zone)
		*list = append(*list, ep)
	}
}

// split splits the first endpoints, as many as cut says, and the rest by zone.
func (s *readySet) split(cut int) (first, rest zoneSplit) {
	if cut == len(s.all) {
		return s.byZone, zoneSplit{}
	}
	id := s.all[cut].ID
	own, _ := searchByID(s.byZone.own, id)
	others, _ := searchByID(s.byZone.others, id)
	return zoneSplit{s.byZone.own[:own], s.byZone.others[:others]},
		zoneSplit{s.byZone.own[own:], s.byZone.others[others:]}
}

// markSubset marks the endpoints of the subset, and no others of the set.
func (s *readySet) markSubset(subset Groups) {
	for _, ep := range s.subset {
		ep.inSubset = false
	}
	s.subset = slices.Concat(subset.Left, subset.Right)
	for _, ep := range s.subset {
		ep.inSubset = true
	}
}

// youngest returns the endpoint that was started last, which has warmed up least; nil: there is none.
func (s *readySet) youngest() *Endpoint {
	if s.newest == nil && len(s.all) > 0 {
		s.newest = slices.MaxFunc(s.all, func(ep, o *Endpoint) int {
			return cmp.Compare(ep.StartedAt, o.StartedAt)
		})
	}
	return s.newest
}

func searchByID(list []*Endpoint, id string) (at int, found bool) {
	return slices.BinarySearchFunc(list, id, func(ep *Endpoint, id string) int {
		return strings.Compare(ep.ID, id)
	})
}

func insertByID(list *[]*Endpoint, ep *Endpoint) {
	at, _ := searchByID(*list, ep.ID)
	*list = slices.Insert(*list, at, ep)
}

func removeByID(list *[]*Endpoint, ep *Endpoint) {
	if at, found := searchByID(*list, ep.ID); found {
		*list = slices.Delete(*list, at, at+1)
	}
}
