package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
)

// heldCall is a call at a slowRegistry, which responds when the test says so.
type heldCall struct {
	query   string
	respond chan string     // the body of the response
	ended   <-chan struct{} // closed once the client has given the call up
}

// slowRegistry is a registry that holds each call until the test responds to it.
type slowRegistry struct {
	address string
	calls   chan *heldCall
}

func newSlowRegistry(t *testing.T) *slowRegistry {
	t.Helper()
	r := &slowRegistry{calls: make(chan *heldCall, 100)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		k := &heldCall{request.URL.RawQuery, make(chan string, 1), request.Context().Done()}
		r.calls <- k
		select {
		case body := <-k.respond:
			io.WriteString(w, body)
		case <-k.ended:
		}
	}))
	t.Cleanup(server.Close)
	r.address = strings.TrimPrefix(server.URL, "http://")
	return r
}

// completeList returns the complete list of a version, whose only server is named after it.
func completeList(version int) string {
	return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, version, versionEntry(version))
}

// changedList returns the changes up to a version, with the entry of one server.
func changedList(version int) string {
	return fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, version, versionEntry(version))
}

func versionEntry(version int) string {
	return testutil.ListEntry(fmt.Sprint("s", version), "127.0.0.1:1", "in_service")
}

// slowWatch is a client of a slowRegistry, whose calls become overdue when the test says so.
type slowWatch struct {
	*slowRegistry
	client  *Client
	reports recorder
	overdue chan time.Time
	waited  chan time.Time // ends a wait for the next call
	stop    func()
}

// startSlowWatch starts a watch that has the list of a version.
func startSlowWatch(t *testing.T, version int64) *slowWatch {
	t.Helper()
	registry := newSlowRegistry(t)
	c, reports := newClient(t, Config{Address: registry.address, Polled: true, Version: version})
	w := &slowWatch{registry, c, reports, make(chan time.Time), make(chan time.Time), nil}
	c.Hold = testutil.Timeout // no call ends by its time limit
	c.overdueAfter = func(time.Duration) <-chan time.Time { return w.overdue }
	c.After = func(time.Duration) <-chan time.Time { return w.waited }
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.Run(ctx)
	}()
	w.stop = func() {
		cancel()
		testutil.Wait(t, stopped, "the client to stop")
	}
	t.Cleanup(w.stop)
	c.Subscribe()
	return w
}

// call waits for the next call at the registry, and checks the version that it asks from.
func (w *slowWatch) call(t *testing.T, from string) *heldCall {
	t.Helper()
	k := testutil.Wait(t, w.calls, "a call")
	if !strings.HasPrefix(k.query, from) || from == "" && k.query != "" {
		t.Errorf("called with query %q, want %q", k.query, from)
	}
	return k
}

// replaceOverdue makes the call that is under way overdue, subscribes again and returns the call beside it, which asks
// from version 4 again.
func (w *slowWatch) replaceOverdue(t *testing.T) *heldCall {
	t.Helper()
	w.overdue <- time.Time{}
	w.expect(t, failed, "")
	w.waited <- time.Time{}
	w.client.Subscribe()
	return w.call(t, "from=4&")
}

// expect checks the next report, and the name of the only entry if it is a list.
func (w *slowWatch) expect(t *testing.T, kind reportKind, entry string) {
	t.Helper()
	got := testutil.Wait(t, w.reports, "a report")
	if got.kind != kind || entry != "" && (len(got.list.Entries) != 1 || got.list.Entries[0].ID != entry) {
		t.Errorf("got report %+v, want %q %s", got, kind, entry)
	}
}

// expectNothing checks that nothing was reported. A call that the client has made since then shows that it has handled
// everything before.
func (w *slowWatch) expectNothing(t *testing.T) {
	t.Helper()
	select {
	case got := <-w.reports:
		t.Errorf("got report %+v, want none", got)
	default:
	}
}

// The response to an overdue call is used, and the next call follows without another subscription. A client that gave
// such calls up never heard from a registry whose responses take longer: it sent to a draining server for as long as
// the registry was slow.
func TestResponseToAnOverdueCallIsUsed(t *testing.T) {
	w := startSlowWatch(t, NoVersion)
	k := w.call(t, "")
	w.overdue <- time.Time{}
	w.expect(t, failed, "")
	k.respond <- completeList(5)
	w.expect(t, received, "s5")
	next := w.call(t, "from=5&")
	next.respond <- changedList(6)
	w.expect(t, received, "s6")
	w.call(t, "from=6&")
}

// An overdue call is replaced by another one beside it, as it may be lost; whichever is answered is used.
func TestOverdueCallIsReplacedBesideIt(t *testing.T) {
	for _, lateFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("the late call is answered first: ", lateFirst), func(t *testing.T) {
			w := startSlowWatch(t, 4)
			late := w.call(t, "from=4&")
			newest := w.replaceOverdue(t)
			if lateFirst {
				late.respond <- changedList(5)
				w.expect(t, received, "s5")
				newest.respond <- changedList(6) // since version 4
				w.expect(t, received, "s6")
			} else {
				newest.respond <- changedList(6)
				w.expect(t, received, "s6")
			}
			w.call(t, "from=6&")
		})
	}
}

// An older response that comes later changes nothing, whether it is complete or not. It does not take back the version
// either.
func TestOlderResponseChangesNothing(t *testing.T) {
	for name, older := range map[string]string{
		"changes": changedList(5), "the same version": changedList(6), "complete": completeList(5),
	} {
		t.Run(name, func(t *testing.T) {
			w := startSlowWatch(t, 4)
			late := w.call(t, "from=4&")
			newest := w.replaceOverdue(t)
			newest.respond <- changedList(6)
			w.expect(t, received, "s6")
			next := w.call(t, "from=6&")
			late.respond <- older
			<-late.ended
			next.respond <- changedList(7)
			w.expect(t, received, "s7")
			w.call(t, "from=7&")
			w.expectNothing(t)
		})
	}
}

// If the registry's versions start again, the complete list of the new ones is used, and a late call, which was made
// for the old ones, is ended.
func TestVersionsThatStartAgainEndTheLateCall(t *testing.T) {
	w := startSlowWatch(t, 4)
	late := w.call(t, "from=4&")
	newest := w.replaceOverdue(t)
	newest.respond <- completeList(1)
	w.expect(t, received, "s1")
	testutil.Wait(t, late.ended, "the end of the late call")
	w.call(t, "from=1&")
}

// At most two calls are under way: when the second one is overdue, the first one is ended.
func TestAtMostTwoCallsAreUnderWay(t *testing.T) {
	w := startSlowWatch(t, 4)
	first := w.call(t, "from=4&")
	second := w.replaceOverdue(t)
	third := w.replaceOverdue(t)
	testutil.Wait(t, first.ended, "the end of the first call")
	second.respond <- changedList(5)
	w.expect(t, received, "s5")
	third.respond <- changedList(6)
	w.expect(t, received, "s6")
	w.call(t, "from=6&")
}

// Both calls end when the watch moves to another address, and when the client stops.
func TestBothCallsEndWithTheWatch(t *testing.T) {
	for _, moves := range []bool{true, false} {
		t.Run(fmt.Sprint("moves ", moves), func(t *testing.T) {
			w := startSlowWatch(t, 4)
			late := w.call(t, "from=4&")
			newest := w.replaceOverdue(t)
			if moves {
				other := newSlowRegistry(t)
				w.client.SetAddress(other.address)
				testutil.Wait(t, other.calls, "the call at the other address")
			} else {
				w.stop()
			}
			testutil.Wait(t, late.ended, "the end of the late call")
			testutil.Wait(t, newest.ended, "the end of the newest call")
		})
	}
}

// The response to a call that takes up to maxResponseTime, and the hold of the registry, comes before the call is given
// up. A late call is given up when the one beside it is overdue, too.
func TestCallsLastAsLongAsASlowRegistryTakes(t *testing.T) {
	c, _ := newClient(t, Config{Address: "127.0.0.1:1", Polled: true})
	if shortest := 2*(c.Hold+c.Grace) + retryInterval; shortest < maxResponseTime {
		t.Errorf("a late call is given up after %v, want at least %v", shortest, maxResponseTime)
	}
	// A change just after the response to a call is in the response to the next one.
	if longest := minPollInterval + maxResponseTime; longest >= NotificationDeadline {
		t.Errorf("a change is received after %v, want less than %v", longest, NotificationDeadline)
	}
}

// A list is outdated if another call has brought its version or a newer one in the meantime.
func TestOutdatedListIsNotAccepted(t *testing.T) {
	const last = 3 // number of the latest call whose response was accepted
	for _, test := range []struct {
		name     string
		call     call  // with its number, and the version that it asked from
		version  int64 // of the list that the node has
		list     endpointlist.List
		outdated bool
	}{
		{"changes to the list", call{number: 4, from: 5}, 5, endpointlist.List{Version: 6}, false},
		{"no change", call{number: 4, from: 5}, 5, endpointlist.List{Version: 5}, false},
		{"a newer list of a late call", call{number: 2, from: 4}, 5, endpointlist.List{Version: 6}, false},
		{"the same list of a late call", call{number: 2, from: 4}, 5, endpointlist.List{Version: 5}, true},
		{"an older list of a late call", call{number: 2, from: 3}, 5, endpointlist.List{Version: 4}, true},
		{"an older complete list of a late call", call{number: 2, from: 3}, 5, wholeList(4), true},
		{"a newer complete list of a late call", call{number: 2, from: 3}, 5, wholeList(6), false},
		{"what a late call has brought", call{number: 4, from: 4}, 5, endpointlist.List{Version: 5}, true},
		{"versions that start again", call{number: 4, from: 5}, 5, wholeList(1), false},
		{"the same, after a late call's list", call{number: 4, from: 4}, 5, wholeList(1), false},
		{"the same, from a late call", call{number: 2, from: 4}, 5, wholeList(1), true},
		{"the first list", call{number: 4, from: NoVersion}, NoVersion, wholeList(1), false},
		{"the first list once more", call{number: 4, from: NoVersion}, 5, wholeList(5), true},
		{"changes after a malformed list", call{number: 2, from: 4}, NoVersion, endpointlist.List{Version: 6}, true},
		{"a complete list after a malformed one", call{number: 2, from: 4}, NoVersion, wholeList(6), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := &polledWatch{address: &registryAddress{version: test.version}, accepted: last}
			if got := w.isOutdated(&test.call, test.list); got != test.outdated {
				t.Errorf("got outdated %v, want %v", got, test.outdated)
			}
		})
	}
}

// wholeList returns a complete list of a version, without entries.
func wholeList(version int64) endpointlist.List {
	return endpointlist.List{Version: version, Complete: true}
}
