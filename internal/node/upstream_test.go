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
	t.Parallel()
	server := testutil.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "break") {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		return testutil.RespondOK(c, "")
	})
	n, _ := startNode(t, configWithServers(server), nil)
	c := dial(t, n)
	for i := range 2 {
		c.Send("POST", "/note/k", fmt.Sprint("first-", i), "x", "60")
		c.Expect(t, http.StatusOK, "")
		c.Send("POST", "/note/k", fmt.Sprint("break-", i), "x", "60")
		c.Expect(t, http.StatusBadGateway, "")
		if received := server.RequestCount(); received != 2*(i+1) {
			t.Fatalf("%d requests reached the server, want %d", received, 2*(i+1))
		}
	}
}

// An attempt at a server that never responds ends by its timeout. A non-idempotent request may have run and fails;
// an idempotent one is rejected with Retry-After.
func TestUnresponsiveServerTimesOut(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 2)
	server := testutil.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		c.Read(make([]byte, 1)) // until the node closes the connection
		closed <- struct{}{}
		return false
	})
	cfg := configWithServers(server)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = 300 * time.Millisecond
	}
	n, _ := startNode(t, cfg, nil)
	c := dial(t, n)
	c.Send("POST", "/note/k", "unsafe", "x", "20")
	c.Expect(t, http.StatusBadGateway, "") // it may have run: it is not rejected
	testutil.Wait(t, closed, "the close")
	c.SendGet("safe")
	r, _ := c.Response(t)
	if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
	}
	testutil.Wait(t, closed, "the close")
	if received := server.RequestCount(); received != 2 {
		t.Errorf("%d requests were sent, want 2", received)
	}
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	t.Parallel()
	const requests = 50
	closed := make(chan struct{}, requests)
	server := testutil.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		testutil.RespondOK(c, "ok") // without "Connection: close"
		c.Close()
		closed <- struct{}{}
		return false
	})
	n, _ := startNode(t, configWithServers(server), nil)
	c := dial(t, n)
	for i := range requests {
		c.Send("POST", "/note/k", fmt.Sprint("n", i), "x", "60")
		c.Expect(t, http.StatusOK, "ok")
		testutil.Wait(t, closed, "the close")
	}
	if server.RequestCount() != requests || server.ConnCount() != requests {
		t.Errorf("%d requests on %d connections, want %d on as many",
			server.RequestCount(), server.ConnCount(), requests)
	}
}

// A new server at the address of one that was removed does not inherit its connections, nor does a restarted one:
// whatever is still to come on them belongs to the old instance.
func TestConnectionsBelongToOneInstanceOfAServer(t *testing.T) {
	t.Parallel()
	server, received, release := testutil.NewHoldingServer(t, "held")
	var lists listRecorder
	n, _ := startNode(t, configWithServers(server), lists.record)
	held, c := dial(t, n), dial(t, n)
	held.SendGet("held")
	testutil.Wait(t, received, "the attempt")
	c.SendGet("one")
	c.Expect(t, http.StatusOK, "for one")

	// applyList waits until the entry is applied, and returns how many connections the server had before.
	applyList := func(entry string) int {
		list := listOf(t, true, entry)
		want := list.Entries[0] // copied before the loop, which sets its start time, owns the list
		n.loop.post(listReceived{list})
		before := server.ConnCount()
		lists.until(t, "s2", func(got endpointlist.Entry) bool {
			got.StartedAt = 0 // set by the loop
			return got == want
		})
		return before
	}
	// expectNewConn checks that a request opens one connection.
	expectNewConn := func(id string, before int) {
		c.SendGet(id)
		c.Expect(t, http.StatusOK, "for "+id)
		if accepted := server.ConnCount(); accepted != before+1 {
			t.Errorf("%s: %d connections after %d, want one more", id, accepted, before)
		}
	}
	entry := testutil.ListEntry("s2", server.Address(), "in_service")
	before := applyList(entry)
	release() // a connection that was busy when its server was replaced
	held.Expect(t, http.StatusOK, "for held")
	expectNewConn("replaced", before)
	expectNewConn("restarted", applyList(strings.Replace(entry, `"boot_ms":0`, `"boot_ms":5`, 1)))
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	draining, other := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	agent := testutil.NewRegistryAgent(t)
	cfg := configWithServers(draining, other)
	cfg.Discovery = agent.Addr().String()
	n, _ := startNode(t, cfg, nil)
	c, sent := dial(t, n), 0
	get := func() {
		sent++
		c.SendGet(fmt.Sprint("r", sent))
		c.Expect(t, http.StatusOK, fmt.Sprint("for r", sent))
	}
	for draining.RequestCount() == 0 || other.RequestCount() == 0 {
		get()
	}
	for _, state := range []string{"terminating", "terminated"} {
		entry := testutil.ListEntry("s1", draining.Address(), state)
		agent.Set(false, `{"rev":%d,"all":false,"targets":[`+entry+`]}`)
		next := fmt.Sprint("from=", agent.Version())
		for !strings.Contains(testutil.Wait(t, agent.Queries, "the next watch"), next) {
		}
		testutil.Until(t, "the connections to the server to be closed, and no others", func() bool {
			stats := n.upstream.Stats()
			return stats.Idle == other.ConnCount() && stats.Open == stats.Idle
		})
		before := draining.RequestCount()
		for range 30 {
			get()
		}
		if received := draining.RequestCount(); received != before {
			t.Errorf("%s: %d requests reached the server", state, received-before)
		}
	}
}

// The client gets the body unchanged, and an error where the end was a reset.
func TestResponseWithoutALengthIsForwarded(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, _ string) bool {
		id := r.Header.Get("X-Request-Id")
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\nfor %s\r\n\x00", id)
		if id == "reset" {
			conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	n, _ := startNode(t, configWithServers(server), nil)
	c := dial(t, n)
	for i := range 3 {
		id := fmt.Sprint("n", i)
		c.Send("POST", "/note/k", id, "x", "60")
		r, body := c.Response(t)
		want := "for " + id + "\r\n\x00"
		if r.StatusCode != http.StatusOK || body != want || r.Header.Get("Content-Type") != "a/b" {
			t.Errorf("got %d %q, %v; want 200 %q", r.StatusCode, body, r.Header, want)
		}
	}
	c.Send("POST", "/note/k", "reset", "x", "60")
	c.Expect(t, http.StatusBadGateway, "")
	if server.RequestCount() != 4 || server.ConnCount() != 4 {
		t.Errorf("%d requests on %d connections, want 4 on 4", server.RequestCount(), server.ConnCount())
	}
}
