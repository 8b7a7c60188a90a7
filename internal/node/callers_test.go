package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// Hundreds of connections that say nothing, half a request or too little of a body hold no place that a
// good caller needs: they are let go first, before they would time out, and the good one is served.
func TestGoodCallerIsServedBesideHundredsOfSilentOnes(t *testing.T) {
	s := newServer(t, echo)
	cfg := testConfig(whole(entry("s1", s.addr(), "in_service")))
	cfg.Sockets = 256
	n, _ := startNode(t, cfg, func(n *Node) {
		n.frontend.server.ReadTimeout = 2 * limit // what is let go is let go for want of room
		n.frontend.conns.gracePeriods = gracePeriods{idle: limit}
	})
	const body = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal"
	// served wants an answer, and returns the connection to go on with: the node may end this one with the answer.
	served := func(c *caller, id string) *caller {
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
func TestCompleteRequestIsServedThoughRoomIsMade(t *testing.T) {
	for _, moment := range []string{"head read", "watched"} {
		for _, method := range []string{"GET", "POST"} {
			for _, id := range []string{"served", "leaving"} {
				t.Run(fmt.Sprint(moment, " ", method, " ", id), func(t *testing.T) {
					t.Parallel()
					completeWhileRoomIsMade(t, moment, method, id)
				})
			}
		}
	}
	t.Run("half a request", func(t *testing.T) {
		t.Parallel()
		half := dial(t, startCrowdedNode(t, newServer(t, echo), "head read"))
		io.WriteString(half, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\n"+
			"Content-Length: 9\r\n\r\nhal")
		half.want(t, http.StatusBadRequest, "")
	})
}

func completeWhileRoomIsMade(t *testing.T, moment, method, id string) {
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
	n := startCrowdedNode(t, s, moment)
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
	until(t, "a silent connection to go", func() bool { return n.frontend.conns.count() == crowdedMost })
}

// crowdedMost is how many connections startCrowdedNode's node may hold, and holds silent ones.
const crowdedMost = 5

// startCrowdedNode starts a node that has no place for one more connection, and that makes room at the given
// moment of a request: first at the expense of those that it takes for half ones.
func startCrowdedNode(t *testing.T, s *fakeServer, moment string) *Node {
	t.Helper()
	cfg := withLongAims(testConfig(whole(entry("s1", s.addr(), "in_service"))))
	cfg.Sockets = reservedDescriptors + crowdedMost + 1 // one is kept for the server
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
	for range crowdedMost {
		dial(t, n)
	}
	until(t, "the silent connections to be held", func() bool { return n.frontend.conns.count() == crowdedMost })
	return n
}

// Silent and half-spoken connections end by themselves, and so do those that ask no more.
func TestConnectionsWithoutARequestEnd(t *testing.T) {
	s := newServer(t, echo)
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), func(n *Node) {
		n.frontend.server.ReadTimeout = 300 * time.Millisecond
		n.frontend.server.IdleTimeout = 300 * time.Millisecond
	})
	for _, text := range []string{"", "GET /view/k HTTP/1.1\r\nHo", "\r\n"} {
		c := dial(t, n)
		io.WriteString(c, text)
		said, err := io.ReadAll(c)
		if err != nil {
			t.Errorf("%q: %v after %q", text, err, said)
		}
	}
	c := dial(t, n)
	c.get("once")
	c.want(t, http.StatusOK, "for once")
	closed(t, c.br, "a connection that asks no more")
}

// A client that stops in the middle of a request and stays gets an error or a close within the time for
// reading a request, also if it has sent too little to be told from one that rests.
func TestClientsThatStopInTheMiddleOfARequestEnd(t *testing.T) {
	s := newServer(t, echo)
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), func(n *Node) {
		n.frontend.server.ReadTimeout = 300 * time.Millisecond
		n.frontend.server.IdleTimeout = 10 * limit
	})
	const post = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\n"
	for _, half := range []string{
		"G", "GE", "GET", "GET /view", "GET /view/k HTTP/1.1\r\n", "\r\nP",
		post + "Content-Length: 4\r\n\r\n", post + "Content-Length: 4\r\n\r\nbod",
		post + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n", post + "Transfer-Encoding: chunked\r\n\r\n2",
		post + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
	} {
		for _, when := range []string{"first", "after an answer", "behind a request"} {
			t.Run(fmt.Sprintf("%s %.20q %d", when, half, len(half)), func(t *testing.T) {
				t.Parallel()
				c := dial(t, n)
				good := "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: good-" + t.Name() +
					"\r\nX-Deadline: 60\r\nContent-Length: 0\r\n\r\n"
				switch when {
				case "after an answer":
					io.WriteString(c, good)
					c.want(t, http.StatusOK, "")
					io.WriteString(c, half)
				case "behind a request":
					io.WriteString(c, good+half)
					c.want(t, http.StatusOK, "")
				default:
					io.WriteString(c, half)
				}
				end := make(chan error, 1)
				go func() {
					_, err := io.Copy(io.Discard, c.br)
					end <- err
				}()
				if err := wait(t, end, "the end"); err != nil {
					t.Errorf("the connection ended by %v", err)
				}
			})
		}
	}
}

// Callers, requests and servers that are ever new leave nothing behind.
func TestStateStaysBounded(t *testing.T) {
	s := newServer(t, echo)
	n, _ := startNode(t, testConfig(whole(entry("s0", s.addr(), "in_service"))), nil)
	round := func(i int) {
		l := endpointList{complete: true, version: int64(i), entries: []listEntry{{address: s.addr()}}}
		l.entries[0].ID = fmt.Sprint("s", i)
		n.loop.post(listReceived{l})
		c := dial(t, n)
		c.get(fmt.Sprint("r-", i))
		c.want(t, http.StatusOK, "")
		c.Close()
	}
	for i := range 50 {
		round(i)
	}
	before := runtime.NumGoroutine()
	for i := range 300 {
		round(50 + i)
	}
	until(t, "all that has gone to be forgotten", func() bool {
		b, f := n.upstream, n.frontend.conns
		b.mu.Lock()
		defer b.mu.Unlock()
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.conns) == 0 && len(b.endpoints) == 1 && len(b.idle) <= 1 && b.open <= 1 &&
			runtime.NumGoroutine() <= before+5
	})
}

// A request whose first bytes came just before its connection would have timed out, idle or new, has the time
// for the rest that every request has.
func TestRequestBegunBeforeATimeoutIsReadToItsEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, first := range []string{
		"G", "GET", "GET /view/k HTTP/1.1\r\nHo",
		"POST /note/k HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n",
	} {
		theirs, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer theirs.Close()
		l := newDownstreamListener(ln, newDownstreamConns(newClock(), 10, 10, 16<<20, func() int { return 0 }), testLog())
		l.readTimeout = 2 * limit
		ours, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer ours.Close()
		ours.SetReadDeadline(time.Now().Add(limit))
		io.WriteString(theirs, first)
		if text := make([]byte, len(first)); !readsWhole(ours, text) {
			t.Fatalf("%q is not read", first)
		}
		ours.SetReadDeadline(time.Now()) // as net/http set it before the first bytes came
		io.WriteString(theirs, "rest")
		if text := make([]byte, 4); !readsWhole(ours, text) || string(text) != "rest" {
			t.Errorf("%q: the rest is not read", first)
		}
	}
}
