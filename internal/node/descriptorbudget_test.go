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
)

func TestDownstreamConnectionsBeyondTheBudget(t *testing.T) {
	s, got, release := newHoldingServer(t, "held")
	const most = 4
	n, _ := startNode(t, testConfig(completeList(entry("s1", s.addr(), "in_service"))), func(n *Node) {
		n.frontend.conns.capacity, n.frontend.conns.upstreamReserve = 2*most, most
		n.frontend.conns.gracePeriods.idle = 0
	})
	idle := dial(t, n)
	idle.get("idle")
	idle.want(t, 200, "for idle")
	untilIdle(t, n)
	var held []*testClient
	for i := range most {
		c := dial(t, n)
		c.get(fmt.Sprint("held-", i))
		wait(t, got, "an attempt")
		held = append(held, c)
	}
	expectClosed(t, idle.reader, "the idle connection when there are too many")
	over := dial(t, n) // read and refused, never left unread
	over.get("over")
	r, _ := over.answer(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("got %d, Retry-After %q, close %v", r.StatusCode, r.Header.Get("Retry-After"), r.Close)
	}
	release()
	for i, c := range held {
		c.want(t, 200, fmt.Sprint("for held-", i))
	}
}

// A connection is let go only while it waits: not with a request read that net/http has not told of
// yet, nor with the first byte of the next one, read early behind an answer.
func TestEvictionSparesARequestBegun(t *testing.T) {
	f := newDownstreamConns(newClock(), 2, 10, 16<<20, func() int { return 1 })
	say := func(from, to net.Conn) {
		t.Helper()
		to.SetReadDeadline(time.Now().Add(limit))
		if _, err := from.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := to.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	a, caller := downstreamPair(t, f, 0)
	b, _ := downstreamPair(t, f, 0)
	say(caller, a) // a request
	f.connStateChanged(a, http.StateNew)
	f.connStateChanged(a, http.StateActive)
	say(a, caller) // its answer
	say(caller, a) // the next request's first byte
	f.connStateChanged(a, http.StateIdle)
	f.connStateChanged(b, http.StateNew) // one too many
	if a.evicted || !f.overLimit() {
		t.Fatal("a connection with a request on it was let go")
	}
	say(caller, a)
	say(a, caller)
	f.gracePeriods.idle = limit
	f.connStateChanged(a, http.StateIdle)
	if a.evicted || !f.overLimit() {
		t.Fatal("a connection idle for a moment only was let go")
	}
	f.gracePeriods.idle = 0
	f.connStateChanged(b, http.StateActive)
	if !a.evicted || f.overLimit() {
		t.Fatal("the idle connection was not let go")
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

// A request that lies in the kernel unread counts as begun: a close would reset it.
func TestEvictionSparesUnreadBytes(t *testing.T) {
	f := newDownstreamConns(newClock(), 2, 10, 16<<20, func() int { return 1 })
	c, theirs := downstreamPair(t, f, 0)
	f.connStateChanged(c, http.StateNew)
	f.connStateChanged(c, http.StateIdle)
	io.WriteString(theirs, "GET")
	until(t, "the bytes to arrive", func() bool { return hasUnreadOrClosed(c.Conn) })
	if f.evictQuiet(); c.evicted {
		t.Error("let go with a request on it")
	}
	if text := make([]byte, 3); !readsAll(c, text) || string(text) != "GET" {
		t.Errorf("read %q", text)
	}
	c.Write([]byte("answer"))
	if f.evictQuiet(); !c.evicted {
		t.Error("not let go once it is answered")
	}
}

// The rest of a request that lies in the kernel unread keeps the connection, though its first part came so long
// ago that it would be cut off.
func TestReadAbortSparesUnreadBytes(t *testing.T) {
	f := newDownstreamConns(newClock(), 2, 10, 16<<20, func() int { return 2 })
	f.gracePeriods.partialRequest = 0
	c, theirs := downstreamPair(t, f, 0)
	io.WriteString(theirs, "GET")
	if text := make([]byte, 3); !readsAll(c, text) {
		t.Fatal("the first part is not read")
	}
	io.WriteString(theirs, " /v")
	until(t, "the rest to arrive", func() bool { return hasUnreadOrClosed(c.Conn) })
	f.connStateChanged(c, http.StateNew) // one too many
	other, _ := net.Pipe()
	f.connStateChanged(&downstreamConn{Conn: other, conns: f}, http.StateNew)
	if c.evicted {
		t.Error("cut off with the rest of a request unread")
	}
	if text := make([]byte, 3); !readsAll(c, text) || string(text) != " /v" {
		t.Errorf("read %q", text)
	}
	f.connStateChanged(&downstreamConn{Conn: other, conns: f}, http.StateNew)
	if !c.evicted {
		t.Error("not cut off once all is read")
	}
}

// Whatever reaches a server has been read, so its caller must get the answer, however often idle
// connections are let go meanwhile.
func TestNoRequestIsLostWhileIdleConnectionsAreEvicted(t *testing.T) {
	s := newServer(t, echo)
	n, _ := startNode(t, testConfig(completeList(entry("s1", s.addr(), "in_service"))), func(n *Node) {
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
			var c *testClient
			for j := range 60 {
				if c == nil {
					nc, err := net.Dial("tcp", n.Addr())
					if err != nil {
						t.Error(err)
						return
					}
					nc.SetDeadline(time.Now().Add(2 * limit))
					c = &testClient{nc, bufio.NewReader(nc)}
				}
				id := fmt.Sprintf("c%d-%d", i, j)
				c.get(id)
				r, _, err := c.read()
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
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.requests {
		if !answered[id] {
			t.Errorf("%s was sent to the server, and its caller got no answer", id)
		}
	}
	if len(s.requests) == 0 {
		t.Error("no request reached the server")
	}
}

// Hundreds of connections that say nothing, half a request or too little of a body hold no place that a
// good caller needs: they are let go first, before they would time out, and the good one is served.
func TestClientIsServedBesideHundredsOfSilentConnections(t *testing.T) {
	s := newServer(t, echo)
	cfg := testConfig(completeList(entry("s1", s.addr(), "in_service")))
	cfg.Sockets = 256
	n, _ := startNode(t, cfg, func(n *Node) {
		n.frontend.server.ReadTimeout = 2 * limit // what is let go is let go for want of room
		n.frontend.conns.gracePeriods = gracePeriods{idle: limit}
	})
	const body = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal"
	// served wants an answer, and returns the connection to go on with: the node may end this one with the answer.
	served := func(c *testClient, id string) *testClient {
		c.get(id)
		r, got := c.answer(t)
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
	until(t, "the rest to be let go", func() bool {
		n.frontend.conns.mu.Lock()
		defer n.frontend.conns.mu.Unlock()
		return n.frontend.conns.excess() <= 0
	})
}

// A complete request is served, though its connection is chosen to make room in the moment in which its head has
// been read, or while it waits in its handler: a silent one goes in its place, and its caller's leaving is still
// seen. Half a request is cut off instead.
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
		half := dial(t, startFullNode(t, newServer(t, echo), "head read"))
		io.WriteString(half, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\n"+
			"Content-Length: 9\r\n\r\nhal")
		half.want(t, http.StatusBadRequest, "")
	})
}

func completeDuringEviction(t *testing.T, moment, method, id string) {
	got, ended := make(chan struct{}), make(chan struct{})
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "served" {
			return echo(c, r, body)
		}
		close(got)
		c.Read(make([]byte, 1)) // returns when the node closes
		close(ended)
		return false
	})
	n := startFullNode(t, s, moment)
	c := dial(t, n)
	if method == http.MethodPost {
		c.send(method, "/note/k", id, "body", "60")
	} else {
		c.get(id)
	}
	if id == "leaving" {
		wait(t, got, "the attempt")
		c.Close()
		wait(t, ended, "the end of the attempt")
		return
	}
	if r, body := c.answer(t); r.StatusCode != http.StatusOK || body != "for served" || r.Close {
		t.Fatalf("got %d %q, closing %v, want it served and the connection kept", r.StatusCode, body, r.Close)
	}
	until(t, "a silent connection to go", func() bool { return n.frontend.conns.count() == fullNodeConns })
}

// crowdedMost is how many connections startCrowdedNode's node may hold, and holds silent ones.
const fullNodeConns = 5

// startCrowdedNode starts a node that has no place for one more connection, and that makes room at the given
// moment of a request: first at the expense of those that it takes for half ones.
func startFullNode(t *testing.T, s *fakeServer, moment string) *Node {
	t.Helper()
	cfg := withLongObjectives(testConfig(completeList(entry("s1", s.addr(), "in_service"))))
	cfg.Sockets = reservedDescriptors + fullNodeConns + 1 // one is kept for the server
	n, _ := startNode(t, cfg, func(n *Node) {
		f := n.frontend
		f.server.ReadTimeout = 2 * limit // what is cut off is cut off to make room
		f.conns.gracePeriods = gracePeriods{lingering: limit, newConn: limit, partialRequest: limit, idle: limit}
		makeRoom := func() {
			f.conns.mu.Lock()
			defer f.conns.mu.Unlock()
			f.conns.gracePeriods = gracePeriods{lingering: limit, idle: limit}
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
	until(t, "the silent connections to be held", func() bool { return n.frontend.conns.count() == fullNodeConns })
	return n
}
