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

// alwaysFail is more failing dials than an attempt has time for.
const alwaysFail = 1e6

// dialFailure is a case of TestFailedDials.
type dialFailure struct {
	name        string
	err         error
	failedDials int32                          // number of dials that fail
	during      func(*testing.T, *testAttempt) // called after the first failure, unless nil
	want        balancer.AttemptResult
	localFault  bool
}

// localDialFailures returns the failures that are faults of this machine.
func localDialFailures() []dialFailure {
	local := testutil.DialError("socket", syscall.EMFILE)
	return []dialFailure{
		{name: "for two dials", err: local, failedDials: 2, want: balancer.Success, localFault: true},
		{
			name: "until the deadline", err: local, failedDials: alwaysFail,
			during: func(_ *testing.T, a *testAttempt) { a.Deadline = a.pool.clock.Now() + 150*time.Millisecond },
			want:   balancer.NotSent, localFault: true,
		},
		{
			name: "until duplicates are no longer discarded", err: local, failedDials: alwaysFail,
			during: func(_ *testing.T, a *testAttempt) { a.NotAfter = a.pool.clock.Now() + 150*time.Millisecond },
			want:   balancer.NotSent, localFault: true,
		},
		{
			name: "until the endpoint is removed", err: local, failedDials: alwaysFail,
			during: func(_ *testing.T, a *testAttempt) { a.pool.UpdateEndpoints(nil, true) },
			want:   balancer.NotSent, localFault: true,
		},
		{
			name: "until the attempt is cancelled", err: local, failedDials: alwaysFail,
			during: func(_ *testing.T, a *testAttempt) { a.cancel() },
			want:   balancer.NotSent, localFault: true,
		},
		{
			name: "until a connection is idle", err: local, failedDials: alwaysFail,
			during: func(t *testing.T, a *testAttempt) {
				nc, err := net.Dial("tcp", a.Instance.Address)
				if err != nil {
					t.Error(err)
					return
				}
				a.pool.adopt(nc, a.Instance)
			},
			want: balancer.Success, localFault: true,
		},
	}
}

// endpointDialFailures returns the failures that are faults of the endpoint: the first one ends the attempt.
func endpointDialFailures() []dialFailure {
	failures := []dialFailure{
		{name: "refused", err: testutil.DialError("connect", syscall.ECONNREFUSED)},
		{name: "no route to the host", err: testutil.DialError("connect", syscall.EHOSTUNREACH)},
		{name: "timed out", err: testutil.DialError("connect", syscall.ETIMEDOUT)},
		{name: "reset", err: testutil.DialError("connect", syscall.ECONNRESET)},
		{name: "the connect timeout", err: &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}},
	}
	for i := range failures {
		failures[i].failedDials, failures[i].want = alwaysFail, balancer.ConnectFailed
	}
	return failures
}

// A lasting local fault ends an attempt as not sent, before its deadline. A fault of the endpoint ends it at once. The
// outcome shows whether a local fault delayed the attempt.
func TestFailedDials(t *testing.T) {
	t.Run("no failure", func(t *testing.T) { testFailedDials(t, dialFailure{want: balancer.Success}) })
	for _, test := range localDialFailures() {
		t.Run("local "+test.name, func(t *testing.T) { testFailedDials(t, test) })
	}
	for _, test := range endpointDialFailures() {
		t.Run(test.name, func(t *testing.T) { testFailedDials(t, test) })
	}
}

func testFailedDials(t *testing.T, test dialFailure) {
	server := testutil.NewServer(t, testutil.Echo)
	pool := newTestPool(10)
	a := newTestAttempt(t, pool, server.Address())
	failing := &testutil.FailingDialer{Err: test.err, Failures: test.failedDials}
	pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := failing.Dial(ctx, network, address)
		if test.during != nil && failing.Dials.Load() == 1 {
			test.during(t, a)
		}
		return nc, err
	}
	outcome := a.do(t)
	wantRequests := 0
	if test.want == balancer.Success {
		wantRequests = 1
	}
	checkOutcome(t, pool, outcome, test.want, wantRequests)
	if outcome.LocalFault != test.localFault {
		t.Errorf("local fault: %v, want %v", outcome.LocalFault, test.localFault)
	}
	if n := server.RequestCount(); n != wantRequests {
		t.Errorf("the server received %d requests, want %d", n, wantRequests)
	}
	// The backoff is 5, 10, 20 and then 40 ms each. A wait may take longer but never less, which limits the dials.
	if dials := failing.Dials.Load(); dials > 7 || test.want == balancer.ConnectFailed && dials != 1 {
		t.Errorf("%d dials, want at most 7, and 1 after a fault of the endpoint", dials)
	}
}
