package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"basaltdrum/internal/downstream"
	"basaltdrum/internal/testutil"
)

// Beyond the limit on connections, idle ones are closed, and a request on a new one is rejected with Retry-After.
func TestDownstreamConnectionsBeyondTheLimit(t *testing.T) {
	t.Parallel()
	server, received, release := testutil.NewHoldingServer(t, "held")
	const maxRequests = 4
	n, _ := startNode(t, configWithServers(server), func(n *Node) {
		limits := downstreamLimits(n.cfg)
		limits.Descriptors, limits.UpstreamReserve, limits.GracePeriods.Idle = 2*maxRequests, maxRequests, 0
		n.frontend.conns.SetLimits(limits)
	})
	idle := dial(t, n)
	idle.SendGet("idle")
	idle.Expect(t, 200, "for idle")
	untilIdle(t, n)
	var held []*testutil.Client
	for i := range maxRequests {
		client := dial(t, n)
		client.SendGet(fmt.Sprint("held-", i))
		testutil.Wait(t, received, "an attempt")
		held = append(held, client)
	}
	testutil.ExpectClosed(t, idle.Reader, "the idle connection beyond the limit")
	excess := dial(t, n) // its request is read and rejected, never left unread
	excess.SendGet("over")
	response, _ := excess.Response(t)
	if response.StatusCode != 503 || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("got %d, Retry-After %q, close %v; want 503 with Retry-After and close",
			response.StatusCode, response.Header.Get("Retry-After"), response.Close)
	}
	release()
	for i, client := range held {
		client.Expect(t, 200, fmt.Sprint("for held-", i))
	}
}

// The client of each request that reaches a server gets a response, no matter how often idle connections are evicted in
// the meantime.
func TestNoRequestIsLostWhileIdleConnectionsAreEvicted(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	n, _ := startNode(t, configWithServers(server), func(n *Node) {
		limits := downstreamLimits(n.cfg)
		limits.Descriptors, limits.UpstreamReserve, limits.GracePeriods.Idle = 8, 4, 0
		n.frontend.conns.SetLimits(limits)
	})
	var answered sync.Map // ids of requests
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			callRepeatedly(t, n, fmt.Sprint("c", i), &answered)
		}()
	}
	callers.Wait()
	forwarded := server.RequestIDs()
	for _, id := range forwarded {
		if _, ok := answered.Load(id); !ok {
			t.Errorf("request %s was forwarded to the server, but its client got no response", id)
		}
	}
	if len(forwarded) == 0 {
		t.Error("got no request at the server, want at least one")
	}
}

// callRepeatedly sends requests, on a new connection after each close, and stores the IDs of those that were answered.
func callRepeatedly(t *testing.T, n *Node, name string, answered *sync.Map) {
	var client *testutil.Client
	for i := range 60 {
		if client == nil {
			conn, err := net.Dial("tcp", n.Addr())
			if err != nil {
				t.Error(err)
				return
			}
			conn.SetDeadline(time.Now().Add(2 * testutil.Timeout))
			client = &testutil.Client{Conn: conn, Reader: bufio.NewReader(conn)}
		}
		id := fmt.Sprintf("%s-%d", name, i)
		client.SendGet(id)
		response, _, err := client.ReadResponse()
		if err == nil {
			answered.Store(id, true)
		}
		if err != nil || response.Close {
			client.Close()
			client = nil
		}
	}
	if client != nil {
		client.Close()
	}
}

// Hundreds of connections that send nothing, a partial head or a partial body do not use capacity that another client
// needs: they are evicted first, before they time out, and that client is served.
func TestClientIsServedDespiteHundredsOfIncompleteRequests(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	cfg := configWithServers(server)
	cfg.Sockets = 256
	n, _ := startNode(t, cfg, func(n *Node) {
		n.frontend.server.ReadTimeout = 2 * testutil.Timeout // only eviction closes a connection
		limits := downstreamLimits(n.cfg)
		limits.GracePeriods = downstream.GracePeriods{Idle: testutil.Timeout}
		n.frontend.conns.SetLimits(limits)
	})
	const body = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\n" +
		"Content-Length: 9\r\n\r\nhal"
	// served sends a request, checks that it is served, and returns the connection for the next request, which is a new
	// one if the response closes the connection.
	served := func(client *testutil.Client, id string) *testutil.Client {
		client.SendGet(id)
		response, got := client.Response(t)
		if response.StatusCode != http.StatusOK || got != "for "+id {
			t.Fatalf("got %d %q, want %d for %s", response.StatusCode, got, http.StatusOK, id)
		}
		if response.Close {
			return dial(t, n)
		}
		return client
	}
	good := dial(t, n)
	for i := range 600 {
		bad := dial(t, n)
		io.WriteString(bad, []string{"", "GET /view/k HT", "GET /view/k HTTP/1.1\r\nX-", body}[i%4])
		if i%20 == 0 {
			good = served(good, fmt.Sprint("good-", i))
			served(dial(t, n), fmt.Sprint("fresh-", i)).Close()
		}
	}
	testutil.Until(t, "the other connections to be evicted", func() bool { return !n.frontend.conns.OverLimit() })
}

// Guards against clients whose requests are too long shutting out others (review/2): the connections of the former are
// closed to make room, and no longer count.
func TestTooLongRequestsLeaveRoomForOtherClients(t *testing.T) {
	t.Parallel()
	n, _ := startNode(t, configWithServers(testutil.NewServer(t, testutil.Echo)), func(n *Node) {
		limits := downstreamLimits(n.cfg)
		limits.Descriptors, limits.UpstreamReserve, limits.RejectReserve = 8, 4, 8
		limits.GracePeriods.Lingering = 0
		n.frontend.conns.SetLimits(limits)
	})
	for i := range 100 { // many more than the node has descriptors
		long := dial(t, n)
		fmt.Fprintf(long, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: long-%d\r\nX-Deadline: 60\r\n"+
			"Content-Length: 60000000\r\n\r\nthe first part", i)
		long.Expect(t, http.StatusRequestEntityTooLarge, "")
		testutil.ExpectClosed(t, long.Reader, "the sending side of the connection")
	}
	client := dial(t, n)
	client.SendGet("usual")
	client.Expect(t, http.StatusOK, "for usual")
}

// A complete request is served even if its connection is chosen for eviction just after its head was read or while it
// waits in the handler. A connection without a request is evicted instead, and the client's departure is still noticed.
// The read of a partial request is aborted.
func TestCompleteRequestIsServedDuringEviction(t *testing.T) {
	t.Parallel()
	for _, moment := range []string{"head read", "watched"} {
		for _, method := range []string{"GET", "POST"} {
			for _, id := range []string{"served", "leaving"} {
				t.Run(fmt.Sprint(moment, " ", method, " ", id), func(t *testing.T) {
					t.Parallel()
					completeDuringEviction(t, moment, method, id)
				})
			}
		}
	}
	t.Run("half a request", func(t *testing.T) {
		t.Parallel()
		half := dial(t, startFullNode(t, testutil.NewServer(t, testutil.Echo), "head read"))
		io.WriteString(half, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\n"+
			"Content-Length: 9\r\n\r\nhal")
		half.Expect(t, http.StatusBadRequest, "")
	})
}

// completeDuringEviction sends a complete request to a node that evicts at a moment of that request.
func completeDuringEviction(t *testing.T, moment, method, id string) {
	received, ended := make(chan struct{}), make(chan struct{})
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "served" {
			return testutil.Echo(conn, r, body)
		}
		close(received)
		conn.Read(make([]byte, 1)) // returns when the node closes the connection
		close(ended)
		return false
	})
	n := startFullNode(t, server, moment)
	client := dial(t, n)
	if method == http.MethodPost {
		client.Send(method, "/note/k", id, "body", "60")
	} else {
		client.SendGet(id)
	}
	if id == "leaving" {
		testutil.Wait(t, received, "the attempt")
		client.Close()
		testutil.Wait(t, ended, "the end of the attempt")
		return
	}
	if response, body := client.Response(t); response.StatusCode != http.StatusOK ||
		body != "for served" || response.Close {
		t.Fatalf("got %d %q, close %v; want it served and the connection kept",
			response.StatusCode, body, response.Close)
	}
	testutil.Until(t, "a connection without a request to be evicted", func() bool {
		return n.frontend.conns.Count() == fullNodeConns
	})
}

// fullNodeConns is the number of connections that the node of startFullNode may hold. It holds that many without a
// request.
const fullNodeConns = 5

// startFullNode starts a node that has no capacity for another connection. At the given moment of a request ("head
// read" or "watched") it evicts connections, those with a partial request first.
func startFullNode(t *testing.T, server *testutil.Server, moment string) *Node {
	t.Helper()
	cfg := withLongObjectives(configWithServers(server))
	cfg.Sockets = reservedDescriptors + fullNodeConns + 1 // one is reserved for the server
	n, _ := startNode(t, cfg, func(n *Node) {
		f := n.frontend
		f.server.ReadTimeout = 2 * testutil.Timeout // only eviction ends a read
		limits := downstreamLimits(cfg)
		limits.GracePeriods = evictNothing
		f.conns.SetLimits(limits)
		limits.GracePeriods = downstream.GracePeriods{Lingering: testutil.Timeout, Idle: testutil.Timeout}
		tightenLimits := func() { f.conns.SetLimits(limits) }
		if moment == "head read" {
			f.server.ConnState = func(conn net.Conn, state http.ConnState) {
				if f.conns.ConnStateChanged(conn, state); state == http.StateActive {
					tightenLimits()
				}
			}
			return
		}
		f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Body != http.NoBody { // the departure watch starts after the end of the body
				body, _ := io.ReadAll(r.Body)
				r.Body = io.NopCloser(bytes.NewReader(body))
			}
			downstream.FromContext(r.Context()).AwaitCaughtUp()
			tightenLimits()
			f.ServeHTTP(w, r)
		})
	})
	for range fullNodeConns {
		dial(t, n)
	}
	full := func() bool { return n.frontend.conns.Count() == fullNodeConns }
	testutil.Until(t, "the connections without a request to be accepted", full)
	return n
}
