package node

import (
	"context"
	"errors"
	"fmt"
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

// connect takes a rested idle connection, or opens a fresh one. Local trouble is waited out for as long as the
// attempt may begin.
func (b *upstreamPool) connect(ctx context.Context, a *attempt, waiter chan upstreamReply) (c *upstreamConn, fresh bool, err error) {
	mayWait := func(wait time.Duration) bool { return b.mayBeginIn(a, wait) }
	heldUp, err := dialWithBackoff(ctx, mayWait, func() error {
		c, fresh, err = b.connectOnce(ctx, a.instance, waiter)
		return err
	})
	a.heldUp = a.heldUp || heldUp
	return c, fresh, err
}

// mayBeginIn says that an attempt has time left after a wait, and that its server is still to be used.
func (b *upstreamPool) mayBeginIn(a *attempt, wait time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	begin := b.clock.now() + wait
	return begin < a.deadline && (a.notAfter == 0 || begin < a.notAfter) && b.isReady(a.instance)
}

// connectOnce does so with one dial at most.
func (b *upstreamPool) connectOnce(ctx context.Context, to endpointInstance, waiter chan upstreamReply) (c *upstreamConn, fresh bool, err error) {
	c, err = b.takeIdle(to, waiter)
	if c != nil || err != nil {
		return c, false, err
	}
	nc, err := b.dial(ctx, "tcp", to.address)
	if err != nil {
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
		return nil, true, fmt.Errorf("connect: %w", err)
	}
	return b.startReader(nc, to, waiter), true, nil
}
