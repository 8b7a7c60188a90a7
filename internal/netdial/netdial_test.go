package netdial

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

func TestIsLocalError(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		local bool
	}{
		{"no descriptor left", testutil.DialError("socket", syscall.EMFILE), true},
		{"no route", testutil.DialError("connect", syscall.ENETUNREACH), true},
		{"refused", testutil.DialError("connect", syscall.ECONNREFUSED), false},
		{"host is unreachable", testutil.DialError("connect", syscall.EHOSTUNREACH), false},
		{"timed out", os.ErrDeadlineExceeded, false},
		{"none", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := IsLocalError(c.err); got != c.local {
				t.Errorf("got %v, want %v", got, c.local)
			}
		})
	}
}

func TestWithBackoff(t *testing.T) {
	local, refused := testutil.DialError("socket", syscall.EMFILE), testutil.DialError("connect", syscall.ECONNREFUSED)
	for _, c := range []struct {
		name       string
		err        error
		failures   int32 // number of dials that fail with err
		mayWait    bool
		cancelled  bool // the context
		dials      int
		localFault bool
		want       error
	}{
		{name: "succeeds", dials: 1, mayWait: true},
		{name: "a transient local fault", err: local, failures: 2, mayWait: true, dials: 3, localFault: true},
		{name: "no time to wait", err: local, failures: 2, dials: 1, localFault: true, want: syscall.EMFILE},
		{
			name: "the context is cancelled", err: local, failures: 2, mayWait: true, cancelled: true,
			dials: 1, localFault: true, want: syscall.EMFILE,
		},
		{
			name: "a remote fault", err: refused, failures: 2, mayWait: true,
			dials: 1, want: syscall.ECONNREFUSED,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.cancelled {
				cancel()
			}
			dials, fail := 0, testutil.FailTimes(c.err, c.failures)
			localFault, err := WithBackoff(ctx, func(time.Duration) bool { return c.mayWait }, func() error {
				dials++
				return fail()
			})
			if dials != c.dials || localFault != c.localFault || !errors.Is(err, c.want) {
				t.Errorf("got %d dials, local fault %v, error %v; want %d, %v, %v",
					dials, localFault, err, c.dials, c.localFault, c.want)
			}
		})
	}
}
