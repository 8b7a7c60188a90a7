package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Backoff between dials that failed by local trouble: short, as a request waits for them, and long enough not
// to spin while the trouble lasts.
const (
	minRedialBackoff = 5 * time.Millisecond
	maxRedialBackoff = 40 * time.Millisecond
)

// localTroubles are the errors of socket and connect that tell of this machine and not of the one that is
// dialled. All others, such as ECONNREFUSED, ECONNRESET, EHOSTUNREACH, ETIMEDOUT and a connection that does
// not come up in time, are the other side's.
var localDialErrors = []error{
	syscall.EMFILE,        // the process has no descriptor left
	syscall.ENFILE,        // the machine has no descriptor left
	syscall.ENOBUFS,       // the kernel has no buffer left
	syscall.ENOMEM,        // the kernel has no memory left
	syscall.EADDRNOTAVAIL, // no local port is free
	syscall.EADDRINUSE,    // the local port was taken meanwhile
	syscall.EAGAIN,        // no local port or routing entry is free
	syscall.ENETUNREACH,   // the machine has no route, as while an interface is set up anew
	syscall.ENETDOWN,      // the machine's interface is down
	syscall.EPERM,         // the machine's packet filter rejects it
	syscall.EACCES,        // the machine's security policy rejects it
	syscall.EINTR,         // a signal came
}

// isLocalTrouble says that a connection could not be opened for a reason of this machine's own.
func isLocalDialError(err error) bool {
	for _, trouble := range localDialErrors {
		if errors.Is(err, trouble) {
			return true
		}
	}
	return false
}

// retryLocalTrouble dials until that succeeds or fails by the other side's doing, and until mayWait rejects the
// next backoff or ctx ends. It says whether local trouble held up the dial whose error it returns.
func dialWithBackoff(ctx context.Context, mayWait func(time.Duration) bool, dial func() error) (heldUp bool, err error) {
	for wait := minRedialBackoff; ; wait = min(2*wait, maxRedialBackoff) {
		err = dial()
		if !isLocalDialError(err) {
			return heldUp, err
		}
		heldUp = true
		if !mayWait(wait) {
			return heldUp, err
		}
		sleep(ctx, wait)
		if ctx.Err() != nil {
			return heldUp, err
		}
	}
}
