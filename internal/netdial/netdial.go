// Package netdial distinguishes faults of this machine from faults of the remote host when a connection cannot be
// opened, and retries the dial with exponential backoff after a local fault. It starts no goroutine and has no state.
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

// Exponential backoff between dials that fail because of a local fault. It is short, as a request waits for the
// connection, and long enough not to spin while the fault lasts.
const (
	minRedialBackoff = 5 * time.Millisecond
	maxRedialBackoff = 40 * time.Millisecond
)

// localErrors are the errors of socket and connect that are caused by this machine and not by the remote host. All
// others, such as ECONNREFUSED, ECONNRESET, EHOSTUNREACH, ETIMEDOUT and a dial that times out, are attributed to the
// remote host.
var localErrors = []error{
	syscall.EMFILE,        // the process has no descriptor left
	syscall.ENFILE,        // the machine has no descriptor left
	syscall.ENOBUFS,       // the kernel has no buffer left
	syscall.ENOMEM,        // the kernel has no memory left
	syscall.EADDRNOTAVAIL, // no local port is free
	syscall.EADDRINUSE,    // the local port is in use
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

// WithBackoff calls dial until it succeeds or fails because of the remote host, or until mayWait rejects the next
// backoff or ctx ends. localFault reports whether a local fault delayed or prevented the connection.
func WithBackoff(
	ctx context.Context, mayWait func(time.Duration) bool, dial func() error,
) (localFault bool, err error) {
	for backoff := minRedialBackoff; ; backoff = min(2*backoff, maxRedialBackoff) {
		err = dial()
		if !IsLocalError(err) {
			return localFault, err
		}
		localFault = true
		if !mayWait(backoff) {
			return localFault, err
		}
		monotime.Sleep(ctx, backoff)
		if ctx.Err() != nil {
			return localFault, err
		}
	}
}
