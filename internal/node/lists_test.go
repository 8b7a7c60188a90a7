package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
	"basaltdrum/internal/upstream"
)

// Lists of the largest fleet are accepted, indented or not; beyond the limit they are rejected.
func TestListsOfTheLargestFleetFit(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"compact", testutil.LongList(3200, "", false), 3200},
		{"indented", testutil.LongList(3200, "", true), 3200},
		{"of the most bytes", strings.Repeat(" ", maxListBytes-len(testutil.LongList(3200, "", false))) + testutil.LongList(3200, "", false), 3200},
		{"of a byte too many", testutil.LongList(1, "", false) + strings.Repeat(" ", maxListBytes+1-len(testutil.LongList(1, "", false))), 0},
		{"endless", testutil.LongList(3200, strings.Repeat("x", 2000), false), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			ag := testutil.NewRegistryAgent(t)
			ag.Set(false, c.text)
			var got []endpointlist.Entry
			cfg := testConfig("")
			cfg.Discovery = ag.Addr().String()
			d := newDiscovery(cfg, -1, func(e event) { got = e.(listReceived).list.Entries }, testutil.DiscardLog())
			if _, err := d.watchOnce(t.Context(), d.currentAddress(), false); (err == nil) != (c.want > 0) || len(got) != c.want {
				t.Errorf("%s: %d servers, %v, want %d", c.name, len(got), err, c.want)
			}
			if held := d.currentAddress().version >= 0; held != (c.want > 0) {
				t.Errorf("%s: rev %d is cached", c.name, d.currentAddress().version)
			}
		})
	}
}

// A response whose connection breaks says nothing, so the watch resumes from the cached version; after one that is
// complete and malformed, the complete list is requested.
func TestOnlyAMalformedListIsReplacedByTheCompleteOne(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         int64
	}{
		{"broken", "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + `{"rev":8,"all":true,"targets":[`, 7},
		{"broken after the list", "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + `{"rev":8,"all":true,"targets":[]}`, 7},
		{"broken in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n" + `{"rev":8,"all"`, 7},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n" + `{"rev":8,"all":true,"targets":[`, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			agent := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(conn, c.answer)
				return false
			})
			cfg := testConfig("")
			cfg.Discovery, cfg.Settings.PollDiscovery = agent.Address(), true
			d := newDiscovery(cfg, 7, func(e event) { t.Errorf("%s: posted %v", c.name, e) }, testutil.DiscardLog())
			if _, err := d.watchOnce(t.Context(), d.currentAddress(), false); err == nil || d.currentAddress().version != c.want {
				t.Errorf("%s: %v; rev %d is cached, want %d", c.name, err, d.currentAddress().version, c.want)
			}
		})
	}
}

// The text of a list is not held in memory beside its entries: the allocation depends on what is kept of it.
func TestListsAreReadWithoutACopyOfTheText(t *testing.T) {
	const servers = 3200
	text := testutil.LongList(servers, strings.Repeat("x", 1000), false)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	l, err := endpointlist.Read(newListBody(strings.NewReader(text)))
	runtime.ReadMemStats(&after)
	if err != nil || len(l.Entries) != servers {
		t.Fatalf("%d servers, %v", len(l.Entries), err)
	}
	if got := after.TotalAlloc - before.TotalAlloc; got > uint64(len(text)) {
		t.Errorf("%d bytes were allocated for a list of %d", got, len(text))
	}
}

func BenchmarkReadList(b *testing.B) {
	for _, indented := range []bool{false, true} {
		text := testutil.LongList(3200, "", indented)
		b.Run(fmt.Sprintf("servers=3200,indented=%v", indented), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := endpointlist.Read(newListBody(strings.NewReader(text))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkListChange measures the node's own part of a change of one entry.
func BenchmarkListChange(b *testing.B) {
	for _, servers := range []int{100, 1600, 3200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			l := bootLoop(b, newMachineClocks(), true)
			pool := upstream.NewPool(l.clock, 10, upstream.Timeouts{Connect: testutil.Limit, Idle: time.Minute})
			all := parsedList(b, testutil.LongList(servers, "", false))
			l.setStartTimes(all.Entries)
			l.applyEntries(all)
			pool.UpdateEndpoints(all.Entries, true)
			var changes [2]endpointlist.List
			for i, state := range []balancer.EndpointState{balancer.Draining, balancer.Ready} {
				changed := all.Entries[servers/2]
				changed.State = state
				changes[i] = endpointlist.List{Version: 8, Entries: []endpointlist.Entry{changed}}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				news := changes[i%2]
				l.setStartTimes(news.Entries)
				if l.isUnchanged(news) {
					b.Fatal("no change")
				}
				l.applyEntries(news)
				pool.UpdateEndpoints(news.Entries, false)
			}
		})
	}
}

// A malformed list is discarded completely, and the complete list is requested.
func TestMalformedListIsDiscarded(t *testing.T) {
	for _, bad := range []string{
		"", "{", "[]", `{"rev":2,"targets":[]}`, `{"all":true,"targets":[]}`,
		`{"rev":2,"all":true,"targets":[` + testutil.ListEntry("s1", "127.0.0.1:1", "in_service") + `,` + testutil.ListEntry("s2", "name:80", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[` + testutil.ListEntry("s1", "127.0.0.1:1", "asleep") + `]}`,
		`{"rev":2,"all":true,"targets":[` + testutil.ListEntry("", "127.0.0.1:1", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[` + testutil.ListEntry("s1", "127.0.0.1:1", "in_service") + `,` + testutil.ListEntry("s1", "127.0.0.1:2", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[{"uid":"s1","endpoint":"127.0.0.1:1","state":"in_service","boot_ms":-1}]}`,
	} {
		if l, err := endpointlist.Parse([]byte(bad)); err == nil || l.Entries != nil {
			t.Errorf("%q: %v, %v", bad, l, err)
		}
	}
	s := testutil.NewServer(t, testutil.Echo)
	ag := testutil.NewRegistryAgent(t)
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	ag.Set(false, testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service")))
	n, _ := startNode(t, cfg, nil)
	for testutil.Wait(t, ag.Calls, "the watch for changes") == "" {
	}
	ag.Set(false, `{"rev":%d,"all":true,"targets":[`+testutil.ListEntry("s1", s.Address(), "terminated")+`,{"uid":""}]}`)
	if q := testutil.Wait(t, ag.Calls, "the call after the bad list"); q != "" {
		t.Errorf("called with %q, want the complete list", q)
	}
	c := dial(t, n)
	c.Get("r")
	c.Expect(t, 200, "for r")
}
