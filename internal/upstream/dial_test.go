package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/testutil"
)

// A local fault that lasts ends an attempt as not sent, before its time is over; an error of the server ends it at
// once. The module is told whether the node itself held the attempt up.
func TestFailedDials(t *testing.T) {
	local, refused := testutil.DialError("socket", syscall.EMFILE), testutil.DialError("connect", syscall.ECONNREFUSED)
	for _, c := range []struct {
		name   string
		err    error
		times  int32
		during func(*Pool, *testedAttempt) // after the first failure
		want   balancer.AttemptResult
		heldUp bool
	}{
		{"served", nil, 0, nil, balancer.Success, false},
		{"local for a moment", local, 2, nil, balancer.Success, true},
		{"local for long", local, 1e6, func(b *Pool, a *testedAttempt) { a.Deadline = b.clock.Now() + 150*time.Millisecond }, balancer.NotSent, true},
		{"local until it must not begin", local, 1e6, func(b *Pool, a *testedAttempt) { a.NotAfter = b.clock.Now() + 150*time.Millisecond }, balancer.NotSent, true},
		{"local until its server is gone", local, 1e6, func(b *Pool, a *testedAttempt) { b.UpdateEndpoints(nil, true) }, balancer.NotSent, true},
		{"local until it is called off", local, 1e6, func(b *Pool, a *testedAttempt) { a.cancel() }, balancer.NotSent, true},
		{"local until a connection is idle", local, 1e6, func(b *Pool, a *testedAttempt) {
			nc, err := net.Dial("tcp", a.Instance.Address)
			if err != nil {
				t.Error(err)
				return
			}
			b.adopt(nc, a.Instance)
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
			f := &testutil.FailingDial{Err: c.err, Times: c.times}
			b.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				nc, err := f.Dial(ctx, network, address)
				if c.during != nil && f.Dials.Load() == 1 {
					c.during(b, a)
				}
				return nc, err
			}
			r := doAttempt(t, b, a)
			if r.Result != c.want || r.HeldUp != c.heldUp {
				t.Errorf("ending %d, held up %v; want %d, %v", r.Result, r.HeldUp, c.want, c.heldUp)
			}
			served := 0
			if c.want == balancer.Success {
				served = 1
			}
			if b.Connections() != served || s.Received() != served {
				t.Errorf("%d connections are open, the server got %d requests", b.Connections(), s.Received())
			}
			// 5, 10, 20 and 40 ms, and 40 ms each from then on: a wait may be longer, but never shorter.
			if got := f.Dials.Load(); got > 7 || c.want == balancer.ConnectFailed && got != 1 {
				t.Errorf("%d dials", got)
			}
		})
	}
}
