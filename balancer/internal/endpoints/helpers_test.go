package endpoints

import "fmt"

// testEntries returns the entries of n ready endpoints of one zone.
func testEntries(n int) (entries []Entry) {
	for i := range n {
		entries = append(entries, Entry{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return entries
}

// zonedEntries returns the entries of n ready endpoints of two zones, each in both groups.
func zonedEntries(n int) []Entry {
	entries := testEntries(n)
	for i := range entries {
		entries[i].Zone = []string{"north", "north", "east", "east"}[i%4]
	}
	return entries
}

// newTestList returns the list of a replica.
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
