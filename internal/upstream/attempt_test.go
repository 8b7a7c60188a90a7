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

// A connection to a machine that is down is never established: the dial times out.
func TestDialTimeoutIsConnectFailed(t *testing.T) {
	address := testutil.UnreachableAddress(t)
	pool := newTestPool(10)
	pool.SetTimeouts(Timeouts{Connect: 50 * time.Millisecond, Idle: time.Minute})
	outcome := newTestAttempt(t, pool, address).do(t)
	checkOutcome(t, pool, outcome, balancer.ConnectFailed, 0)
}

// partialWriteConn lets some writes pass, and closes the connection before the last byte of the next one, which fails.
type partialWriteConn struct {
	net.Conn
	completeWrites int
}

func (c *partialWriteConn) Write(p []byte) (int, error) {
	if c.completeWrites > 0 {
		c.completeWrites--
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:len(p)-1])
	c.Conn.Close()
	return n, errors.New("connection closed before the last byte")
}

func (c *partialWriteConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func TestWriteErrorBeforeLastByteIsConnectFailed(t *testing.T) {
	for _, test := range []struct {
		name           string
		bodyBytes      int
		completeWrites int // before the write that fails
	}{
		{"in the only write", 4, 0},
		{"in the head before a long body", http1.MaxBodyBytes, 0},
		{"in a long body", http1.MaxBodyBytes, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := testutil.NewServer(t, testutil.Echo)
			nc, err := net.Dial("tcp", server.Address())
			if err != nil {
				t.Fatal(err)
			}
			pool := newTestPool(10)
			pool.adopt(&partialWriteConn{nc, test.completeWrites}, addEndpoint(pool, server.Address()))
			attempt := newTestAttempt(t, pool, server.Address())
			attempt.Request.Body = make([]byte, test.bodyBytes)
			checkOutcome(t, pool, attempt.do(t), balancer.ConnectFailed, 0)
			if server.RequestCount() != 0 {
				t.Errorf("the server received %d requests, want 0", server.RequestCount())
			}
		})
	}
}

// Bytes that arrived before a request was written are not its response. A close is detected before the write even if
// the connection's reader has not seen it yet, for example on a busy core. In both cases another connection is used.
func TestIdleConnectionIsNotReusedAfterUnsolicitedBytesOrClose(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause func(serverEnd net.Conn)
	}{
		{"a close", func(serverEnd net.Conn) { serverEnd.Close() }},
		{"an unsolicited response", func(serverEnd net.Conn) {
			io.WriteString(serverEnd, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := testutil.NewServer(t, testutil.Echo)
			nc, serverEnd := testutil.ConnPair(t)
			if socketpeek.IsReadable(nc) {
				t.Fatal("an open connection on which nothing was sent is readable")
			}
			pool := newTestPool(10)
			instance := addEndpoint(pool, server.Address())
			pool.open = 1
			pool.idle.put(&conn{Conn: nc, instance: instance}) // with no reader
			test.cause(serverEnd)
			testutil.Until(t, "the arrival", func() bool { return socketpeek.IsReadable(nc) })
			outcome := newTestAttempt(t, pool, server.Address()).do(t)
			checkOutcome(t, pool, outcome, balancer.Success, 1)
			if string(outcome.Body) != "for id" {
				t.Errorf("the body is %q, want %q", outcome.Body, "for id")
			}
		})
	}
}

// A new connection that the server closes, or on which it sends bytes, before the request is written is not used. The
// attempt ends, and does not dial repeatedly.
func TestConnectionClosedBeforeTheRequestIsNotWritten(t *testing.T) {
	nc, serverEnd := testutil.ConnPair(t)
	serverEnd.Close()
	testutil.Until(t, "arrival of the close", func() bool { return socketpeek.IsReadable(nc) })
	pool := newTestPool(10)
	waiter := newResponseWaiter(t.Context(), nil)
	pool.open = 1
	a := newTestAttempt(t, pool, "127.0.0.1:1")
	c := pool.startReader(nc, a.Instance, waiter)
	if permission := pool.grantWrite(a.ctx, c, waiter, &a.Attempt); permission != useAnotherConn {
		t.Errorf("permission on a closed connection: %v, want %v", permission, useAnotherConn)
	}
	if n := pool.Connections(); n != 0 {
		t.Errorf("%d connections are open, want 0", n)
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
			testutil.Wait(t, closed, "the close of the connection")
		})
	}
}

// An attempt that becomes obsolete while its connection is established does not write its first byte.
func TestObsoleteAttemptIsNotStartedAfterTheDial(t *testing.T) {
	updateEntry := func(a *testAttempt, change func(*endpointlist.Entry)) {
		entry := readyEntry(a.Instance.Address)
		change(&entry)
		a.pool.UpdateEndpoints([]endpointlist.Entry{entry}, false)
	}
	for _, test := range []struct {
		name       string
		duringDial func(*testAttempt)
		want       balancer.AttemptResult
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
		{"duplicates are no longer discarded", func(a *testAttempt) {
			a.NotAfter = a.pool.clock.Now()
		}, balancer.NotSent},
		{"the deadline has passed", func(a *testAttempt) { a.Deadline = a.pool.clock.Now() }, balancer.NotSent},
	} {
		t.Run(test.name, func(t *testing.T) { testObsoleteAttempt(t, test.duringDial, test.want) })
	}
}

// testObsoleteAttempt makes an attempt, calls duringDial while it connects, and checks that nothing is written.
func testObsoleteAttempt(t *testing.T, duringDial func(*testAttempt), want balancer.AttemptResult) {
	address, received := newRecordingServer(t)
	pool := newTestPool(10)
	dials := testutil.NewHoldingDialer()
	pool.Dial = dials.Dial
	a := newTestAttempt(t, pool, address)
	outcome := a.start()
	testutil.Wait(t, dials.Dialed, "the connection")
	duringDial(a)
	close(dials.Release)
	if got := testutil.Wait(t, outcome, "the outcome"); got.Result != want {
		t.Errorf("the result is %v, want %v", got.Result, want)
	}
	pool.UpdateEndpoints(nil, true) // closes the connection if it was kept
	if text := testutil.Wait(t, received, "the bytes received until the close"); text != "" {
		t.Errorf("the server received %q, want nothing", text)
	}
	if n := pool.Connections(); n != 0 {
		t.Errorf("%d connections are open, want 0", n)
	}
}

// shortReadConn reads one byte at a time.
type shortReadConn struct{ *net.TCPConn }

func (c shortReadConn) Read(p []byte) (int, error) { return c.TCPConn.Read(p[:min(1, len(p))]) }

// dialShort opens connections that read one byte at a time, and whose socket buffer takes few bytes with each write.
func dialShort(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp := nc.(*net.TCPConn)
	return shortReadConn{tcp}, tcp.SetWriteBuffer(1)
}

// Requests and responses arrive complete and unchanged, however few bytes each read or write transfers.
func TestShortReadsAndWritesLoseNothing(t *testing.T) {
	long := strings.Repeat("\x00\r\n0\r\n", http1.MaxBodyBytes/8)
	for _, test := range []struct {
		name, head string
		keepOpen   bool
	}{
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long)), true},
		{"close", "HTTP/1.1 200 OK\r\n\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, body string) bool {
				io.WriteString(conn, test.head+body)
				return test.keepOpen
			})
			pool := newTestPool(10)
			pool.Dial = dialShort
			a := newTestAttempt(t, pool, server.Address())
			a.Request.Body = []byte(long)
			outcome := a.do(t)
			if outcome.Result != balancer.Success || string(outcome.Body) != long {
				t.Errorf("result %v with a body of %d bytes, want %v with the %d bytes sent",
					outcome.Result, len(outcome.Body), balancer.Success, len(long))
			}
		})
	}
}
