package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"balancer"
)

// testBackend has its connections rest for no time.
func testBackend(most int) *upstreamPool {
	b := newUpstreamPool(testConfig(""), newClock(), most)
	b.reuseDelay = 0
	return b
}

// testHost has the backend know a server that is named by its endpoint.
func testHost(b *upstreamPool, endpoint string) endpointInstance {
	t := listEntry{Endpoint: balancer.Endpoint{ID: endpoint, State: balancer.Ready}, address: endpoint}
	b.updateEndpoints([]listEntry{t}, false)
	return t.instance()
}

// testAttempt is an attempt at an endpoint with all the time in the world.
func testAttempt(b *upstreamPool, endpoint string) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	now := b.clock.now()
	return &attempt{
		ctx: ctx, cancel: cancel, to: testHost(b, endpoint), sent: now, deadline: now + limit,
		call: &request{id: "id", method: "POST", target: "/note/k", body: []byte("body")},
	}
}

// run makes an attempt that must end within the limit.
func run(t *testing.T, b *upstreamPool, a *attempt) attemptOutcome {
	t.Helper()
	end := make(chan attemptOutcome, 1)
	go func() { end <- b.do(a) }()
	return wait(t, end, "the attempt's end")
}

func TestEndings(t *testing.T) {
	for _, c := range []struct {
		name, answer string // "-": the server breaks the connection
		want         balancer.AttemptResult
		keeps        bool
	}{
		{"served", "200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"served in chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.Success, true},
		{"served and closed", "200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", balancer.Success, false},
		{"served after 100", "100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"error", "500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, true},
		{"turned away", "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected, true},
		{"turned away as over", "504 Gateway Timeout\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected, true},
		{"503 that may have run", "503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, true},
		{"504 that may have run", "504 Gateway Timeout\r\nX-Not-Run: 0\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, true},
		{"500 with the mark", "500 Internal Server Error\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, true},
		{"turned away, the answer cut", "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\ncut", balancer.ServerError, false},
		{"turned away without a length", "503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\nno", balancer.ServerError, false},
		{"turned away with 3 GB", "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 3000000000\r\n\r\nand so on", balancer.ServerError, false},
		{"turned away in spoilt chunks", "503 Service Unavailable\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", balancer.ServerError, false},
		{"reset", "-", balancer.ConnectionLost, false},
		{"cut head", "200 OK\r\nContent-Le", balancer.ConnectionLost, false},
		{"cut body", "200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.ConnectionLost, false},
		{"cut chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", balancer.ConnectionLost, false},
		{"too long", fmt.Sprintf("200 OK\r\nContent-Length: %d\r\n\r\n%s", maxBody+1, strings.Repeat("x", maxBody+1)), balancer.ConnectionLost, false},
		{"said to be too long", "200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on", balancer.ConnectionLost, false},
		{"an error said to be too long", "500 Internal Server Error\r\nContent-Length: 3000000000\r\n\r\nand so on", balancer.ServerError, false},
		{"a head too long", "200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", maxResponseOverhead/10), balancer.ConnectionLost, false},
		{"a line too long", "200 OK\r\nX-Pad: " + strings.Repeat("p", 2*maxResponseOverhead), balancer.ConnectionLost, false},
		{"1xx without end", strings.Repeat("102 Processing\r\n\r\nHTTP/1.1 ", maxResponseOverhead/20), balancer.ConnectionLost, false},
		{"two lengths", "200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", balancer.ConnectionLost, false},
		{"a negative length", "200 OK\r\nContent-Length: -2\r\n\r\nok", balancer.ConnectionLost, false},
		{"no status", "OK 200\r\nContent-Length: 2\r\n\r\nok", balancer.ConnectionLost, false},
		{"a line with no colon", "200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok", balancer.ConnectionLost, false},
		{"spoilt chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n", balancer.ConnectionLost, false},
		{"served, and noise behind", "200 OK\r\nContent-Length: 2\r\n\r\nok\xff\x00noise\r\n\r\n", balancer.Success, false},
		{"served twice", "200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", balancer.Success, false},
		{"served with a spoilt report", "200 OK\r\nX-Load: %%%\r\nX-Load: =,=\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"served after hints", "103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"no HTTP", "what?\r\n\r\n", balancer.ConnectionLost, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, func(conn net.Conn, r *http.Request, body string) bool {
				if c.answer == "-" {
					conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				io.WriteString(conn, "HTTP/1.1 "+c.answer)
				if !c.keeps && !strings.Contains(c.name, "cut") {
					io.Copy(io.Discard, conn) // it stays open until the node closes it
				}
				return c.keeps
			})
			b := testBackend(10)
			h := testHost(b, s.addr())
			r := run(t, b, testAttempt(b, s.addr()))
			if r.result != c.want || c.want == balancer.Success && string(r.body) != "ok" {
				t.Errorf("ending %d, body %q; want %d", r.result, r.body, c.want)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if kept := len(b.idle[h]) == 1; kept != c.keeps || b.open != len(b.idle[h]) {
				t.Errorf("kept %v, %d open; want kept %v", kept, b.open, c.keeps)
			}
		})
	}
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	b := testBackend(10)
	if r := run(t, b, testAttempt(b, closedPort(t))); r.result != balancer.ConnectFailed || b.open != 0 {
		t.Errorf("ending %d, %d open", r.result, b.open)
	}
}

// neverUp is an address at which connections never come up, as of a machine that is gone.
func neverUp(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for { // until the queue of those that nobody accepts is full
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// A machine that is gone says nothing: its connections never come up.
func TestConnectionThatNeverComesUpIsUnreachable(t *testing.T) {
	addr := neverUp(t)
	b := testBackend(10)
	b.dial = (&net.Dialer{Timeout: 50 * time.Millisecond}).DialContext
	if r := run(t, b, testAttempt(b, addr)); r.result != balancer.ConnectFailed || b.open != 0 {
		t.Errorf("ending %d, %d open", r.result, b.open)
	}
}

// halfConn breaks in the middle of a write.
type halfConn struct{ net.Conn }

func (c halfConn) Write(p []byte) (int, error) {
	n, _ := c.Conn.Write(p[:len(p)-1])
	c.Conn.Close()
	return n, errors.New("broken")
}

func (c halfConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

func TestBreakBeforeTheLastByteIsUnreachable(t *testing.T) {
	s := newServer(t, echo)
	nc, err := net.Dial("tcp", s.addr())
	if err != nil {
		t.Fatal(err)
	}
	b := testBackend(10)
	b.adopt(halfConn{nc}, testHost(b, s.addr()))
	if r := run(t, b, testAttempt(b, s.addr())); r.result != balancer.ConnectFailed || b.open != 0 {
		t.Errorf("ending %d, %d open", r.result, b.open)
	}
	if s.seen() != 0 {
		t.Error("the server got the request")
	}
}

// adopt puts a connection among the idle ones.
func (b *upstreamPool) adopt(nc net.Conn, to endpointInstance) {
	waiter := make(chan upstreamReply, 1)
	b.open++
	c := b.startReader(nc, to, waiter)
	b.mu.Lock()
	defer b.mu.Unlock()
	c.waiter = nil
	b.idle[to] = append(b.idle[to], c)
}

// What came in before a request was written is no answer to it, and a close that the connection's reader
// has not seen yet, as on a busy core, is found all the same: another connection is used.
func TestBytesOrACloseBeforeTheRequestAreSeen(t *testing.T) {
	for name, say := range map[string]string{"a close": "", "an answer to nothing": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, echo)
			early, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer early.Close()
			nc, err := net.Dial("tcp", early.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if hasUnreadOrClosed(nc) {
				t.Fatal("a silent open connection is said to have spoken or closed")
			}
			other, err := early.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			b := testBackend(10)
			h := testHost(b, s.addr())
			b.open = 1
			b.idle[h] = []*upstreamConn{{Conn: nc, to: h}} // with no reader
			if say == "" {
				other.Close()
			} else {
				io.WriteString(other, say)
			}
			until(t, "it to arrive", func() bool { return hasUnreadOrClosed(nc) })
			if r := run(t, b, testAttempt(b, s.addr())); r.result != balancer.Success || string(r.body) != "for id" || b.open != 1 {
				t.Errorf("ending %d, body %q, %d open", r.result, r.body, b.open)
			}
		})
	}
}

// A fresh connection on which the server speaks or closes before it is asked counts as none: the attempt
// ends, and does not dial without end.
func TestServerThatClosesAtOnceIsUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	other.Close()
	until(t, "the close to arrive", func() bool { return hasUnreadOrClosed(nc) })
	b := testBackend(10)
	waiter := make(chan upstreamReply, 1)
	b.open = 1
	a := testAttempt(b, "127.0.0.1:1")
	c := b.startReader(nc, a.to, waiter)
	if b.beginWrite(a.ctx, c, waiter, a) != useAnotherConn || b.open != 0 {
		t.Errorf("a request is written to a closed connection, or it is still counted: %d open", b.open)
	}
}

func TestTimedOutAndCancelledAttemptsCloseTheirConnection(t *testing.T) {
	for _, want := range []balancer.AttemptResult{balancer.TimedOut, balancer.Cancelled} {
		got, gone := make(chan struct{}), make(chan struct{})
		s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
			close(got)
			c.Read(make([]byte, 1))
			close(gone)
			return false
		})
		b := testBackend(10)
		a := testAttempt(b, s.addr())
		if want == balancer.TimedOut {
			a.deadline = a.sent + 100*time.Millisecond
		} else {
			go func() { <-got; a.cancel() }()
		}
		if r := run(t, b, a); r.result != want || b.open != 0 {
			t.Errorf("ending %d, %d open; want %d", r.result, b.open, want)
		}
		wait(t, gone, "the close")
	}
}

// A node short of descriptors closes idle connections first; its own lack is no server's fault.
func TestConnectionsBeyondTheBudget(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	one, two := newServer(t, echo), newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-hold
		return echo(c, r, body)
	})
	b := testBackend(1)
	if r := run(t, b, testAttempt(b, one.addr())); r.result != balancer.Success {
		t.Fatalf("ending %d", r.result)
	}
	end := make(chan attemptOutcome, 1)
	go func() { end <- b.do(testAttempt(b, two.addr())) }()
	wait(t, got, "the attempt that took the idle one's place")
	if r := run(t, b, testAttempt(b, one.addr())); r.result != balancer.NotSent {
		t.Errorf("with no descriptor left: ending %d, want Void", r.result)
	}
	close(hold)
	if r := wait(t, end, "the attempt"); r.result != balancer.Success {
		t.Errorf("ending %d", r.result)
	}
	if one.seen() != 1 || b.open != 1 {
		t.Errorf("%d requests at the first server, %d connections open", one.seen(), b.open)
	}
}

func TestIdleConnectionsCloseBeforeTheServersDo(t *testing.T) {
	s := newServer(t, echo)
	b := testBackend(10)
	b.idleTimeout = 20 * time.Millisecond
	run(t, b, testAttempt(b, s.addr()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.closeExpired(ctx)
	until(t, "the close", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open == 0 && len(b.idle) == 0
	})
	if full := testBackend(1); full.idleTimeout >= testConfig("").ConnIdle {
		t.Errorf("kept for %v", full.idleTimeout)
	}
}

// A second copy of an answer is no answer to the next request, however late during the rest it comes: that
// request goes on another connection, and the one on which the copy comes is closed.
func TestLateSecondAnswerIsNobodys(t *testing.T) {
	conns := make(chan net.Conn, 10)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		conns <- c
		return echo(c, r, body)
	})
	b := newUpstreamPool(testConfig(""), newClock(), 10)
	if b.reuseDelay <= 0 || b.reuseDelay >= b.idleTimeout {
		t.Fatalf("connections rest for %v and stay for %v", b.reuseDelay, b.idleTimeout)
	}
	b.reuseDelay = 100 * limit
	send := func(id string) attemptOutcome {
		a := testAttempt(b, s.addr())
		a.call.id = id
		return run(t, b, a)
	}
	if r := send("one"); string(r.body) != "for one" {
		t.Fatalf("got %q", r.body)
	}
	first := wait(t, conns, "the first connection")
	if r := send("two"); string(r.body) != "for two" || s.opened() != 2 {
		t.Errorf("got %q on %d connections", r.body, s.opened())
	}
	reply200(first, "for one")
	until(t, "the close", func() bool { return b.connections() == 1 })
	b.mu.Lock()
	for _, c := range b.idle[testHostOf(s)] {
		c.reusableAt = 0
	}
	b.mu.Unlock()
	if r := send("three"); string(r.body) != "for three" || s.opened() != 2 {
		t.Errorf("got %q on %d connections", r.body, s.opened())
	}
}

// testHostOf is a server as testHost names it.
func testHostOf(s *fakeServer) endpointInstance {
	return endpointInstance{uid: s.addr(), address: s.addr()}
}
