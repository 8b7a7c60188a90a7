package node

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
)

// A reused connection that breaks under a request may have carried it. Neither the node nor a library below it may
// send the request again, whatever its method or headers.
func TestNonIdempotentRequestIsNotRetriedAfterAReset(t *testing.T) {
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "break") {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		return testutil.ReplyOK(c, "")
	})
	n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), nil)
	c := dial(t, n)
	for i := range 2 {
		c.Send("POST", "/note/k", fmt.Sprint("first-", i), "x", "60")
		c.Expect(t, 200, "")
		id := fmt.Sprint("break-", i)
		c.Send("POST", "/note/k", id, "x", "60")
		c.Expect(t, http.StatusBadGateway, "")
		if s.Received() != 2*(i+1) {
			t.Fatalf("%d requests reached the server, want %d", s.Received(), 2*(i+1))
		}
	}
}

// An attempt at a server that never answers ends by its timeout. A non-idempotent request may have run and fails;
// an idempotent one is rejected with Retry-After.
func TestUnresponsiveServerTimesOut(t *testing.T) {
	closedAt := make(chan struct{}, 2)
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		c.Read(make([]byte, 1)) // says nothing until the node closes
		closedAt <- struct{}{}
		return false
	})
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service")))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = 300 * time.Millisecond
	}
	n, _ := startNode(t, cfg, nil)
	c := dial(t, n)
	c.Send("POST", "/note/k", "unsafe", "x", "20")
	c.Expect(t, http.StatusBadGateway, "") // it may have run: no refusal
	testutil.Wait(t, closedAt, "the close")
	c.Get("safe")
	r, _ := c.Response(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
	}
	testutil.Wait(t, closedAt, "the close")
	if s.Received() != 2 {
		t.Errorf("%d requests were sent, want 2", s.Received())
	}
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	closing := make(chan struct{}, 100)
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		testutil.ReplyOK(c, "ok") // keeps alive, as far as the node can tell
		c.Close()
		closing <- struct{}{}
		return false
	})
	n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), nil)
	c := dial(t, n)
	for i := range 50 {
		c.Send("POST", "/note/k", fmt.Sprint("n", i), "x", "60")
		c.Expect(t, 200, "ok")
		testutil.Wait(t, closing, "the close")
	}
	if s.Received() != 50 || s.Accepted() != 50 {
		t.Errorf("%d requests on %d connections, want 50 on 50", s.Received(), s.Accepted())
	}
}

// A new server at the address of one that was removed does not inherit its connections, nor does a restarted one:
// whatever is still to come on them belongs to the old instance.
func TestConnectionsBelongToOneInstanceOfAServer(t *testing.T) {
	s, got, release := testutil.NewHoldingServer(t, "held")
	var lists listRecorder
	n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), lists.record)
	held, c := dial(t, n), dial(t, n)
	held.Get("held")
	testutil.Wait(t, got, "the attempt")
	c.Get("one")
	c.Expect(t, 200, "for one")
	for i, next := range []string{
		testutil.ListEntry("s2", s.Address(), "in_service"),
		strings.Replace(testutil.ListEntry("s2", s.Address(), "in_service"), `"boot_ms":0`, `"boot_ms":5`, 1),
	} {
		l := listOf(t, true, next)
		want := l.Entries[0] // copied before the loop, which sets its start time, owns the list
		n.loop.post(listReceived{l})
		before := s.Accepted()
		lists.until(t, "s2", func(got endpointlist.Entry) bool {
			got.StartedAt = 0 // set by the loop
			return got == want
		})
		if i == 0 { // a connection that was busy when the server went
			release()
			held.Expect(t, 200, "for held")
		}
		c.Get(fmt.Sprint("next-", i))
		c.Expect(t, 200, fmt.Sprint("for next-", i))
		if s.Accepted() != before+1 {
			t.Errorf("life %d: %d connections after %d, want one more", i, s.Accepted(), before)
		}
	}
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	a, b := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	ag := testutil.NewRegistryAgent(t)
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", a.Address(), "in_service"), testutil.ListEntry("s2", b.Address(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, nil)
	c := dial(t, n)
	i := 0
	ask := func() {
		i++
		c.Get(fmt.Sprint("r", i))
		c.Expect(t, 200, fmt.Sprint("for r", i))
	}
	for a.Received() == 0 || b.Received() == 0 {
		ask()
	}
	for _, state := range []string{"terminating", "terminated"} {
		ag.Set(false, `{"rev":%d,"all":false,"targets":[`+testutil.ListEntry("s1", a.Address(), state)+`]}`)
		for version := ag.Version(); !strings.Contains(testutil.Wait(t, ag.Calls, "the next watch"), fmt.Sprint("from=", version)); {
		}
		testutil.Until(t, "the connections to the server to be closed, and no others", func() bool {
			pool := n.upstream.Stats()
			return pool.Idle == b.Accepted() && pool.Open == pool.Idle
		})
		before := a.Received()
		for range 30 {
			ask()
		}
		if a.Received() != before {
			t.Errorf("%s: %d requests reached the server", state, a.Received()-before)
		}
	}
}

// The client gets the body unchanged, and an error where the end was a reset.
func TestResponseWithoutALengthIsForwarded(t *testing.T) {
	s := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\nfor %s\r\n\x00", r.Header.Get("X-Request-Id"))
		if r.Header.Get("X-Request-Id") == "reset" {
			conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), nil)
	c := dial(t, n)
	for i := range 3 {
		id := fmt.Sprint("n", i)
		c.Send("POST", "/note/k", id, "x", "60")
		r, body := c.Response(t)
		if want := "for " + id + "\r\n\x00"; r.StatusCode != 200 || body != want || r.Header.Get("Content-Type") != "a/b" {
			t.Errorf("got %d %q, %v; want 200 %q", r.StatusCode, body, r.Header, want)
		}
	}
	c.Send("POST", "/note/k", "reset", "x", "60")
	c.Expect(t, http.StatusBadGateway, "")
	if s.Received() != 4 || s.Accepted() != 4 {
		t.Errorf("%d requests on %d connections, want 4 on 4", s.Received(), s.Accepted())
	}
}
