package node

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/testutil"
)

// failingDial fails a number of times and dials from then on. It counts all dials.
type failingDial struct {
	err   error
	times int32
	dials atomic.Int32
}

func (f *failingDial) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if f.dials.Add(1) <= f.times {
		return nil, f.err
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

var localErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EPERM, syscall.EACCES, syscall.EINTR,
}

// A connection that cannot be opened for a moment, by a fault of this machine, is dialled again, and its request
// is served by its server, which receives it once.
func TestTransientLocalDialErrorIsRetried(t *testing.T) {
	for _, errno := range localErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			s := testutil.NewServer(t, testutil.Echo)
			f := &failingDial{err: testutil.DialError("connect", errno), times: 3}
			n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), func(n *Node) { n.upstream.dial = f.dial })
			c := dial(t, n)
			c.Send("POST", "/note/k", "r", "x", "60")
			c.Expect(t, 200, "for r")
			if s.Received() != 1 || f.dials.Load() != 4 || n.upstream.connections() != 1 {
				t.Errorf("%d requests at the server after %d dials, %d connections open", s.Received(), f.dials.Load(), n.upstream.connections())
			}
		})
	}
}

// A local fault that lasts ends an attempt as not sent, before its time is over; an error of the server ends it at
// once. The module is told whether the node itself held the attempt up.
func TestFailedDials(t *testing.T) {
	local, refused := testutil.DialError("socket", syscall.EMFILE), testutil.DialError("connect", syscall.ECONNREFUSED)
	for _, c := range []struct {
		name   string
		err    error
		times  int32
		during func(*upstreamPool, *attempt) // after the first failure
		want   balancer.AttemptResult
		heldUp bool
	}{
		{"served", nil, 0, nil, balancer.Success, false},
		{"local for a moment", local, 2, nil, balancer.Success, true},
		{"local for long", local, 1e6, func(b *upstreamPool, a *attempt) { a.deadline = b.clock.Now() + 150*time.Millisecond }, balancer.NotSent, true},
		{"local until it must not begin", local, 1e6, func(b *upstreamPool, a *attempt) { a.notAfter = b.clock.Now() + 150*time.Millisecond }, balancer.NotSent, true},
		{"local until its server is gone", local, 1e6, func(b *upstreamPool, a *attempt) { b.updateEndpoints(nil, true) }, balancer.NotSent, true},
		{"local until it is called off", local, 1e6, func(b *upstreamPool, a *attempt) { a.cancel() }, balancer.NotSent, true},
		{"local until a connection is idle", local, 1e6, func(b *upstreamPool, a *attempt) {
			nc, err := net.Dial("tcp", a.instance.Address)
			if err != nil {
				t.Error(err)
				return
			}
			b.adopt(nc, a.instance)
		}, balancer.Success, true},
		{"refused", refused, 1e6, nil, balancer.ConnectFailed, false},
		{"no way to the host", testutil.DialError("connect", syscall.EHOSTUNREACH), 1e6, nil, balancer.ConnectFailed, false},
		{"timed out", testutil.DialError("connect", syscall.ETIMEDOUT), 1e6, nil, balancer.ConnectFailed, false},
		{"reset", testutil.DialError("connect", syscall.ECONNRESET), 1e6, nil, balancer.ConnectFailed, false},
		{"not up in time", &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}, 1e6, nil, balancer.ConnectFailed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testutil.NewServer(t, testutil.Echo)
			b := testPool(10)
			a := testAttempt(t, b, s.Address())
			f := &failingDial{err: c.err, times: c.times}
			b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				nc, err := f.dial(ctx, network, address)
				if c.during != nil && f.dials.Load() == 1 {
					c.during(b, a)
				}
				return nc, err
			}
			r := doAttempt(t, b, a)
			if r.result != c.want || a.heldUp != c.heldUp {
				t.Errorf("ending %d, held up %v; want %d, %v", r.result, a.heldUp, c.want, c.heldUp)
			}
			served := 0
			if c.want == balancer.Success {
				served = 1
			}
			if b.connections() != served || s.Received() != served {
				t.Errorf("%d connections are open, the server got %d requests", b.connections(), s.Received())
			}
			// 5, 10, 20 and 40 ms, and 40 ms each from then on: a wait may be longer, but never shorter.
			if got := f.dials.Load(); got > 7 || c.want == balancer.ConnectFailed && got != 1 {
				t.Errorf("%d dials", got)
			}
		})
	}
}
