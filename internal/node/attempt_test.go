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

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/http1"
	"basaltdrum/internal/socketpeek"
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

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	b := testPool(10)
	if r := doAttempt(t, b, testAttempt(t, b, testutil.ClosedPort(t))); r.result != balancer.ConnectFailed || b.connections() != 0 {
		t.Errorf("ending %d, %d open", r.result, b.connections())
	}
}

// unreachableAddress returns an address at which no connection is ever established, as of a machine that is gone.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	fd, addr := testutil.BoundSocket(t)
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	for { // until the queue of those that nobody accepts is full
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// A machine that is gone never completes a connection: the dial times out.
func TestDialTimeoutIsConnectFailed(t *testing.T) {
	addr := unreachableAddress(t)
	b := testPool(10)
	b.dial = (&net.Dialer{Timeout: 50 * time.Millisecond}).DialContext
	if r := doAttempt(t, b, testAttempt(t, b, addr)); r.result != balancer.ConnectFailed || b.connections() != 0 {
		t.Errorf("ending %d, %d open", r.result, b.connections())
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

func TestBreakBeforeTheLastByteIsConnectFailed(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	nc, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	b := testPool(10)
	b.adopt(halfConn{nc}, testInstance(b, s.Address()))
	if r := doAttempt(t, b, testAttempt(t, b, s.Address())); r.result != balancer.ConnectFailed || b.connections() != 0 {
		t.Errorf("ending %d, %d open", r.result, b.connections())
	}
	if s.Received() != 0 {
		t.Error("the server got the request")
	}
}

// Bytes that arrived before a request was written are no response to it, and a close that the connection's reader
// has not yet seen, as on a busy core, is found before the write: another connection is used.
func TestUnsolicitedBytesOrACloseDisqualifyAnIdleConnection(t *testing.T) {
	for name, say := range map[string]string{"a close": "", "an answer to nothing": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"} {
		t.Run(name, func(t *testing.T) {
			s := testutil.NewServer(t, testutil.Echo)
			nc, other := testutil.ConnPair(t)
			if socketpeek.HasUnreadOrClosed(nc) {
				t.Fatal("a silent open connection has unread bytes or is closed")
			}
			b := testPool(10)
			h := testInstance(b, s.Address())
			b.open = 1
			b.idle[h] = []*upstreamConn{{Conn: nc, instance: h}} // with no reader
			if say == "" {
				other.Close()
			} else {
				io.WriteString(other, say)
			}
			testutil.Until(t, "it to arrive", func() bool { return socketpeek.HasUnreadOrClosed(nc) })
			if r := doAttempt(t, b, testAttempt(t, b, s.Address())); r.result != balancer.Success || string(r.body) != "for id" || b.connections() != 1 {
				t.Errorf("ending %d, body %q, %d open", r.result, r.body, b.connections())
			}
		})
	}
}

// A new connection on which the server sends or closes before the request is not used: the attempt ends, and does
// not dial again without end.
func TestConnectionClosedBeforeTheRequestIsNotWritten(t *testing.T) {
	nc, other := testutil.ConnPair(t)
	other.Close()
	testutil.Until(t, "the close to arrive", func() bool { return socketpeek.HasUnreadOrClosed(nc) })
	b := testPool(10)
	waiter := make(chan upstreamReply, 1)
	b.open = 1
	a := testAttempt(t, b, "127.0.0.1:1")
	c := b.startReader(nc, a.instance, waiter)
	if b.beginWrite(a.ctx, c, waiter, a) != useAnotherConn || b.connections() != 0 {
		t.Errorf("a request is written to a closed connection, or it is still counted: %d open", b.connections())
	}
}

func TestTimedOutAndCancelledAttemptsCloseTheirConnection(t *testing.T) {
	for _, want := range []balancer.AttemptResult{balancer.TimedOut, balancer.Cancelled} {
		t.Run(fmt.Sprint("result ", int(want)), func(t *testing.T) {
			got, gone := make(chan struct{}), make(chan struct{})
			s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
				close(got)
				c.Read(make([]byte, 1))
				close(gone)
				return false
			})
			b := testPool(10)
			a := testAttempt(t, b, s.Address())
			if want == balancer.TimedOut {
				a.deadline = a.sentAt + 100*time.Millisecond
			} else {
				go func() { <-got; a.cancel() }()
			}
			if r := doAttempt(t, b, a); r.result != want || b.connections() != 0 {
				t.Errorf("ending %d, %d open; want %d", r.result, b.connections(), want)
			}
			testutil.Wait(t, gone, "the close")
		})
	}
}

// newSink accepts one connection, and reports all that came on it once it is closed.
func newSink(t *testing.T) (addr string, came <-chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	all := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		text, _ := io.ReadAll(c)
		all <- string(text)
	}()
	return ln.Addr().String(), all
}

// What makes an attempt obsolete while its connection is being established is noticed before its first byte.
func TestObsoleteAttemptIsNotBegunAfterTheDial(t *testing.T) {
	now := func(b *upstreamPool, h endpointlist.Instance, change func(*endpointlist.Entry)) {
		e := endpointlist.Entry{Endpoint: balancer.Endpoint{ID: h.UID, State: balancer.Ready}, Address: h.Address, BootMS: h.BootMS}
		change(&e)
		b.updateEndpoints([]endpointlist.Entry{e}, false)
	}
	for _, c := range []struct {
		name string
		do   func(*upstreamPool, *attempt)
		want balancer.AttemptResult
	}{
		{"drains", func(b *upstreamPool, a *attempt) {
			now(b, a.instance, func(e *endpointlist.Entry) { e.State = balancer.Draining })
		}, balancer.NotSent},
		{"gone", func(b *upstreamPool, a *attempt) {
			now(b, a.instance, func(e *endpointlist.Entry) { e.State = balancer.Removed })
		}, balancer.NotSent},
		{"left out of a whole list", func(b *upstreamPool, a *attempt) { b.updateEndpoints(nil, true) }, balancer.NotSent},
		{"started anew", func(b *upstreamPool, a *attempt) { now(b, a.instance, func(e *endpointlist.Entry) { e.BootMS = 1 }) }, balancer.NotSent},
		{"moved", func(b *upstreamPool, a *attempt) {
			now(b, a.instance, func(e *endpointlist.Entry) { e.Address = "127.0.0.1:2" })
		}, balancer.NotSent},
		{"its client departed", func(b *upstreamPool, a *attempt) { a.request.markDeparted() }, balancer.NotSent},
		{"called off", func(b *upstreamPool, a *attempt) { a.cancel() }, balancer.Cancelled},
		{"repeats are discarded no longer", func(b *upstreamPool, a *attempt) { a.notAfter = b.clock.Now() }, balancer.NotSent},
		{"its time is over", func(b *upstreamPool, a *attempt) { a.deadline = b.clock.Now() }, balancer.NotSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, came := newSink(t)
			b := testPool(10)
			held := holdDials(b)
			a := testAttempt(t, b, addr)
			end := make(chan attemptOutcome, 1)
			go func() { end <- b.do(a) }()
			testutil.Wait(t, held.dialed, "the connection")
			c.do(b, a)
			close(held.release)
			if r := testutil.Wait(t, end, "the attempt's end"); r.result != c.want {
				t.Errorf("ending %d, want %d", r.result, c.want)
			}
			b.updateEndpoints(nil, true) // closes what was kept
			if text := testutil.Wait(t, came, "the close"); text != "" {
				t.Errorf("the server got %q", text)
			}
			if n := b.connections(); n != 0 {
				t.Errorf("%d connections are open", n)
			}
		})
	}
}

// drippingConn reads one byte at a time, and has the system take few bytes with each write.
type drippingConn struct{ *net.TCPConn }

func (c drippingConn) Read(p []byte) (int, error) { return c.TCPConn.Read(p[:min(1, len(p))]) }

// However few bytes a read or write moves, requests and responses arrive complete and unchanged.
func TestShortReadsAndWritesLoseNothing(t *testing.T) {
	long := strings.Repeat("\x00\r\n0\r\n", http1.MaxBodyBytes/8)
	for name, head := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long)), "close": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
				io.WriteString(c, head+body)
				return name == "length"
			})
			b := testPool(10)
			b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return drippingConn{nc.(*net.TCPConn)}, nc.(*net.TCPConn).SetWriteBuffer(1)
			}
			a := testAttempt(t, b, s.Address())
			a.request.body = []byte(long)
			if r := doAttempt(t, b, a); r.result != balancer.Success || string(r.body) != long {
				t.Errorf("ending %d, a body of %d bytes, want %d", r.result, len(r.body), len(long))
			}
		})
	}
}
