package endpointlist

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"basaltdrum/balancer"
	"basaltdrum/internal/monotime"
)

// newEntry returns the entry of an endpoint in a state.
func newEntry(id string, state balancer.EndpointState) Entry {
	return Entry{Endpoint: balancer.Endpoint{ID: id, State: state, Capacity: 1}, Address: "127.0.0.1:1"}
}

// A table has a ready endpoint as long as one is listed as ready, after any sequence of lists.
func TestReadyEndpointsAreCounted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	table, want := NewTable(monotime.New()), map[string]balancer.EndpointState{}
	for i := range 1000 {
		update := List{Complete: random.IntN(10) == 0}
		if update.Complete {
			clear(want)
		}
		for j := range random.IntN(4) {
			states := []balancer.EndpointState{balancer.Ready, balancer.Draining, balancer.Removed}
			entry := newEntry(fmt.Sprint("s", j), states[random.IntN(len(states))])
			update.Entries, want[entry.ID] = append(update.Entries, entry), entry.State
		}
		if got := table.Apply(update); len(got) != len(update.Entries) {
			t.Fatalf("list %d: Apply returned %d endpoints, want %d", i, len(got), len(update.Entries))
		}
		hasReady := false
		for _, state := range want {
			hasReady = hasReady || state == balancer.Ready
		}
		if table.HasReady() != hasReady {
			t.Fatalf("list %d: HasReady is %v, want %v with states %v", i, table.HasReady(), hasReady, want)
		}
	}
}

// A list is unchanged if applying it would leave the table as it is.
func TestUnchangedLists(t *testing.T) {
	ready, draining := newEntry("s1", balancer.Ready), newEntry("s1", balancer.Draining)
	moved, other := ready, newEntry("s2", balancer.Ready)
	moved.Address = "127.0.0.1:2"
	for _, row := range []struct {
		name      string
		update    List // for a table that lists s1 as ready
		unchanged bool
	}{
		{"the same complete list", List{Complete: true, Entries: []Entry{ready}}, true},
		{"the same entry", List{Entries: []Entry{ready}}, true},
		{"no changes", List{}, true},
		{"the removal of an unlisted endpoint", List{Entries: []Entry{newEntry("s2", balancer.Removed)}}, true},
		{"an empty complete list", List{Complete: true}, false},
		{"another state", List{Entries: []Entry{draining}}, false},
		{"another address", List{Entries: []Entry{moved}}, false},
		{"another endpoint", List{Entries: []Entry{ready, other}}, false},
		{"the removal of a listed endpoint", List{Entries: []Entry{newEntry("s1", balancer.Removed)}}, false},
	} {
		table := NewTable(monotime.New())
		table.Apply(List{Complete: true, Entries: []Entry{ready}})
		if got := table.IsUnchangedBy(row.update); got != row.unchanged {
			t.Errorf("%s: IsUnchangedBy is %v, want %v", row.name, got, row.unchanged)
		}
	}
}
