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

// alwaysFail is a number of failing dials that no attempt has time for.
const alwaysFail = 1e6

// dialFailure is a row of TestFailedDials.
type dialFailure struct {
	name   string
	err    error
	times  int32                          // how many dials fail
	during func(*testing.T, *testAttempt) // after the first failure; nil: nothing happens
	want   balancer.AttemptResult
	heldUp bool
}

// localDialFailures are those of this machine.
func localDialFailures() []dialFailure {
	local := testutil.DialError("socket", syscall.EMFILE)
	return []dialFailure{
		{name: "for a moment", err: local, times: 2, want: balancer.Success, heldUp: true},
		{
			name: "until the deadline", err: local, times: alwaysFail,
			during: func(_ *testing.T, a *testAttempt) { a.Deadline = a.pool.clock.Now() + 150*time.Millisecond },
			want:   balancer.NotSent, heldUp: true,
		},
		{
			name: "until repeats are no longer discarded", err: local, times: alwaysFail,
			during: func(_ *testing.T, a *testAttempt) { a.NotAfter = a.pool.clock.Now() + 150*time.Millisecond },
			want:   balancer.NotSent, heldUp: true,
		},
		{
			name: "until the endpoint is removed", err: local, times: alwaysFail,
			during: func(_ *testing.T, a *testAttempt) { a.pool.UpdateEndpoints(nil, true) },
			want:   balancer.NotSent, heldUp: true,
		},
		{
			name: "until the attempt is cancelled", err: local, times: alwaysFail,
			during: func(_ *testing.T, a *testAttempt) { a.cancel() },
			want:   balancer.NotSent, heldUp: true,
		},
		{
			name: "until a connection is idle", err: local, times: alwaysFail,
			during: func(t *testing.T, a *testAttempt) {
				nc, err := net.Dial("tcp", a.Instance.Address)
				if err != nil {
					t.Error(err)
					return
				}
				a.pool.adopt(nc, a.Instance)
			},
			want: balancer.Success, heldUp: true,
		},
	}
}

// endpointDialFailures are those of the endpoint: the first one ends the attempt.
func endpointDialFailures() []dialFailure {
	failures := []dialFailure{
		{name: "refused", err: testutil.DialError("connect", syscall.ECONNREFUSED)},
		{name: "no route to the host", err: testutil.DialError("connect", syscall.EHOSTUNREACH)},
		{name: "timed out", err: testutil.DialError("connect", syscall.ETIMEDOUT)},
		{name: "reset", err: testutil.DialError("connect", syscall.ECONNRESET)},
		{name: "the connect timeout", err: &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}},
	}
	for i := range failures {
		failures[i].times, failures[i].want = alwaysFail, balancer.ConnectFailed
	}
	return failures
}

// A local fault that lasts ends an attempt as not sent, before its time is over; an error of the endpoint ends it at
// once. The outcome says whether this machine delayed the attempt.
func TestFailedDials(t *testing.T) {
	t.Run("no failure", func(t *testing.T) { testFailedDials(t, dialFailure{want: balancer.Success}) })
	for _, c := range localDialFailures() {
		t.Run("local "+c.name, func(t *testing.T) { testFailedDials(t, c) })
	}
	for _, c := range endpointDialFailures() {
		t.Run(c.name, func(t *testing.T) { testFailedDials(t, c) })
	}
}

func testFailedDials(t *testing.T, c dialFailure) {
	server := testutil.NewServer(t, testutil.Echo)
	pool := newTestPool(10)
	a := newTestAttempt(t, pool, server.Address())
	failing := &testutil.FailingDialer{Err: c.err, Failures: c.times}
	pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := failing.Dial(ctx, network, address)
		if c.during != nil && failing.Dials.Load() == 1 {
			c.during(t, a)
		}
		return nc, err
	}
	outcome := a.do(t)
	served := 0
	if c.want == balancer.Success {
		served = 1
	}
	checkOutcome(t, pool, outcome, c.want, served)
	if outcome.HeldUp != c.heldUp {
		t.Errorf("held up: %v, want %v", outcome.HeldUp, c.heldUp)
	}
	if n := server.RequestCount(); n != served {
		t.Errorf("the server received %d requests, want %d", n, served)
	}
	// 5, 10, 20 and 40 ms, and 40 ms each from then on: a wait may be longer, but never shorter.
	if dials := failing.Dials.Load(); dials > 7 || c.want == balancer.ConnectFailed && dials != 1 {
		t.Errorf("%d dials", dials)
	}
}
