package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"testing"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
)

// A complete list that names what is cached already is not passed to the module: it would build its subset anew
// and open connections for nothing.
func TestUnchangedCompleteListChangesNothing(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	n, err := New(testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), testutil.DiscardLog())
	if err != nil {
		t.Fatal(err)
	}
	defer n.listener.Close()
	n.loop.handleEvent(discoveryUnresponsive{})
	told := 0
	n.loop.updateEndpoints = func([]endpointlist.Entry, bool) { told++ }
	for i, c := range []struct {
		entries []string
		want    int
	}{
		{[]string{testutil.ListEntry("s1", s.Address(), "in_service")}, 0},
		{[]string{testutil.ListEntry("s1", s.Address(), "terminating")}, 1},
		{[]string{testutil.ListEntry("s1", "127.0.0.1:1", "in_service")}, 2},
		{nil, 3},
	} {
		if n.loop.handleEvent(listReceived{listOf(t, true, c.entries...)}); told != c.want {
			t.Errorf("list %d: passed on %d times, want %d", i, told, c.want)
		}
	}
}

// A node is ready while a server is listed that it may forward to, whatever lists led to that.
func TestReadinessFollowsTheLists(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := bootLoop(t, newMachineClocks(), true)
	for i := range 500 {
		full := rng.IntN(10) == 0
		var entries []string
		for s := range 3 {
			state := []string{"in_service", "terminating", "terminated", ""}[rng.IntN(4)]
			if state != "" && !(full && state == "terminated") {
				entries = append(entries, testutil.ListEntry(fmt.Sprint("s", s), "127.0.0.1:1", state))
			}
		}
		l.handleEvent(listReceived{listOf(t, full, entries...)})
		want := false
		for _, held := range l.endpoints {
			want = want || held.State == balancer.Ready
		}
		if got := l.ready.Load(); got != want {
			t.Fatalf("list %d: ready: %v, want %v with %v", i, got, want, l.endpoints)
		}
	}
}

// The cached list of the configuration is long, and of no use once a list was received.
func TestCachedListIsReleased(t *testing.T) {
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
	n, err := New(cfg, testutil.DiscardLog())
	if err != nil {
		t.Fatal(err)
	}
	defer n.listener.Close()
	n.Reload(cfg)
	n.loop.handleEvent(listReceived{listOf(t, true, testutil.ListEntry("s2", "127.0.0.1:1", "in_service"))})
	if n.cfg.Known != nil || n.loop.cachedList.Entries != nil {
		t.Errorf("%s and %v are kept", n.cfg.Known, n.loop.cachedList)
	}
}

// Clients, requests and servers that are ever new leave no state behind.
func TestStateStaysBounded(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s0", s.Address(), "in_service"))), nil)
	round := func(i int) {
		l := endpointlist.List{Complete: true, Version: int64(i), Entries: []endpointlist.Entry{{Address: s.Address()}}}
		l.Entries[0].ID = fmt.Sprint("s", i)
		n.loop.post(listReceived{l})
		c := dial(t, n)
		c.Get(fmt.Sprint("r-", i))
		c.Expect(t, http.StatusOK, "")
		c.Close()
	}
	for i := range 50 {
		round(i)
	}
	before := runtime.NumGoroutine()
	for i := range 300 {
		round(50 + i)
	}
	testutil.Until(t, "all that has gone to be forgotten", func() bool {
		if n.frontend.conns.Count() > 0 {
			return false
		}
		b := n.upstream
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.endpoints) == 1 && len(b.idle) <= 1 && b.open <= 1 &&
			runtime.NumGoroutine() <= before+5
	})
}
