package plan

import (
	"math"
	"slices"
	"testing"
	"time"
)

// The capacity of all servers together, counted for each node, stays the same.
func TestGrowthSizes(t *testing.T) {
	for _, test := range []struct{ servers, factor, fleet, nodes int }{
		{200, 16, 300, 900}, {200, 16, 20, 320}, {100, 4, 225, 900}, {100, 16, 900, 900},
	} {
		args := GrowthArgs{Servers: test.servers, Factor: test.factor, Fleet: test.fleet}
		usual, large := args.Usual(), args.Large()
		each := func(s GrowthSize) float64 { return s.Capacity * float64(s.Servers) / float64(s.Nodes) }
		if large.Nodes != test.nodes || large.Servers != test.servers*test.factor || math.Abs(each(large)/each(usual)-1) > 1e-9 {
			t.Errorf("%+v: usual %+v, large %+v", test, usual, large)
		}
	}
}

// Each server that is replaced drains, leaves the list and ends, in this order; another is listed in its place.
func TestPlanDay(t *testing.T) {
	const servers, length = 200, 20 * time.Second
	plan := Day(servers, length, 1)
	steps := map[int][]EventKind{}
	var first, last time.Duration
	seen := map[EventKind]int{}
	for i, e := range plan {
		seen[e.Kind]++
		if i > 0 && e.At < plan[i-1].At || e.At < 0 || e.At > length {
			t.Errorf("event %d at %v", i, e.At)
		}
		if e.Kind == BreakWatches {
			continue
		}
		steps[e.Server] = append(steps[e.Server], e.Kind)
		if e.Kind == ListServer {
			if first == 0 {
				first = e.At
			}
			last = e.At
		}
	}
	for server, kinds := range steps {
		want := []EventKind{DrainServer, RemoveServer, CloseServer}
		if server >= servers {
			want = []EventKind{ListServer}
		}
		if !slices.Equal(kinds, want) {
			t.Errorf("server %d: %v", server, kinds)
		}
	}
	if len(steps) != 240 || seen[ListServer] != 120 || seen[DrainServer] != 120 || seen[BreakWatches] != len(watchBreaks) ||
		last-first > 7*time.Second || last-first < 6*time.Second {
		t.Errorf("%d servers, events %v, replaced within %v", len(steps), seen, last-first)
	}
	if !slices.Equal(plan, Day(servers, length, 1)) || slices.Equal(plan, Day(servers, length, 2)) {
		t.Error("a day does not depend on its seed alone")
	}
}

func TestDueEvents(t *testing.T) {
	plan := []Event{{At: 1}, {At: 3}, {At: 3}, {At: 4}}
	for at, want := range []int{0, 1, 1, 3, 4, 4} {
		if got := DueEvents(plan, time.Duration(at)); got != want {
			t.Errorf("at %d: %d events are due, want %d", at, got, want)
		}
	}
	if DueEvents(nil, 1) != 0 {
		t.Error("events of no plan are due")
	}
}
