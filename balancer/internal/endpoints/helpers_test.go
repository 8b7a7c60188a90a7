package endpoints

import "fmt"

// testEntries returns n ready endpoints of one zone.
func testEntries(n int) (entries []Entry) {
	for i := range n {
		entries = append(entries, Entry{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return entries
}

// zonedEntries returns n ready endpoints of two zones, which are spread over both groups.
func zonedEntries(n int) []Entry {
	entries := testEntries(n)
	for i := range entries {
		entries[i].Zone = []string{"north", "north", "east", "east"}[i%4]
	}
	return entries
}

// newTestList returns a list with this placement and these entries.
func newTestList(placement Placement, entries []Entry) List {
	list := NewList()
	list.Configure(placement)
	list.Replace(entries)
	return list
}

func endpointIDs(endpoints []*Endpoint) (ids []string) {
	for _, ep := range endpoints {
		ids = append(ids, ep.ID)
	}
	return ids
}
