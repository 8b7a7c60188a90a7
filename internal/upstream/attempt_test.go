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
	pool := newTestPool(10)
	outcome := newTestAttempt(t, pool, testutil.ClosedPort(t)).do(t)
	checkOutcome(t, pool, outcome, balancer.ConnectFailed, 0)
}

// A machine that is down never completes a connection: the dial times out.
func TestDialTimeoutIsConnectFailed(t *testing.T) {
	address := testutil.UnreachableAddress(t)
	pool := newTestPool(10)
	pool.SetTimeouts(Timeouts{Connect: 50 * time.Millisecond, Idle: time.Minute})
	outcome := newTestAttempt(t, pool, address).do(t)
	checkOutcome(t, pool, outcome, balancer.ConnectFailed, 0)
}

// partialWriteConn breaks before the last byte of a write.
type partialWriteConn struct{ net.Conn }

func (c partialWriteConn) Write(p []byte) (int, error) {
	n, _ := c.Conn.Write(p[:len(p)-1])
	c.Conn.Close()
	return n, errors.New("broken")
}

func (c partialWriteConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func TestBreakBeforeTheLastByteIsConnectFailed(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	nc, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	pool := newTestPool(10)
	pool.adopt(partialWriteConn{nc}, addEndpoint(pool, server.Address()))
	outcome := newTestAttempt(t, pool, server.Address()).do(t)
	checkOutcome(t, pool, outcome, balancer.ConnectFailed, 0)
	if server.RequestCount() != 0 {
		t.Error("the server received the request")
	}
}

// Bytes that arrived before a request was written are no response to it, and a close that the connection's reader
// has not seen yet, as on a busy core, is detected before the write: another connection is used.
func TestUnsolicitedBytesOrACloseDisqualifyAnIdleConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		arrive func(other net.Conn)
	}{
		{"a close", func(other net.Conn) { other.Close() }},
		{"an unsolicited response", func(other net.Conn) {
			io.WriteString(other, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := testutil.NewServer(t, testutil.Echo)
			nc, other := testutil.ConnPair(t)
			if socketpeek.IsReadable(nc) {
				t.Fatal("a silent open connection has unread bytes or is closed")
			}
			pool := newTestPool(10)
			instance := addEndpoint(pool, server.Address())
			pool.open = 1
			pool.idle.put(&conn{Conn: nc, instance: instance}) // with no reader
			c.arrive(other)
			testutil.Until(t, "it to arrive", func() bool { return socketpeek.IsReadable(nc) })
			outcome := newTestAttempt(t, pool, server.Address()).do(t)
			checkOutcome(t, pool, outcome, balancer.Success, 1)
			if string(outcome.Body) != "for id" {
				t.Errorf("the body is %q", outcome.Body)
			}
		})
	}
}

// A new connection on which the server sends or closes before the request is not used: the attempt ends, and does
// not dial again without end.
func TestConnectionClosedBeforeTheRequestIsNotWritten(t *testing.T) {
	nc, other := testutil.ConnPair(t)
	other.Close()
	testutil.Until(t, "the close to arrive", func() bool { return socketpeek.IsReadable(nc) })
	pool := newTestPool(10)
	waiter := make(chan exchangeResult, 1)
	pool.open = 1
	a := newTestAttempt(t, pool, "127.0.0.1:1")
	c := pool.startReader(nc, a.Instance, waiter)
	if permission := pool.startWrite(a.ctx, c, waiter, &a.Attempt); permission != useAnotherConn {
		t.Errorf("on a closed connection: %v", permission)
	}
	if n := pool.Connections(); n != 0 {
		t.Errorf("%d connections are open", n)
	}
}

func TestTimedOutAndCancelledAttemptsCloseTheirConnection(t *testing.T) {
	for _, want := range []balancer.AttemptResult{balancer.TimedOut, balancer.Cancelled} {
		t.Run(want.String(), func(t *testing.T) {
			received, closed := make(chan struct{}), make(chan struct{})
			server := testutil.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
				close(received)
				c.Read(make([]byte, 1))
				close(closed)
				return false
			})
			pool := newTestPool(10)
			a := newTestAttempt(t, pool, server.Address())
			if want == balancer.TimedOut {
				a.Deadline = pool.clock.Now() + 100*time.Millisecond
			} else {
				go func() { <-received; a.cancel() }()
			}
			checkOutcome(t, pool, a.do(t), want, 0)
			testutil.Wait(t, closed, "the close")
		})
	}
}

// What makes an attempt obsolete while its connection is being established is noticed before its first byte.
func TestObsoleteAttemptIsNotBegunAfterTheDial(t *testing.T) {
	updateEntry := func(a *testAttempt, change func(*endpointlist.Entry)) {
		entry := readyEntry(a.Instance.Address)
		change(&entry)
		a.pool.UpdateEndpoints([]endpointlist.Entry{entry}, false)
	}
	for _, c := range []struct {
		name   string
		during func(*testAttempt)
		want   balancer.AttemptResult
	}{
		{"the endpoint drains", func(a *testAttempt) {
			updateEntry(a, func(e *endpointlist.Entry) { e.State = balancer.Draining })
		}, balancer.NotSent},
		{"the endpoint is removed", func(a *testAttempt) {
			updateEntry(a, func(e *endpointlist.Entry) { e.State = balancer.Removed })
		}, balancer.NotSent},
		{"a complete list without the endpoint", func(a *testAttempt) {
			a.pool.UpdateEndpoints(nil, true)
		}, balancer.NotSent},
		{"the endpoint restarts", func(a *testAttempt) {
			updateEntry(a, func(e *endpointlist.Entry) { e.BootMS = 1 })
		}, balancer.NotSent},
		{"the endpoint has another address", func(a *testAttempt) {
			updateEntry(a, func(e *endpointlist.Entry) { e.Address = "127.0.0.1:2" })
		}, balancer.NotSent},
		{"the client departs", func(a *testAttempt) { a.Request.MarkDeparted() }, balancer.NotSent},
		{"the attempt is cancelled", func(a *testAttempt) { a.cancel() }, balancer.Cancelled},
		{"repeats are no longer discarded", func(a *testAttempt) { a.NotAfter = a.pool.clock.Now() }, balancer.NotSent},
		{"its time is over", func(a *testAttempt) { a.Deadline = a.pool.clock.Now() }, balancer.NotSent},
	} {
		t.Run(c.name, func(t *testing.T) { testObsoleteAttempt(t, c.during, c.want) })
	}
}

// testObsoleteAttempt makes an attempt, lets something happen while it connects, and checks that nothing is written.
func testObsoleteAttempt(t *testing.T, during func(*testAttempt), want balancer.AttemptResult) {
	address, received := newRecordingServer(t)
	pool := newTestPool(10)
	dials := testutil.NewHoldingDialer()
	pool.Dial = dials.Dial
	a := newTestAttempt(t, pool, address)
	outcome := a.start()
	testutil.Wait(t, dials.Dialed, "the connection")
	during(a)
	close(dials.Release)
	if got := testutil.Wait(t, outcome, "the outcome"); got.Result != want {
		t.Errorf("the result is %v, want %v", got.Result, want)
	}
	pool.UpdateEndpoints(nil, true) // closes the connection if it was kept
	if text := testutil.Wait(t, received, "the close"); text != "" {
		t.Errorf("the server received %q", text)
	}
	if n := pool.Connections(); n != 0 {
		t.Errorf("%d connections are open", n)
	}
}

// shortReadConn reads one byte at a time.
type shortReadConn struct{ *net.TCPConn }

func (c shortReadConn) Read(p []byte) (int, error) { return c.TCPConn.Read(p[:min(1, len(p))]) }

// dialShort opens connections that read one byte at a time, and whose system takes few bytes with each write.
func dialShort(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp := nc.(*net.TCPConn)
	return shortReadConn{tcp}, tcp.SetWriteBuffer(1)
}

// However few bytes a read or write moves, requests and responses arrive complete and unchanged.
func TestShortReadsAndWritesLoseNothing(t *testing.T) {
	long := strings.Repeat("\x00\r\n0\r\n", http1.MaxBodyBytes/8)
	for _, c := range []struct {
		name, head string
		keepOpen   bool
	}{
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long)), true},
		{"close", "HTTP/1.1 200 OK\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, body string) bool {
				io.WriteString(conn, c.head+body)
				return c.keepOpen
			})
			pool := newTestPool(10)
			pool.Dial = dialShort
			a := newTestAttempt(t, pool, server.Address())
			a.Request.Body = []byte(long)
			outcome := a.do(t)
			if outcome.Result != balancer.Success || string(outcome.Body) != long {
				t.Errorf("%v, a body of %d bytes, want %d", outcome.Result, len(outcome.Body), len(long))
			}
		})
	}
}
