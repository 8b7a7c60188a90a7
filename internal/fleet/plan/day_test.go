package plan

import (
	"math"
	"slices"
	"testing"
	"time"
)

// The total capacity of the servers per node is the same at both sizes.
func TestGrowthSizes(t *testing.T) {
	for _, test := range []struct {
		name                   string
		servers, factor, fleet int
		largeNodes             int
	}{
		{"large size is limited to the largest fleet", 200, 16, 300, 900},
		{"small fleet", 200, 16, 20, 320},
		{"large size is exactly the largest fleet", 100, 4, 225, 900},
		{"usual size is the largest fleet", 100, 16, 900, 900},
	} {
		t.Run(test.name, func(t *testing.T) {
			args := GrowthArgs{Servers: test.servers, Factor: test.factor, Fleet: test.fleet}
			usual, large := args.Usual(), args.Large()
			if large.Nodes != test.largeNodes || large.Servers != test.servers*test.factor {
				t.Errorf("large size %+v has a wrong number of nodes or servers", large)
			}
			if ratio := capacityPerNode(large) / capacityPerNode(usual); math.Abs(ratio-1) > 1e-9 {
				t.Errorf("capacity per node at the large size is %v times the usual, want 1: usual %+v, large %+v",
					ratio, usual, large)
			}
		})
	}
}

// capacityPerNode returns the total capacity of the servers per node.
func capacityPerNode(size GrowthSize) float64 {
	return size.Capacity * float64(size.Servers) / float64(size.Nodes)
}

// The day of these tests.
const (
	dayServers  = 200
	dayReplaced = 120
	dayLength   = 20 * time.Second
)

// Each replaced server drains, is removed from the list and stops, in this order; another is listed in its place.
func TestDayReplacesServers(t *testing.T) {
	steps := map[int][]EventKind{}
	for _, e := range DayEvents(dayServers, dayLength, 1) {
		if e.Kind != BreakWatches {
			steps[e.Server] = append(steps[e.Server], e.Kind)
		}
	}
	if len(steps) != 2*dayReplaced {
		t.Errorf("%d servers have events, want %d", len(steps), 2*dayReplaced)
	}
	for server, kinds := range steps {
		want := []EventKind{DrainServer, RemoveServer, CloseServer}
		if server >= dayServers {
			want = []EventKind{ListServer}
		}
		if !slices.Equal(kinds, want) {
			t.Errorf("server %d: %v, want %v", server, kinds, want)
		}
	}
}

// All events of a day are in the order of their times and within its length.
func TestDayIsInOrder(t *testing.T) {
	counts := map[EventKind]int{}
	var last time.Duration
	for i, e := range DayEvents(dayServers, dayLength, 1) {
		counts[e.Kind]++
		if e.At < last || e.At > dayLength {
			t.Errorf("event %d is at %v, want a time from %v to the end of the day", i, e.At, last)
		}
		last = e.At
	}
	for kind, want := range map[EventKind]int{
		ListServer: dayReplaced, DrainServer: dayReplaced, BreakWatches: len(watchBreaks),
	} {
		if counts[kind] != want {
			t.Errorf("%d events of kind %d, want %d", counts[kind], kind, want)
		}
	}
}

// All servers are replaced within 6 to 7 s of a day of 20 s.
func TestDayReplacesWithinSevenSeconds(t *testing.T) {
	var listed []time.Duration
	for _, e := range DayEvents(dayServers, dayLength, 1) {
		if e.Kind == ListServer {
			listed = append(listed, e.At)
		}
	}
	if took := slices.Max(listed) - slices.Min(listed); took < 6*time.Second || took > 7*time.Second {
		t.Errorf("the servers are replaced within %v, want 6 s to 7 s", took)
	}
}

func TestDayDependsOnItsSeedAlone(t *testing.T) {
	day := DayEvents(dayServers, dayLength, 1)
	if !slices.Equal(day, DayEvents(dayServers, dayLength, 1)) {
		t.Error("the same seed gives another day, want the same events")
	}
	if slices.Equal(day, DayEvents(dayServers, dayLength, 2)) {
		t.Error("another seed gives the same day, want other events")
	}
}

func TestDueEvents(t *testing.T) {
	day := []Event{{At: 1}, {At: 3}, {At: 3}, {At: 4}}
	for _, test := range []struct {
		name   string
		events []Event
		at     time.Duration
		want   int
	}{
		{"before the first", day, 0, 0},
		{"at the first", day, 1, 1},
		{"between two", day, 2, 1},
		{"at two at once", day, 3, 3},
		{"at the last", day, 4, 4},
		{"after the last", day, 5, 4},
		{"no events", nil, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := DueEvents(test.events, test.at); got != test.want {
				t.Errorf("%d events are due, want %d", got, test.want)
			}
		})
	}
}
