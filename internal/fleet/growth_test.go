package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// usualFigures are round ones, to work out limits from.
func usualFigures() GrowthFigures {
	return GrowthFigures{
		Servers: 200, CPUSeconds: 1, PeakMemory: 10e6, Descriptors: 30, Connections: 100,
		ListBytes: 100e3, Served: 0.9,
	}
}

// The limits are those of the standing test, and a figure just at its limit is within.
func TestGrowthLimits(t *testing.T) {
	limits := map[string][2]float64{ // at 1,000 and at 3,200 servers
		"CPU seconds":                 {1.4 + 0.02 + 0.03, 1.4 + 0.02 + 0.096},
		"peak memory, MB":             {15 + 8 + 4, 15 + 8 + 12.8},
		"descriptors":                 {60 + 40, 60 + 40},
		"connections made to servers": {250 + 40, 250 + 40},
		"bytes of lists, KB":          {200 + 64 + 500, 200 + 64 + 1600},
		"share served":                {0.765, 0.765},
	}
	if len(growthLimits) != len(limits) {
		t.Errorf("%d rows, want %d", len(growthLimits), len(limits))
	}
	for _, limit := range growthLimits {
		for i, servers := range []int{1000, 3200} {
			want := limits[limit.what][i]
			for _, test := range []struct {
				share  float64 // of the limit
				within bool
			}{{0.999, !limit.least}, {1.001, limit.least}} {
				row := limit.row(usualFigures(), figuresAt(limit.what, test.share*want, servers))
				if math.Abs(row.Limit-want) > 1e-9*want || row.Within != test.within ||
					math.Abs(row.Large-test.share*want) > 1e-9*want {
					t.Errorf("%s at %d servers: %+v, want limit %v, within %v", limit.what, servers, row, want, test.within)
				}
			}
		}
	}
}

// figuresAt has one figure at a value, in the unit of its row.
func figuresAt(what string, value float64, servers int) GrowthFigures {
	f := GrowthFigures{Servers: servers}
	*map[string]*float64{
		"CPU seconds": &f.CPUSeconds, "peak memory, MB": &f.PeakMemory, "descriptors": &f.Descriptors,
		"connections made to servers": &f.Connections, "bytes of lists, KB": &f.ListBytes, "share served": &f.Served,
	}[what] = value
	switch what {
	case "peak memory, MB":
		f.PeakMemory *= 1e6
	case "bytes of lists, KB":
		f.ListBytes *= 1e3
	}
	return f
}

// The error names each row that is over, and only those.
func TestGrowthReportTellsWhatIsOver(t *testing.T) {
	report := GrowthReport{Rows: []GrowthRow{{What: "a", Within: true}, {What: "b"}, {What: "c"}}}
	var over *OverLimitError
	if err := report.Err(); !errors.As(err, &over) || !slices.Equal(over.Rows, []string{"b", "c"}) {
		t.Errorf("error %v", err)
	}
	var table strings.Builder
	if err := report.Table(&table); err != nil || strings.Count(table.String(), "over\n") != 2 || strings.Count(table.String(), "within\n") != 1 {
		t.Errorf("%v: %s", err, table.String())
	}
	report.Rows = report.Rows[:1]
	if err := report.Err(); err != nil {
		t.Errorf("nothing is over: %v", err)
	}
}

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

// Connections are counted once each, and a server that ends closes those it has.
func TestListedServersCountConnections(t *testing.T) {
	var h ListedServers
	var endpoints []string
	if err := h.Start(ListedServersSpec{Count: 2}, &endpoints); err != nil {
		t.Fatal(err)
	}
	c := NewClient()
	defer c.Close()
	for i, at := range []int{0, 0, 1} {
		if got, err := c.Call(context.Background(), endpoints[at], Class, fmt.Sprint(i), time.Now().Add(limit)); got != Served {
			t.Fatalf("call %d: %v, %v", i, got, err)
		}
	}
	var accepted int64
	if err := h.Accepted(struct{}{}, &accepted); err != nil || accepted != 2 {
		t.Errorf("%v: %d connections accepted, want 2", err, accepted)
	}
	if err := h.Close([]int{0}, nil); err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp", endpoints[0]); err == nil {
		conn.Close()
		t.Error("a server that has ended accepts")
	}
	if err := h.Close([]int{0, 1}, nil); err != nil {
		t.Error(err)
	}
	if h.Close([]int{2}, nil) == nil || h.Close([]int{-1}, nil) == nil || h.Start(ListedServersSpec{Count: 1}, &endpoints) == nil {
		t.Error("a server that isn't there is ended, or the servers start twice")
	}
}

// A run at a small size gives all rows, and leaves no child. Whether a row is within its limit is the machine's.
func TestGrowthRun(t *testing.T) {
	for _, mode := range []string{"pushed", "asked"} {
		report, err := testRunner(t).Growth(context.Background(), GrowthArgs{
			Servers: 20, Factor: 2, Real: 1, Fleet: 10, Mode: mode,
			Rate: 40, Seed: 1, For: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		if n := children(t); len(n) > 0 {
			t.Fatalf("children are left: %v", n)
		}
		if len(report.Rows) != len(growthLimits) {
			t.Fatalf("%s: rows %+v", mode, report.Rows)
		}
		for i, f := range []GrowthFigures{report.Usual, report.Large} {
			servers := []int{20, 40}[i]
			if f.Servers != servers || f.Changes != 3*ReplacedCount(servers) || f.Calls.Answered() != f.Calls.Offered || f.Calls.Offered < 10 ||
				f.Calls.Served < 1 || f.CPUSeconds <= 0 || f.PeakMemory < 1e6 || f.Descriptors < 3 || f.Connections < 1 ||
				f.ListBytes < float64(servers)*100 || f.ListPayload <= f.ListBytes || f.ListCalls < 1 {
				t.Errorf("%s: %+v", mode, f)
			}
		}
	}
}

// A growth run that is ended early leaves no child, and says so.
func TestGrowthRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(time.Second, cancel)
	_, err := testRunner(t).Growth(ctx, GrowthArgs{Servers: 20, Factor: 2, Real: 1, Fleet: 10, Mode: "pushed", Rate: 40, For: time.Minute})
	if err == nil {
		t.Error("no error")
	}
	if n := children(t); len(n) > 0 {
		t.Errorf("children are left: %v", n)
	}
}
