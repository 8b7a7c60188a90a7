package downstream

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// Bounds of the exponential backoff after a failed accept, which doubles with each failure in a row.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond

	// emptyQueueWait is how long the accept queue must stay empty before a draining listener is closed. It
	// bounds the backoff as well while the listener drains.
	emptyQueueWait = 20 * time.Millisecond

	// acceptLogInterval is the least time between two log lines about failed accepts.
	acceptLogInterval = 5 * time.Second
)

// Listener accepts downstream connections and wraps them as Conns. Accept returns an
// error only once the listener is closed. Every other error of accept(2) (EMFILE, ENOBUFS, ECONNABORTED) is
// retried with exponential backoff here, because http.Server.Serve would return on most of them and so end
// the process for a temporary shortage.
type Listener struct {
	net.Listener
	conns *Conns
	log   *slog.Logger

	readTimeout time.Duration // handed to each connection; see Conn.readTimeout

	drainOnce, closeOnce sync.Once
	draining, closed     chan struct{}

	// Used by Accept alone.
	backoff    time.Duration // the last backoff; 0 if the last accept succeeded
	lastLogged time.Duration // clock time when a failure was last logged; 0 if none was
	unlogged   int           // failures since then
}

// NewListener accepts connections from ln for the given set. readTimeout is the time for reading the rest of
// a request that has begun; 0: no limit.
func NewListener(
	ln net.Listener, conns *Conns, readTimeout time.Duration, log *slog.Logger,
) *Listener {
	return &Listener{
		Listener: ln, conns: conns, readTimeout: readTimeout, log: log,
		draining: make(chan struct{}), closed: make(chan struct{}),
	}
}

// deadlineSetter is a listener whose Accept can be interrupted without closing it, as *net.TCPListener's.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// DrainQueue has Accept take what is in the accept queue and then close the listener. Closing it at once
// would make the kernel reset the queued connections, on which complete requests may already have arrived.
func (l *Listener) DrainQueue() {
	l.drainOnce.Do(func() { close(l.draining) })
	if d, ok := l.Listener.(deadlineSetter); !ok || d.SetDeadline(pastDeadline) != nil {
		_ = l.Close() // nothing more can be done for a listener that can't be closed
	}
}

// Close ends Accept at once, also during a backoff.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept returns the next connection, or net.ErrClosed. A connection that would exceed the hard limit on
// descriptors is closed unread, so that the process never runs out of them.
func (l *Listener) Accept() (net.Conn, error) {
	for !isClosed(l.closed) {
		draining := isClosed(l.draining)
		if draining {
			// With DrainQueue's deadline in the past Accept would not look into the queue. If this fails, that
			// deadline still holds and ends the loop.
			_ = l.Listener.(deadlineSetter).SetDeadline(time.Now().Add(emptyQueueWait))
		}
		conn, err := l.Listener.Accept()
		switch {
		case err == nil && l.conns.atHardLimit():
			conn.Close()
		case err == nil:
			l.backoff = 0
			return newConn(conn, l.conns, l.readTimeout), nil
		case errors.Is(err, net.ErrClosed):
			return nil, net.ErrClosed
		case errors.Is(err, os.ErrDeadlineExceeded) && draining:
			_ = l.Close() // the loop ends either way
		case errors.Is(err, os.ErrDeadlineExceeded): // DrainQueue has interrupted the wait
		default:
			l.backOff(err, draining)
		}
	}
	return nil, net.ErrClosed
}

// backOff counts and logs a failed accept, and waits before the next one. The beginning of draining
// interrupts the wait, because time to accept what is queued is short then.
func (l *Listener) backOff(err error, draining bool) {
	l.conns.countFailedAccept()
	limit, interrupt := maxAcceptBackoff, l.draining
	if draining {
		limit, interrupt = emptyQueueWait, nil
	}
	l.backoff = min(max(2*l.backoff, minAcceptBackoff), limit)
	l.unlogged++
	if now := l.conns.clock.Now(); l.lastLogged == 0 || now-l.lastLogged >= acceptLogInterval {
		l.log.Warn("accept failed, retrying", "error", err, "failures", l.unlogged, "backoff", l.backoff)
		l.lastLogged, l.unlogged = now, 0
	}
	timer := time.NewTimer(l.backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-interrupt:
	case <-l.closed:
	}
}

// isClosed reports, without waiting, whether a channel that is only ever closed has been closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
