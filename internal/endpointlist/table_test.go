package endpointlist

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"basaltdrum/balancer"
	"basaltdrum/internal/monotime"
)

// entryOf returns the entry of an endpoint in a state.
func entryOf(id string, state balancer.EndpointState) Entry {
	return Entry{Endpoint: balancer.Endpoint{ID: id, State: state, Capacity: 1}, Address: "127.0.0.1:1"}
}

// A table has a ready endpoint while one is listed as ready, whatever lists led to that.
func TestReadyEndpointsAreCounted(t *testing.T) {
	draws := rand.New(rand.NewPCG(1, 2))
	table, want := NewTable(monotime.New()), map[string]balancer.EndpointState{}
	for i := range 1000 {
		update := List{Complete: draws.IntN(10) == 0}
		if update.Complete {
			clear(want)
		}
		for j := range draws.IntN(4) {
			states := []balancer.EndpointState{balancer.Ready, balancer.Draining, balancer.Removed}
			entry := entryOf(fmt.Sprint("s", j), states[draws.IntN(len(states))])
			update.Entries, want[entry.ID] = append(update.Entries, entry), entry.State
		}
		if got := table.Apply(update); len(got) != len(update.Entries) {
			t.Fatalf("list %d: %d endpoints are passed on of %d", i, len(got), len(update.Entries))
		}
		hasReady := false
		for _, state := range want {
			hasReady = hasReady || state == balancer.Ready
		}
		if table.HasReady() != hasReady {
			t.Fatalf("list %d: has ready endpoints: %v, want %v with %v", i, table.HasReady(), hasReady, want)
		}
	}
}

// A list is unchanged if applying it would leave the table as it is.
func TestUnchangedLists(t *testing.T) {
	ready, draining := entryOf("s1", balancer.Ready), entryOf("s1", balancer.Draining)
	moved, other := ready, entryOf("s2", balancer.Ready)
	moved.Address = "127.0.0.1:2"
	for _, row := range []struct {
		name      string
		update    List // of a table that lists s1 as ready
		unchanged bool
	}{
		{"the same complete list", List{Complete: true, Entries: []Entry{ready}}, true},
		{"the same entry", List{Entries: []Entry{ready}}, true},
		{"no changes", List{}, true},
		{"the removal of what is not listed", List{Entries: []Entry{entryOf("s2", balancer.Removed)}}, true},
		{"an empty complete list", List{Complete: true}, false},
		{"another state", List{Entries: []Entry{draining}}, false},
		{"another address", List{Entries: []Entry{moved}}, false},
		{"another endpoint", List{Entries: []Entry{ready, other}}, false},
		{"a removal", List{Entries: []Entry{entryOf("s1", balancer.Removed)}}, false},
	} {
		table := NewTable(monotime.New())
		table.Apply(List{Complete: true, Entries: []Entry{ready}})
		if got := table.IsUnchangedBy(row.update); got != row.unchanged {
			t.Errorf("%s: unchanged %v, want %v", row.name, got, row.unchanged)
		}
	}
}
