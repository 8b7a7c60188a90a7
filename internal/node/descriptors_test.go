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

func TestDownstreamConnectionsBeyondTheBudget(t *testing.T) {
	t.Parallel()
	s, got, release := testutil.NewHoldingServer(t, "held")
	const most = 4
	n, _ := startNode(t, configWithServers(s), func(n *Node) {
		limits := downstreamLimits(n.cfg)
		limits.Descriptors, limits.UpstreamReserve, limits.GracePeriods.Idle = 2*most, most, 0
		n.frontend.conns.SetLimits(limits)
	})
	idle := dial(t, n)
	idle.SendGet("idle")
	idle.Expect(t, 200, "for idle")
	untilIdle(t, n)
	var held []*testutil.Client
	for i := range most {
		c := dial(t, n)
		c.SendGet(fmt.Sprint("held-", i))
		testutil.Wait(t, got, "an attempt")
		held = append(held, c)
	}
	testutil.ExpectClosed(t, idle.Reader, "the idle connection when there are too many")
	excess := dial(t, n) // read and rejected, never left unread
	excess.SendGet("over")
	r, _ := excess.Response(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("got %d, Retry-After %q, close %v", r.StatusCode, r.Header.Get("Retry-After"), r.Close)
	}
	release()
	for i, c := range held {
		c.Expect(t, 200, fmt.Sprint("for held-", i))
	}
}

// What reaches a server has been read by the node, so its client must get a response, however often idle
// connections are evicted meanwhile.
func TestNoRequestIsLostWhileIdleConnectionsAreEvicted(t *testing.T) {
	t.Parallel()
	s := testutil.NewServer(t, testutil.Echo)
	n, _ := startNode(t, configWithServers(s), func(n *Node) {
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
	forwarded := s.RequestIDs()
	for _, id := range forwarded {
		if _, ok := answered.Load(id); !ok {
			t.Errorf("%s was forwarded to the server, and its client got no response", id)
		}
	}
	if len(forwarded) == 0 {
		t.Error("no request reached the server")
	}
}

// callRepeatedly sends requests on one connection after another, and adds the ids of those that were answered.
func callRepeatedly(t *testing.T, n *Node, name string, answered *sync.Map) {
	var c *testutil.Client
	for i := range 60 {
		if c == nil {
			nc, err := net.Dial("tcp", n.Addr())
			if err != nil {
				t.Error(err)
				return
			}
			nc.SetDeadline(time.Now().Add(2 * testutil.Timeout))
			c = &testutil.Client{Conn: nc, Reader: bufio.NewReader(nc)}
		}
		id := fmt.Sprintf("%s-%d", name, i)
		c.SendGet(id)
		r, _, err := c.ReadResponse()
		if err == nil {
			answered.Store(id, true)
		}
		if err != nil || r.Close {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// Hundreds of connections that send nothing, a partial head or a partial body take no capacity that a well-behaved
// client needs: they are evicted first, before they would time out, and that client is served.
func TestClientIsServedBesideHundredsOfSilentConnections(t *testing.T) {
	t.Parallel()
	s := testutil.NewServer(t, testutil.Echo)
	cfg := configWithServers(s)
	cfg.Sockets = 256
	n, _ := startNode(t, cfg, func(n *Node) {
		n.frontend.server.ReadTimeout = 2 * testutil.Timeout // connections end by eviction only
		limits := downstreamLimits(n.cfg)
		limits.GracePeriods = downstream.GracePeriods{Idle: testutil.Timeout}
		n.frontend.conns.SetLimits(limits)
	})
	const body = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\n" +
		"Content-Length: 9\r\n\r\nhal"
	// served wants an answer, and returns the connection to go on with: the node may end this one with the answer.
	served := func(c *testutil.Client, id string) *testutil.Client {
		c.SendGet(id)
		r, got := c.Response(t)
		if r.StatusCode != http.StatusOK || got != "for "+id {
			t.Fatalf("got %d %q, want %d for %s", r.StatusCode, got, http.StatusOK, id)
		}
		if r.Close {
			return dial(t, n)
		}
		return c
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
	testutil.Until(t, "the rest to be evicted", func() bool { return !n.frontend.conns.OverLimit() })
}

// A complete request is served even if its connection is chosen for eviction at the moment in which its head has
// been read, or while it waits in its handler: a silent connection is evicted in its place, and its client's
// departure is still noticed. The read of a partial request is aborted instead.
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

func completeDuringEviction(t *testing.T, moment, method, id string) {
	got, ended := make(chan struct{}), make(chan struct{})
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "served" {
			return testutil.Echo(c, r, body)
		}
		close(got)
		c.Read(make([]byte, 1)) // returns when the node closes
		close(ended)
		return false
	})
	n := startFullNode(t, s, moment)
	c := dial(t, n)
	if method == http.MethodPost {
		c.Send(method, "/note/k", id, "body", "60")
	} else {
		c.SendGet(id)
	}
	if id == "leaving" {
		testutil.Wait(t, got, "the attempt")
		c.Close()
		testutil.Wait(t, ended, "the end of the attempt")
		return
	}
	if r, body := c.Response(t); r.StatusCode != http.StatusOK || body != "for served" || r.Close {
		t.Fatalf("got %d %q, closing %v, want it served and the connection kept", r.StatusCode, body, r.Close)
	}
	testutil.Until(t, "a silent connection to go", func() bool { return n.frontend.conns.Count() == fullNodeConns })
}

// fullNodeConns is how many connections startFullNode's node may hold; it holds that many silent ones.
const fullNodeConns = 5

// startFullNode starts a node that has no capacity for one more connection, and that evicts at the given moment of
// a request: first those connections that it takes for partial requests.
func startFullNode(t *testing.T, s *testutil.Server, moment string) *Node {
	t.Helper()
	cfg := withLongObjectives(configWithServers(s))
	cfg.Sockets = reservedDescriptors + fullNodeConns + 1 // one is kept for the server
	n, _ := startNode(t, cfg, func(n *Node) {
		f := n.frontend
		f.server.ReadTimeout = 2 * testutil.Timeout // reads end by eviction only
		limits := downstreamLimits(cfg)
		limits.GracePeriods = downstream.GracePeriods{
			Lingering: testutil.Timeout, New: testutil.Timeout,
			PartialRequest: testutil.Timeout, Idle: testutil.Timeout,
		}
		f.conns.SetLimits(limits)
		limits.GracePeriods = downstream.GracePeriods{Lingering: testutil.Timeout, Idle: testutil.Timeout}
		tightenLimits := func() { f.conns.SetLimits(limits) }
		if moment == "head read" {
			f.server.ConnState = func(c net.Conn, state http.ConnState) {
				if f.conns.ConnStateChanged(c, state); state == http.StateActive {
					tightenLimits()
				}
			}
			return
		}
		f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Body != http.NoBody { // the watch begins behind the body's end
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
	testutil.Until(t, "the silent connections to be held", full)
	return n
}
