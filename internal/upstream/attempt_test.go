package upstream

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

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	b := testPool(10)
	if r := doAttempt(t, b, testAttempt(t, b, testutil.ClosedPort(t))); r.Result != balancer.ConnectFailed || b.Connections() != 0 {
		t.Errorf("ending %d, %d open", r.Result, b.Connections())
	}
}

// A machine that is gone never completes a connection: the dial times out.
func TestDialTimeoutIsConnectFailed(t *testing.T) {
	addr := testutil.UnreachableAddress(t)
	b := testPool(10)
	b.Dial = (&net.Dialer{Timeout: 50 * time.Millisecond}).DialContext
	if r := doAttempt(t, b, testAttempt(t, b, addr)); r.Result != balancer.ConnectFailed || b.Connections() != 0 {
		t.Errorf("ending %d, %d open", r.Result, b.Connections())
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
	if r := doAttempt(t, b, testAttempt(t, b, s.Address())); r.Result != balancer.ConnectFailed || b.Connections() != 0 {
		t.Errorf("ending %d, %d open", r.Result, b.Connections())
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
			b.idle[h] = []*conn{{Conn: nc, instance: h}} // with no reader
			if say == "" {
				other.Close()
			} else {
				io.WriteString(other, say)
			}
			testutil.Until(t, "it to arrive", func() bool { return socketpeek.HasUnreadOrClosed(nc) })
			if r := doAttempt(t, b, testAttempt(t, b, s.Address())); r.Result != balancer.Success || string(r.Body) != "for id" || b.Connections() != 1 {
				t.Errorf("ending %d, body %q, %d open", r.Result, r.Body, b.Connections())
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
	waiter := make(chan exchangeResult, 1)
	b.open = 1
	a := testAttempt(t, b, "127.0.0.1:1")
	c := b.startReader(nc, a.Instance, waiter)
	if b.beginWrite(a.ctx, c, waiter, &a.Attempt) != useAnotherConn || b.Connections() != 0 {
		t.Errorf("a request is written to a closed connection, or it is still counted: %d open", b.Connections())
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
				a.Deadline = b.clock.Now() + 100*time.Millisecond
			} else {
				go func() { <-got; a.cancel() }()
			}
			if r := doAttempt(t, b, a); r.Result != want || b.Connections() != 0 {
				t.Errorf("ending %d, %d open; want %d", r.Result, b.Connections(), want)
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
	now := func(b *Pool, h endpointlist.Instance, change func(*endpointlist.Entry)) {
		e := endpointlist.Entry{Endpoint: balancer.Endpoint{ID: h.UID, State: balancer.Ready}, Address: h.Address, BootMS: h.BootMS}
		change(&e)
		b.UpdateEndpoints([]endpointlist.Entry{e}, false)
	}
	for _, c := range []struct {
		name string
		do   func(*Pool, *testedAttempt)
		want balancer.AttemptResult
	}{
		{"drains", func(b *Pool, a *testedAttempt) {
			now(b, a.Instance, func(e *endpointlist.Entry) { e.State = balancer.Draining })
		}, balancer.NotSent},
		{"gone", func(b *Pool, a *testedAttempt) {
			now(b, a.Instance, func(e *endpointlist.Entry) { e.State = balancer.Removed })
		}, balancer.NotSent},
		{"left out of a whole list", func(b *Pool, a *testedAttempt) { b.UpdateEndpoints(nil, true) }, balancer.NotSent},
		{"started anew", func(b *Pool, a *testedAttempt) { now(b, a.Instance, func(e *endpointlist.Entry) { e.BootMS = 1 }) }, balancer.NotSent},
		{"moved", func(b *Pool, a *testedAttempt) {
			now(b, a.Instance, func(e *endpointlist.Entry) { e.Address = "127.0.0.1:2" })
		}, balancer.NotSent},
		{"its client departed", func(b *Pool, a *testedAttempt) { a.Request.MarkDeparted() }, balancer.NotSent},
		{"called off", func(b *Pool, a *testedAttempt) { a.cancel() }, balancer.Cancelled},
		{"repeats are discarded no longer", func(b *Pool, a *testedAttempt) { a.NotAfter = b.clock.Now() }, balancer.NotSent},
		{"its time is over", func(b *Pool, a *testedAttempt) { a.Deadline = b.clock.Now() }, balancer.NotSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, came := newSink(t)
			b := testPool(10)
			held := testutil.NewHeldDials()
			b.Dial = held.Dial
			a := testAttempt(t, b, addr)
			end := make(chan Outcome, 1)
			go func() { end <- a.do() }()
			testutil.Wait(t, held.Dialed, "the connection")
			c.do(b, a)
			close(held.Release)
			if r := testutil.Wait(t, end, "the attempt's end"); r.Result != c.want {
				t.Errorf("ending %d, want %d", r.Result, c.want)
			}
			b.UpdateEndpoints(nil, true) // closes what was kept
			if text := testutil.Wait(t, came, "the close"); text != "" {
				t.Errorf("the server got %q", text)
			}
			if n := b.Connections(); n != 0 {
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
			b.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return drippingConn{nc.(*net.TCPConn)}, nc.(*net.TCPConn).SetWriteBuffer(1)
			}
			a := testAttempt(t, b, s.Address())
			a.Request.Body = []byte(long)
			if r := doAttempt(t, b, a); r.Result != balancer.Success || string(r.Body) != long {
				t.Errorf("ending %d, a body of %d bytes, want %d", r.Result, len(r.Body), len(long))
			}
		})
	}
}
