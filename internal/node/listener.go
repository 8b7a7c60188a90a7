package node

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// The wait after a failed accept: it doubles with each further failure.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond

	// shutWait is for how long the queue must be empty before a listener that is shut is closed. While
	// it is shut, no backoff is longer.
	shutWait = 20 * time.Millisecond

	// acceptLogInterval is the least time between two log lines about failed accepts.
	acceptLogInterval = 5 * time.Second
)

// callerListener accepts downstream connections as callerConns. Only a closed listener ends it: any other
// error of accept is the system's trouble for a moment, and net/http, which would end the server on most
// of them, never gets to see it.
type callerListener struct {
	net.Listener
	callers *callers
	log     *slog.Logger

	readTimeout time.Duration // for reading the rest of a request that has begun; 0: none

	shutOnce, closeOnce sync.Once
	shutting, closed    chan struct{}

	// Used by Accept alone.
	backoff  time.Duration // the last wait; 0: the last accept did not fail
	logged   time.Duration // when a failure was last logged; 0: never
	unlogged int           // failures since then
}

func newCallerListener(ln net.Listener, s *callers, log *slog.Logger) *callerListener {
	return &callerListener{Listener: ln, callers: s, log: log,
		shutting: make(chan struct{}), closed: make(chan struct{})}
}

// deadlines are what a listener needs to be shut without a loss.
type deadlines interface{ SetDeadline(time.Time) error }

// shut has whoever waits to be accepted accepted, and then closes: the kernel resets those that are left,
// and a request may be complete on them already.
func (l *callerListener) shut() {
	l.shutOnce.Do(func() { close(l.shutting) })
	if d, ok := l.Listener.(deadlines); !ok || d.SetDeadline(longAgo) != nil {
		l.Close()
	}
}

// Close ends Accept at once, also during a backoff.
func (l *callerListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept returns the next connection, or net.ErrClosed. It never lets the node run out of descriptors:
// beyond the hard limit whoever came last is closed unheard.
func (l *callerListener) Accept() (net.Conn, error) {
	for !hasEnded(l.closed) {
		last := hasEnded(l.shutting)
		if last { // a deadline in the past would keep it from looking
			l.Listener.(deadlines).SetDeadline(time.Now().Add(shutWait))
		}
		c, err := l.Listener.Accept()
		switch {
		case err == nil && l.callers.full():
			c.Close()
		case err == nil:
			l.backoff = 0
			return &callerConn{Conn: c, callers: l.callers, timeout: l.readTimeout}, nil
		case errors.Is(err, net.ErrClosed):
			return nil, net.ErrClosed
		case errors.Is(err, os.ErrDeadlineExceeded) && last:
			l.Close()
		case errors.Is(err, os.ErrDeadlineExceeded): // shut has interrupted the wait
		default:
			l.failed(err, last)
		}
	}
	return nil, net.ErrClosed
}

// failed counts and logs a failed accept, and waits before the next one. Being shut ends the wait.
func (l *callerListener) failed(err error, last bool) {
	l.callers.acceptFailed()
	limit, interrupt := maxAcceptBackoff, l.shutting
	if last {
		limit, interrupt = shutWait, nil
	}
	l.backoff = min(max(2*l.backoff, minAcceptBackoff), limit)
	l.unlogged++
	if now := l.callers.clock.now(); l.logged == 0 || now-l.logged >= acceptLogInterval {
		l.log.Warn("accept failed; trying again", "error", err, "failures", l.unlogged, "backoff", l.backoff)
		l.logged, l.unlogged = now, 0
	}
	wait := time.NewTimer(l.backoff)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-interrupt:
	case <-l.closed:
	}
}

// hasEnded says that a channel is closed.
func hasEnded(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
