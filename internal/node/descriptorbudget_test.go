package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/socketpeek"
	"basaltdrum/internal/testutil"
)

func TestDownstreamConnectionsBeyondTheBudget(t *testing.T) {
	s, got, release := testutil.NewHoldingServer(t, "held")
	const most = 4
	n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), func(n *Node) {
		n.frontend.conns.capacity, n.frontend.conns.upstreamReserve = 2*most, most
		n.frontend.conns.gracePeriods.idle = 0
	})
	idle := dial(t, n)
	idle.Get("idle")
	idle.Expect(t, 200, "for idle")
	untilIdle(t, n)
	var held []*testutil.Client
	for i := range most {
		c := dial(t, n)
		c.Get(fmt.Sprint("held-", i))
		testutil.Wait(t, got, "an attempt")
		held = append(held, c)
	}
	testutil.ExpectClosed(t, idle.Reader, "the idle connection when there are too many")
	over := dial(t, n) // read and refused, never left unread
	over.Get("over")
	r, _ := over.Response(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("got %d, Retry-After %q, close %v", r.StatusCode, r.Header.Get("Retry-After"), r.Close)
	}
	release()
	for i, c := range held {
		c.Expect(t, 200, fmt.Sprint("for held-", i))
	}
}

// A connection is evicted only while it waits for a request: not once a request has been read that net/http has
// not reported yet, nor once the first byte of the next request was read early, after a response.
func TestEvictionSparesARequestBegun(t *testing.T) {
	f := newDownstreamConns(monotime.New(), 2, 10, 16<<20, func() int { return 1 })
	say := func(from, to net.Conn) {
		t.Helper()
		to.SetReadDeadline(time.Now().Add(testutil.Limit))
		if _, err := from.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := to.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	a, peer := downstreamPair(t, f, 0)
	b, _ := downstreamPair(t, f, 0)
	say(peer, a) // a request
	f.connStateChanged(a, http.StateNew)
	f.connStateChanged(a, http.StateActive)
	say(a, peer) // its answer
	say(peer, a) // the next request's first byte
	f.connStateChanged(a, http.StateIdle)
	f.connStateChanged(b, http.StateNew) // one too many
	if a.evicted || !f.overLimit() {
		t.Fatal("a connection with a request on it was evicted")
	}
	say(peer, a)
	say(a, peer)
	f.gracePeriods.idle = testutil.Limit
	f.connStateChanged(a, http.StateIdle)
	if a.evicted || !f.overLimit() {
		t.Fatal("a connection idle for a moment only was evicted")
	}
	f.gracePeriods.idle = 0
	f.connStateChanged(b, http.StateActive)
	if !a.evicted || f.overLimit() {
		t.Fatal("the idle connection was not evicted")
	}
	a.SetReadDeadline(time.Time{}) // net/http does, after it has said that it is idle
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the wait goes on: %v", err)
	}
	f.connStateChanged(a, http.StateClosed)
	if f.evicting != 0 || len(f.conns) != 1 {
		t.Errorf("%d leaving of %d", f.evicting, len(f.conns))
	}
}

// A request that is unread in the kernel counts as begun: a close would reset the connection.
func TestEvictionSparesUnreadBytes(t *testing.T) {
	f := newDownstreamConns(monotime.New(), 2, 10, 16<<20, func() int { return 1 })
	c, theirs := downstreamPair(t, f, 0)
	f.connStateChanged(c, http.StateNew)
	f.connStateChanged(c, http.StateIdle)
	io.WriteString(theirs, "GET")
	testutil.Until(t, "the bytes to arrive", func() bool { return socketpeek.HasUnreadOrClosed(c.Conn) })
	if f.evictQuiet(); c.evicted {
		t.Error("evicted with a request on it")
	}
	if text := make([]byte, 3); !readsAll(c, text) || string(text) != "GET" {
		t.Errorf("read %q", text)
	}
	c.Write([]byte("answer"))
	if f.evictQuiet(); !c.evicted {
		t.Error("not evicted once it is answered")
	}
}

// The rest of a request that is unread in the kernel protects the connection, though the first part arrived so
// long ago that the read would be aborted.
func TestReadAbortSparesUnreadBytes(t *testing.T) {
	f := newDownstreamConns(monotime.New(), 2, 10, 16<<20, func() int { return 2 })
	f.gracePeriods.partialRequest = 0
	c, theirs := downstreamPair(t, f, 0)
	io.WriteString(theirs, "GET")
	if text := make([]byte, 3); !readsAll(c, text) {
		t.Fatal("the first part is not read")
	}
	io.WriteString(theirs, " /v")
	testutil.Until(t, "the rest to arrive", func() bool { return socketpeek.HasUnreadOrClosed(c.Conn) })
	f.connStateChanged(c, http.StateNew) // one too many
	other, _ := net.Pipe()
	f.connStateChanged(&downstreamConn{Conn: other, conns: f}, http.StateNew)
	if c.evicted {
		t.Error("aborted with the rest of a request unread")
	}
	if text := make([]byte, 3); !readsAll(c, text) || string(text) != " /v" {
		t.Errorf("read %q", text)
	}
	f.connStateChanged(&downstreamConn{Conn: other, conns: f}, http.StateNew)
	if !c.evicted {
		t.Error("not aborted once all is read")
	}
}

// What reaches a server has been read by the node, so its client must get a response, however often idle
// connections are evicted meanwhile.
func TestNoRequestIsLostWhileIdleConnectionsAreEvicted(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), func(n *Node) {
		n.frontend.conns.capacity, n.frontend.conns.upstreamReserve = 8, 4
		n.frontend.conns.gracePeriods.idle = 0
	})
	var mu sync.Mutex
	answered := map[string]bool{}
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			var c *testutil.Client
			for j := range 60 {
				if c == nil {
					nc, err := net.Dial("tcp", n.Addr())
					if err != nil {
						t.Error(err)
						return
					}
					nc.SetDeadline(time.Now().Add(2 * testutil.Limit))
					c = &testutil.Client{Conn: nc, Reader: bufio.NewReader(nc)}
				}
				id := fmt.Sprintf("c%d-%d", i, j)
				c.Get(id)
				r, _, err := c.ReadResponse()
				if err == nil {
					mu.Lock()
					answered[id] = true
					mu.Unlock()
				}
				if err != nil || r.Close {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		}()
	}
	callers.Wait()
	forwarded := s.Requests()
	for _, id := range forwarded {
		if !answered[id] {
			t.Errorf("%s was forwarded to the server, and its client got no response", id)
		}
	}
	if len(forwarded) == 0 {
		t.Error("no request reached the server")
	}
}

// Hundreds of connections that send nothing, a partial head or a partial body take no capacity that a well-behaved
// client needs: they are evicted first, before they would time out, and that client is served.
func TestClientIsServedBesideHundredsOfSilentConnections(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service")))
	cfg.Sockets = 256
	n, _ := startNode(t, cfg, func(n *Node) {
		n.frontend.server.ReadTimeout = 2 * testutil.Limit // connections end by eviction only
		n.frontend.conns.gracePeriods = gracePeriods{idle: testutil.Limit}
	})
	const body = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal"
	// served wants an answer, and returns the connection to go on with: the node may end this one with the answer.
	served := func(c *testutil.Client, id string) *testutil.Client {
		c.Get(id)
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
	testutil.Until(t, "the rest to be evicted", func() bool {
		n.frontend.conns.mu.Lock()
		defer n.frontend.conns.mu.Unlock()
		return n.frontend.conns.excess() <= 0
	})
}

// A complete request is served even if its connection is chosen for eviction at the moment in which its head has
// been read, or while it waits in its handler: a silent connection is evicted in its place, and its client's
// departure is still noticed. The read of a partial request is aborted instead.
func TestCompleteRequestIsServedDuringEviction(t *testing.T) {
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
		c.Get(id)
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
	testutil.Until(t, "a silent connection to go", func() bool { return n.frontend.conns.count() == fullNodeConns })
}

// fullNodeConns is how many connections startFullNode's node may hold; it holds that many silent ones.
const fullNodeConns = 5

// startFullNode starts a node that has no capacity for one more connection, and that evicts at the given moment of
// a request: first those connections that it takes for partial requests.
func startFullNode(t *testing.T, s *testutil.Server, moment string) *Node {
	t.Helper()
	cfg := withLongObjectives(testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))))
	cfg.Sockets = reservedDescriptors + fullNodeConns + 1 // one is kept for the server
	n, _ := startNode(t, cfg, func(n *Node) {
		f := n.frontend
		f.server.ReadTimeout = 2 * testutil.Limit // reads end by eviction only
		f.conns.gracePeriods = gracePeriods{lingering: testutil.Limit, newConn: testutil.Limit, partialRequest: testutil.Limit, idle: testutil.Limit}
		makeRoom := func() {
			f.conns.mu.Lock()
			defer f.conns.mu.Unlock()
			f.conns.gracePeriods = gracePeriods{lingering: testutil.Limit, idle: testutil.Limit}
			f.conns.evictExcess()
		}
		if moment == "head read" {
			f.server.ConnState = func(c net.Conn, state http.ConnState) {
				if f.conns.connStateChanged(c, state); state == http.StateActive {
					makeRoom()
				}
			}
			return
		}
		f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Body != http.NoBody { // the watch begins behind the body's end
				body, _ := io.ReadAll(r.Body)
				r.Body = io.NopCloser(bytes.NewReader(body))
			}
			connOf(r.Context()).awaitCaughtUp()
			makeRoom()
			f.ServeHTTP(w, r)
		})
	})
	for range fullNodeConns {
		dial(t, n)
	}
	testutil.Until(t, "the silent connections to be held", func() bool { return n.frontend.conns.count() == fullNodeConns })
	return n
}
