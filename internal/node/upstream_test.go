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

// If a reused connection breaks during a request, the server may have received the request. Neither the node nor a
// library may send it again, with any method or headers.
func TestNonIdempotentRequestIsNotRetriedAfterAReset(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, _ string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "break") {
			conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		return testutil.RespondOK(conn, "")
	})
	n, _ := startNode(t, configWithServers(server), nil)
	client := dial(t, n)
	for i := range 2 {
		client.Send("POST", "/note/k", fmt.Sprint("first-", i), "x", "60")
		client.Expect(t, http.StatusOK, "")
		client.Send("POST", "/note/k", fmt.Sprint("break-", i), "x", "60")
		client.Expect(t, http.StatusBadGateway, "")
		if received := server.RequestCount(); received != 2*(i+1) {
			t.Fatalf("got %d requests at the server, want %d", received, 2*(i+1))
		}
	}
}

// An attempt at a server that never responds ends with its timeout. A non-idempotent request, which may have been
// executed, fails; an idempotent one is rejected with Retry-After.
func TestUnresponsiveServerTimesOut(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 2)
	server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		conn.Read(make([]byte, 1)) // returns when the node closes the connection
		closed <- struct{}{}
		return false
	})
	cfg := configWithServers(server)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = 300 * time.Millisecond
	}
	n, _ := startNode(t, cfg, nil)
	client := dial(t, n)
	client.Send("POST", "/note/k", "unsafe", "x", "20")
	client.Expect(t, http.StatusBadGateway, "") // it may have been executed: it is not rejected
	testutil.Wait(t, closed, "the close")
	client.SendGet("safe")
	response, _ := client.Response(t)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q; want 503 with Retry-After",
			response.StatusCode, response.Header.Get("Retry-After"))
	}
	testutil.Wait(t, closed, "the close")
	if received := server.RequestCount(); received != 2 {
		t.Errorf("got %d requests at the server, want 2", received)
	}
}

// A connection that the server has closed while it was idle is not used for the next request.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	t.Parallel()
	const requests = 50
	closed := make(chan struct{}, requests)
	server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		testutil.RespondOK(conn, "ok") // without "Connection: close"
		conn.Close()
		closed <- struct{}{}
		return false
	})
	n, _ := startNode(t, configWithServers(server), nil)
	client := dial(t, n)
	for i := range requests {
		client.Send("POST", "/note/k", fmt.Sprint("n", i), "x", "60")
		client.Expect(t, http.StatusOK, "ok")
		testutil.Wait(t, closed, "the close")
	}
	if server.RequestCount() != requests || server.ConnCount() != requests {
		t.Errorf("got %d requests on %d connections, want %d on as many",
			server.RequestCount(), server.ConnCount(), requests)
	}
}

// A new server at the address of a removed one, or a restarted server, does not get requests on the connections of the
// old instance: bytes that still arrive on them belong to that instance.
func TestConnectionsBelongToOneServerInstance(t *testing.T) {
	t.Parallel()
	server, received, release := testutil.NewHoldingServer(t, "held")
	var lists listRecorder
	n, _ := startNode(t, configWithServers(server), lists.record)
	held, client := dial(t, n), dial(t, n)
	held.SendGet("held")
	testutil.Wait(t, received, "the attempt")
	client.SendGet("one")
	client.Expect(t, http.StatusOK, "for one")

	// applyList passes a list with an entry to the node, waits until it is applied, and returns the number of
	// connections that the server had accepted before.
	applyList := func(entry string) int {
		list := listOf(t, true, entry)
		want := list.Entries[0] // copied before the loop owns the list and sets its start time
		n.loop.post(listReceived{list})
		before := server.ConnCount()
		lists.until(t, "s2", func(got endpointlist.Entry) bool {
			got.StartedAt = 0 // set by the loop
			return got == want
		})
		return before
	}
	// expectNewConn checks that a request opens one new connection.
	expectNewConn := func(id string, before int) {
		client.SendGet(id)
		client.Expect(t, http.StatusOK, "for "+id)
		if accepted := server.ConnCount(); accepted != before+1 {
			t.Errorf("%s: got %d connections after %d, want one more", id, accepted, before)
		}
	}
	entry := testutil.ListEntry("s2", server.Address(), "in_service")
	before := applyList(entry)
	release() // frees a connection that was busy when its server was replaced
	held.Expect(t, http.StatusOK, "for held")
	expectNewConn("replaced", before)
	expectNewConn("restarted", applyList(strings.Replace(entry, `"boot_ms":0`, `"boot_ms":5`, 1)))
}

// A draining or removed server gets no new requests, and its idle connections are closed.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	draining, other := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	agent := testutil.NewRegistryAgent(t)
	cfg := configWithServers(draining, other)
	cfg.Discovery = agent.Addr().String()
	n, _ := startNode(t, cfg, nil)
	client, sent := dial(t, n), 0
	get := func() {
		sent++
		client.SendGet(fmt.Sprint("r", sent))
		client.Expect(t, http.StatusOK, fmt.Sprint("for r", sent))
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
		testutil.Until(t, "only the connections to the draining server to be closed", func() bool {
			stats := n.upstream.Stats()
			return stats.Idle == other.ConnCount() && stats.Open == stats.Idle
		})
		before := draining.RequestCount()
		for range 30 {
			get()
		}
		if received := draining.RequestCount(); received != before {
			t.Errorf("%s: got %d requests at the server, want 0", state, received-before)
		}
	}
}

// A client gets the body of a response without a length unchanged, and status 502 if the response ended with a reset.
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
	client := dial(t, n)
	for i := range 3 {
		id := fmt.Sprint("n", i)
		client.Send("POST", "/note/k", id, "x", "60")
		response, body := client.Response(t)
		want := "for " + id + "\r\n\x00"
		if response.StatusCode != http.StatusOK || body != want || response.Header.Get("Content-Type") != "a/b" {
			t.Errorf("got %d %q, header %v; want 200 %q with Content-Type a/b",
				response.StatusCode, body, response.Header, want)
		}
	}
	client.Send("POST", "/note/k", "reset", "x", "60")
	client.Expect(t, http.StatusBadGateway, "")
	if server.RequestCount() != 4 || server.ConnCount() != 4 {
		t.Errorf("got %d requests on %d connections, want 4 on 4", server.RequestCount(), server.ConnCount())
	}
}
