package node

import (
	"fmt"
	"testing"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
)

// BenchmarkListChange measures the node's own part of a change of one entry.
func BenchmarkListChange(b *testing.B) {
	for _, servers := range []int{100, 1600, 3200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			l, back := bootLoop(b, newMachineClocks(), true), testPool(10)
			all := parsedList(b, testutil.LongList(servers, "", false))
			l.setStartTimes(all.Entries)
			l.applyEntries(all)
			back.updateEndpoints(all.Entries, true)
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
				back.updateEndpoints(news.Entries, false)
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
