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

// BenchmarkListChange measures the work of the node, without the decision module, for a change of one list entry.
func BenchmarkListChange(b *testing.B) {
	for _, servers := range []int{100, 1600, 3200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			loop := newSimulatedLoop(b, true)
			pool := upstream.NewPool(loop.clock, 10, upstream.Timeouts{Connect: testutil.Timeout, Idle: time.Minute})
			all := parseList(b, testutil.LongList(servers, "", false))
			loop.endpoints.SetStartTimes(all.Entries)
			loop.endpoints.Apply(all)
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
				loop.endpoints.SetStartTimes(change.Entries)
				if loop.endpoints.IsUnchangedBy(change) {
					b.Fatal("got an unchanged list, want a change")
				}
				loop.endpoints.Apply(change)
				pool.UpdateEndpoints(change.Entries, false)
			}
		})
	}
}

// A malformed list is discarded as a whole, and the complete list is requested.
func TestMalformedListIsDiscarded(t *testing.T) {
	s1, listText := testutil.ListEntry("s1", "127.0.0.1:1", "in_service"), func(entries ...string) string {
		return strings.Replace(testutil.CompleteList(entries...), "%d", "2", 1)
	}
	for name, text := range map[string]string{
		"empty text":         "",
		"truncated":          "{",
		"not an object":      "[]",
		"no all":             `{"rev":2,"targets":[]}`,
		"no rev":             `{"all":true,"targets":[]}`,
		"a name for address": listText(s1, testutil.ListEntry("s2", "name:80", "in_service")),
		"an unknown state":   listText(testutil.ListEntry("s1", "127.0.0.1:1", "asleep")),
		"no uid":             listText(testutil.ListEntry("", "127.0.0.1:1", "in_service")),
		"a uid twice":        listText(s1, testutil.ListEntry("s1", "127.0.0.1:2", "in_service")),
		"a negative start":   listText(`{"uid":"s1","endpoint":"127.0.0.1:1","state":"in_service","boot_ms":-1}`),
	} {
		if list, err := endpointlist.Parse([]byte(text)); err == nil || list.Entries != nil {
			t.Errorf("%s: got list %v, error %v; want an empty list and an error", name, list, err)
		}
	}
	server := testutil.NewServer(t, testutil.Echo)
	agent := testutil.NewRegistryAgent(t)
	list := testutil.CompleteList(testutil.ListEntry("s1", server.Address(), "in_service"))
	cfg := testConfig(list)
	cfg.Discovery = agent.Addr().String()
	agent.Set(false, list)
	n, _ := startNode(t, cfg, nil)
	for testutil.Wait(t, agent.Queries, "the watch for changes") == "" {
	}
	agent.Set(false, testutil.CompleteList(testutil.ListEntry("s1", server.Address(), "terminated"), `{"uid":""}`))
	if query := testutil.Wait(t, agent.Queries, "the call after the malformed list"); query != "" {
		t.Errorf("got query %q, want an empty one for the complete list", query)
	}
	client := dial(t, n)
	client.SendGet("r")
	client.Expect(t, 200, "for r")
}
