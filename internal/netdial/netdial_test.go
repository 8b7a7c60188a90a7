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
		{"no way to the host", testutil.DialError("connect", syscall.EHOSTUNREACH), false},
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
		name    string
		err     error
		times   int32
		mayWait bool
		ended   bool // the context
		dials   int
		heldUp  bool
		want    error
	}{
		{name: "succeeds", dials: 1, mayWait: true},
		{name: "a local fault passes", err: local, times: 2, mayWait: true, dials: 3, heldUp: true},
		{name: "no time to wait", err: local, times: 2, dials: 1, heldUp: true, want: syscall.EMFILE},
		{
			name: "the context has ended", err: local, times: 2, mayWait: true, ended: true,
			dials: 1, heldUp: true, want: syscall.EMFILE,
		},
		{
			name: "a fault of the other side", err: refused, times: 2, mayWait: true,
			dials: 1, want: syscall.ECONNREFUSED,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.ended {
				cancel()
			}
			dials, fail := 0, testutil.FailTimes(c.err, c.times)
			heldUp, err := WithBackoff(ctx, func(time.Duration) bool { return c.mayWait }, func() error {
				dials++
				return fail()
			})
			if dials != c.dials || heldUp != c.heldUp || !errors.Is(err, c.want) {
				t.Errorf("%d dials, held up %v, %v; want %d, %v, %v", dials, heldUp, err, c.dials, c.heldUp, c.want)
			}
		})
	}
}
