package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
	"basaltdrum/internal/upstream"
)

// BenchmarkListChange measures the node's own part of a change of one entry.
func BenchmarkListChange(b *testing.B) {
	for _, servers := range []int{100, 1600, 3200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			l := newSimulatedLoop(b, true)
			pool := upstream.NewPool(l.clock, 10, upstream.Timeouts{Connect: testutil.Timeout, Idle: time.Minute})
			all := parseList(b, testutil.LongList(servers, "", false))
			l.endpoints.SetStartTimes(all.Entries)
			l.endpoints.Apply(all)
			pool.UpdateEndpoints(all.Entries, true)
			var changes [2]endpointlist.List
			for i, state := range []balancer.EndpointState{balancer.Draining, balancer.Ready} {
				changed := all.Entries[servers/2]
				changed.State = state
				changes[i] = endpointlist.List{Version: 8, Entries: []endpointlist.Entry{changed}}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				change := changes[i%2]
				l.endpoints.SetStartTimes(change.Entries)
				if l.endpoints.IsUnchangedBy(change) {
					b.Fatal("no change")
				}
				l.endpoints.Apply(change)
				pool.UpdateEndpoints(change.Entries, false)
			}
		})
	}
}

// A malformed list is discarded completely, and the complete list is requested.
func TestMalformedListIsDiscarded(t *testing.T) {
	s1, bad := testutil.ListEntry("s1", "127.0.0.1:1", "in_service"), func(entries ...string) string {
		return strings.Replace(testutil.CompleteList(entries...), "%d", "2", 1)
	}
	for name, text := range map[string]string{
		"nothing":            "",
		"cut":                "{",
		"no object":          "[]",
		"no all":             `{"rev":2,"targets":[]}`,
		"no rev":             `{"all":true,"targets":[]}`,
		"a name for address": bad(s1, testutil.ListEntry("s2", "name:80", "in_service")),
		"an unknown state":   bad(testutil.ListEntry("s1", "127.0.0.1:1", "asleep")),
		"no uid":             bad(testutil.ListEntry("", "127.0.0.1:1", "in_service")),
		"a uid twice":        bad(s1, testutil.ListEntry("s1", "127.0.0.1:2", "in_service")),
		"a negative start":   bad(`{"uid":"s1","endpoint":"127.0.0.1:1","state":"in_service","boot_ms":-1}`),
	} {
		if l, err := endpointlist.Parse([]byte(text)); err == nil || l.Entries != nil {
			t.Errorf("%s: %v, %v", name, l, err)
		}
	}
	s := testutil.NewServer(t, testutil.Echo)
	agent := testutil.NewRegistryAgent(t)
	list := testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))
	cfg := testConfig(list)
	cfg.Discovery = agent.Addr().String()
	agent.Set(false, list)
	n, _ := startNode(t, cfg, nil)
	for testutil.Wait(t, agent.Queries, "the watch for changes") == "" {
	}
	agent.Set(false, testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "terminated"), `{"uid":""}`))
	if query := testutil.Wait(t, agent.Queries, "the call after the bad list"); query != "" {
		t.Errorf("called with %q, want the complete list", query)
	}
	c := dial(t, n)
	c.SendGet("r")
	c.Expect(t, 200, "for r")
}
