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
	emptyQueueWait = 20 * time.Millisecond

	// acceptLogInterval is the least time between two log lines about failed accepts.
	acceptLogInterval = 5 * time.Second
)

// callerListener accepts downstream connections as callerConns. Only a closed listener ends it: any other
// error of accept is the system's trouble for a moment, and net/http, which would end the server on most
// of them, never gets to see it.
type downstreamListener struct {
	net.Listener
	conns *downstreamConns
	log   *slog.Logger

	readTimeout time.Duration // for reading the rest of a request that has begun; 0: none

	drainOnce, closeOnce sync.Once
	draining, closed     chan struct{}

	// Used by Accept alone.
	backoff  time.Duration // the last wait; 0: the last accept did not fail
	logged   time.Duration // when a failure was last logged; 0: never
	unlogged int           // failures since then
}

func newDownstreamListener(ln net.Listener, s *downstreamConns, log *slog.Logger) *downstreamListener {
	return &downstreamListener{
		Listener: ln, conns: s, log: log,
		draining: make(chan struct{}), closed: make(chan struct{}),
	}
}

// deadlines are what a listener needs to be shut without a loss.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// shut has whoever waits to be accepted accepted, and then closes: the kernel resets those that are left,
// and a request may be complete on them already.
func (l *downstreamListener) drainQueue() {
	l.drainOnce.Do(func() { close(l.draining) })
	if d, ok := l.Listener.(deadlineSetter); !ok || d.SetDeadline(pastDeadline) != nil {
		l.Close()
	}
}

// Close ends Accept at once, also during a backoff.
func (l *downstreamListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept returns the next connection, or net.ErrClosed. It never lets the node run out of descriptors:
// beyond the hard limit whoever came last is closed unheard.
func (l *downstreamListener) Accept() (net.Conn, error) {
	for !isClosed(l.closed) {
		last := isClosed(l.draining)
		if last { // a deadline in the past would keep it from looking
			l.Listener.(deadlineSetter).SetDeadline(time.Now().Add(emptyQueueWait))
		}
		c, err := l.Listener.Accept()
		switch {
		case err == nil && l.conns.atHardLimit():
			c.Close()
		case err == nil:
			l.backoff = 0
			return &downstreamConn{Conn: c, conns: l.conns, readTimeout: l.readTimeout}, nil
		case errors.Is(err, net.ErrClosed):
			return nil, net.ErrClosed
		case errors.Is(err, os.ErrDeadlineExceeded) && last:
			l.Close()
		case errors.Is(err, os.ErrDeadlineExceeded): // shut has interrupted the wait
		default:
			l.backOff(err, last)
		}
	}
	return nil, net.ErrClosed
}

// failed counts and logs a failed accept, and waits before the next one. Being shut ends the wait.
func (l *downstreamListener) backOff(err error, last bool) {
	l.conns.countFailedAccept()
	limit, interrupt := maxAcceptBackoff, l.draining
	if last {
		limit, interrupt = emptyQueueWait, nil
	}
	l.backoff = min(max(2*l.backoff, minAcceptBackoff), limit)
	l.unlogged++
	if now := l.conns.clock.now(); l.logged == 0 || now-l.logged >= acceptLogInterval {
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
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
