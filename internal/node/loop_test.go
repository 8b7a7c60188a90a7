package node

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"testing"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
)

// A complete list that does not change the cached one is not passed to the module, which would select its subset again
// and open connections unnecessarily.
func TestUnchangedCompleteListIsNotPassedToTheModule(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", server.Address(), "in_service")))
	n, err := New(cfg, testutil.DiscardLog())
	if err != nil {
		t.Fatal(err)
	}
	defer n.listener.Close()
	n.loop.handleEvent(discoveryUnresponsive{})
	updates := 0
	n.loop.hooks.UpdateEndpoints = func([]endpointlist.Entry, bool) { updates++ }
	for _, row := range []struct {
		name    string
		entries []string
		want    int // number of lists passed on so far
	}{
		{"the same", []string{testutil.ListEntry("s1", server.Address(), "in_service")}, 0},
		{"another state", []string{testutil.ListEntry("s1", server.Address(), "terminating")}, 1},
		{"another address", []string{testutil.ListEntry("s1", "127.0.0.1:1", "in_service")}, 2},
		{"empty", nil, 3},
	} {
		if n.loop.handleEvent(listReceived{listOf(t, true, row.entries...)}); updates != row.want {
			t.Errorf("%s: got %d lists passed on, want %d", row.name, updates, row.want)
		}
	}
}

// A node is ready as long as a ready server is listed, after any sequence of complete lists and changes.
func TestReadinessFollowsTheLists(t *testing.T) {
	draws := rand.New(rand.NewPCG(1, 2))
	loop, states := newSimulatedLoop(t, true), map[string]string{}
	for i := range 500 {
		complete := draws.IntN(10) == 0
		if complete {
			clear(states)
		}
		var entries []string
		for s := range 3 {
			uid, state := fmt.Sprint("s", s), []string{"in_service", "terminating", "terminated", ""}[draws.IntN(4)]
			if state != "" && !(complete && state == "terminated") {
				entries, states[uid] = append(entries, testutil.ListEntry(uid, "127.0.0.1:1", state)), state
			}
		}
		loop.receive(complete, entries...)
		want := slices.Contains(slices.Collect(maps.Values(states)), "in_service")
		if got := loop.ready.Load(); got != want {
			t.Fatalf("list %d: got ready %v, want %v with states %v", i, got, want, states)
		}
	}
}

// The cached list, which is large, is released once a list was received.
func TestCachedListIsReleased(t *testing.T) {
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
	n, err := New(cfg, testutil.DiscardLog())
	if err != nil {
		t.Fatal(err)
	}
	defer n.listener.Close()
	n.Reload(cfg)
	n.loop.handleEvent(listReceived{listOf(t, true, testutil.ListEntry("s2", "127.0.0.1:1", "in_service"))})
	if n.cfg.CachedList != nil || n.loop.cachedList.Entries != nil {
		t.Errorf("got cached lists %s in the configuration and %v in the loop, want none",
			n.cfg.CachedList, n.loop.cachedList)
	}
}

// Clients, requests and servers that come and go do not leave state behind.
func TestStateStaysBounded(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	n, _ := startNode(
		t, testConfig(testutil.CompleteList(testutil.ListEntry("s0", server.Address(), "in_service"))), nil,
	)
	round := func(i int) {
		list := endpointlist.List{
			Complete: true, Version: int64(i), Entries: []endpointlist.Entry{{Address: server.Address()}},
		}
		list.Entries[0].ID = fmt.Sprint("s", i)
		n.loop.post(listReceived{list})
		client := dial(t, n)
		client.SendGet(fmt.Sprint("r-", i))
		client.Expect(t, http.StatusOK, "")
		client.Close()
	}
	for i := range 50 {
		round(i)
	}
	before := runtime.NumGoroutine()
	for i := range 300 {
		round(50 + i)
	}
	testutil.Until(t, "the state of what was removed to be released", func() bool {
		pool := n.upstream.Stats()
		return n.frontend.conns.Count() == 0 &&
			pool.Endpoints == 1 && pool.IdleInstances <= 1 && pool.Open <= 1 &&
			runtime.NumGoroutine() <= before+5
	})
}

// A request whose response is due is answered once, and counted in the traffic line. An event about another request
// with the same ID changes nothing.
func TestRequestWhoseResponseIsDueIsAnsweredOnce(t *testing.T) {
	loop := newSimulatedLoop(t, true)
	now := loop.clock.Now()
	received, responses := NewRequestEvent("r", "view", now, now+testutil.Timeout)
	other, _ := NewRequestEvent("r", "view", now, now+testutil.Timeout)
	loop.handleEvent(received)
	loop.handleEvent(responseDue{request: other.(requestReceived).request, at: now})
	if len(responses) > 0 || loop.traffic.AnsweredEarly > 0 {
		t.Fatalf("got %d responses and a count of %d, want neither yet", len(responses), loop.traffic.AnsweredEarly)
	}
	for range 2 {
		loop.handleEvent(responseDue{request: received.(requestReceived).request, at: now})
	}
	if got := testutil.Wait(t, responses, "the response"); got.Kind != ResponseRejected {
		t.Errorf("got a response that is %v, want %v", got.Kind, ResponseRejected)
	}
	if len(responses) > 0 || loop.traffic.AnsweredEarly != 1 {
		t.Errorf("got %d more responses and a count of %d, want 0 and 1", len(responses), loop.traffic.AnsweredEarly)
	}
}
