// Package netdial tells faults of this machine from those of the other side when a connection can't be opened, and
// dials again with backoff after the former. It starts no goroutine and holds no state.
package netdial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"basaltdrum/internal/monotime"
)

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Exponential backoff between dials that failed by a local fault. It is short, as a request waits for the
// connection, and long enough not to spin while the fault lasts.
const (
	minRedialBackoff = 5 * time.Millisecond
	maxRedialBackoff = 40 * time.Millisecond
)

// localErrors are the errors of socket and connect that concern this machine and not the one that is dialled.
// All others, such as ECONNREFUSED, ECONNRESET, EHOSTUNREACH, ETIMEDOUT and a dial that times out, are attributed
// to the other side.
var localErrors = []error{
	syscall.EMFILE,        // the process has no descriptor left
	syscall.ENFILE,        // the machine has no descriptor left
	syscall.ENOBUFS,       // the kernel has no buffer left
	syscall.ENOMEM,        // the kernel has no memory left
	syscall.EADDRNOTAVAIL, // no local port is free
	syscall.EADDRINUSE,    // the local port was taken meanwhile
	syscall.EAGAIN,        // no local port or routing entry is free
	syscall.ENETUNREACH,   // the machine has no route, as while an interface is reconfigured
	syscall.ENETDOWN,      // the machine's interface is down
	syscall.EPERM,         // the machine's packet filter rejects it
	syscall.EACCES,        // the machine's security policy rejects it
	syscall.EINTR,         // a signal arrived
}

// IsLocalError reports whether a connection could not be opened because of a fault of this machine.
func IsLocalError(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// WithBackoff dials until the dial succeeds or fails through the other side, or until mayWait denies the next
// backoff or ctx ends. heldUp reports whether a local fault delayed or prevented the connection.
func WithBackoff(
	ctx context.Context, mayWait func(time.Duration) bool, dial func() error,
) (heldUp bool, err error) {
	for backoff := minRedialBackoff; ; backoff = min(2*backoff, maxRedialBackoff) {
		err = dial()
		if !IsLocalError(err) {
			return heldUp, err
		}
		heldUp = true
		if !mayWait(backoff) {
			return heldUp, err
		}
		monotime.Sleep(ctx, backoff)
		if ctx.Err() != nil {
			return heldUp, err
		}
	}
}
