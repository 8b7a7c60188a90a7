package endpoints

import (
	"cmp"
	"slices"
	"strings"
)

// readySet holds the ready endpoints sorted by ID, an order that all replicas share. It also holds them in
// two sorted lists, one of this replica's own zone and one of the other zones. A change of one endpoint costs
// a few binary searches and pointer moves, however many endpoints there are.
type readySet struct {
	all            []*Endpoint
	byZone         zoneSplit
	zone           string      // this replica's own zone
	subset         []*Endpoint // endpoints marked as in the subset
	cachedYoungest *Endpoint   // the endpoint that started last; nil: must be searched for
}

// zoneSplit is a list of endpoints in two parts: those of this replica's own zone, and the others.
type zoneSplit struct{ own, others []*Endpoint }

func (z *zoneSplit) len() int { return len(z.own) + len(z.others) }

func (s *readySet) len() int { return len(s.all) }

// list returns the part of the split that endpoints of the zone belong to.
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
	if s.cachedYoungest != nil && ep.StartedAt > s.cachedYoungest.StartedAt {
		s.cachedYoungest = ep
	}
}

// remove removes an endpoint that is in the set. Its ID, zone and start time must be those that it was
// inserted with.
func (s *readySet) remove(ep *Endpoint) {
	removeByID(&s.all, ep)
	removeByID(s.list(ep.Zone), ep)
	if ep.inSubset {
		s.subset = slices.DeleteFunc(s.subset, func(other *Endpoint) bool { return other == ep })
	}
	if s.cachedYoungest == ep {
		s.cachedYoungest = nil
	}
}

// replace sets the contents to these endpoints, which may be in any order and contain duplicates.
func (s *readySet) replace(endpoints []*Endpoint) {
	slices.SortFunc(endpoints, func(ep, other *Endpoint) int { return strings.Compare(ep.ID, other.ID) })
	s.all = slices.Compact(endpoints)
	s.splitZones()
	s.cachedYoungest, s.subset = nil, nil
	for _, ep := range s.all {
		if ep.inSubset {
			s.subset = append(s.subset, ep)
		}
	}
}

// setZone sets this replica's own zone.
func (s *readySet) setZone(zone string) {
	if zone != s.zone {
		s.zone = zone
		s.splitZones()
	}
}

// splitZones rebuilds the split by zone.
func (s *readySet) splitZones() {
	s.byZone = zoneSplit{}
	for _, ep := range s.all {
		list := s.list(ep.Zone)
		*list = append(*list, ep)
	}
}

// split splits the first count endpoints, and the rest, by zone.
func (s *readySet) split(count int) (first, rest zoneSplit) {
	if count == len(s.all) {
		return s.byZone, zoneSplit{}
	}
	id := s.all[count].ID
	own, _ := searchByID(s.byZone.own, id)
	others, _ := searchByID(s.byZone.others, id)
	return zoneSplit{s.byZone.own[:own], s.byZone.others[:others]},
		zoneSplit{s.byZone.own[own:], s.byZone.others[others:]}
}

// markSubset marks the endpoints of the subset, and no others.
func (s *readySet) markSubset(subset Groups) {
	for _, ep := range s.subset {
		ep.inSubset = false
	}
	s.subset = slices.Concat(subset.Left, subset.Right)
	for _, ep := range s.subset {
		ep.inSubset = true
	}
}

// youngest returns the endpoint that started last, which has warmed up least, or nil if there is none.
func (s *readySet) youngest() *Endpoint {
	if s.cachedYoungest == nil && len(s.all) > 0 {
		s.cachedYoungest = slices.MaxFunc(s.all, func(ep, other *Endpoint) int {
			return cmp.Compare(ep.StartedAt, other.StartedAt)
		})
	}
	return s.cachedYoungest
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
