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

	// emptyQueueWait is how long the accept queue must stay empty before a draining listener is closed. It is also
	// the limit of the backoff while the listener drains.
	emptyQueueWait = 20 * time.Millisecond

	// acceptLogInterval is the minimum time between two log lines about failed accepts.
	acceptLogInterval = 5 * time.Second
)

// Listener accepts downstream connections and wraps each one in a Conn. Accept returns an error only once the listener
// is closed. After any other error of accept(2), such as EMFILE, ENOBUFS or ECONNABORTED, it retries with exponential
// backoff, because http.Server.Serve would return on most of them and so end the process over a temporary shortage.
type Listener struct {
	net.Listener
	conns *Conns
	log   *slog.Logger

	readTimeout time.Duration // passed to each connection; see Conn.readTimeout

	drainOnce, closeOnce sync.Once
	draining, closed     chan struct{}

	// Used only by Accept.
	queueEmptyAt     time.Duration // clock time when the accept queue was last empty, as far as known
	lastBackoff      time.Duration // the last backoff; 0 if the last accept succeeded
	lastLoggedAt     time.Duration // clock time when a failure was last logged; 0 if none was
	unloggedFailures int           // failures since then
}

// NewListener returns a Listener that accepts connections from ln for the given set. readTimeout limits the time for
// reading the rest of a request that has started; 0 means no limit.
func NewListener(
	ln net.Listener, conns *Conns, readTimeout time.Duration, log *slog.Logger,
) *Listener {
	return &Listener{
		Listener: ln, conns: conns, readTimeout: readTimeout, log: log,
		draining: make(chan struct{}), closed: make(chan struct{}),
	}
}

// deadlineSetter is a listener whose Accept can be interrupted without closing it, such as *net.TCPListener.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// DrainQueue makes Accept return the connections that are in the accept queue and then close the listener. Closing it
// at once would make the kernel reset the queued connections, on which complete requests may already have arrived.
func (l *Listener) DrainQueue() {
	l.drainOnce.Do(func() { close(l.draining) })
	if d, ok := l.Listener.(deadlineSetter); !ok || d.SetDeadline(pastDeadline) != nil {
		_ = l.Close() // if this fails, nothing else can be done
	}
}

// Close closes the listener. Accept returns at once, also during a backoff.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept returns the next connection, or net.ErrClosed. If there is no descriptor for another one, it waits for a
// while. A connection that would exceed the hard limit on descriptors is closed unread, so that the process never runs
// out of them.
func (l *Listener) Accept() (net.Conn, error) {
	for !isClosed(l.closed) {
		draining := isClosed(l.draining)
		if draining {
			// DrainQueue has set a deadline in the past, with which Accept would not check the queue. If this call
			// fails, that deadline still holds and ends the loop.
			_ = l.Listener.(deadlineSetter).SetDeadline(time.Now().Add(emptyQueueWait))
		}
		l.yieldToAccepted()
		l.awaitDescriptor()
		started := l.conns.clock.Now()
		conn, err := l.Listener.Accept()
		l.observeAccept(started)
		switch {
		case err == nil && l.conns.atHardLimit():
			conn.Close()
		case err == nil:
			l.lastBackoff = 0
			return newConn(conn, l.conns, l.readTimeout), nil
		case errors.Is(err, net.ErrClosed):
			return nil, net.ErrClosed
		case errors.Is(err, os.ErrDeadlineExceeded) && draining:
			_ = l.Close() // the loop ends even if this fails
		case errors.Is(err, os.ErrDeadlineExceeded): // DrainQueue has interrupted the wait
		default:
			l.waitBackoff(err, draining)
		}
	}
	return nil, net.ErrClosed
}

// waitBackoff counts and logs a failed accept, and waits before the next one. The start of draining interrupts the
// wait, because little time is left then to accept the queued connections.
func (l *Listener) waitBackoff(err error, draining bool) {
	l.conns.countFailedAccept()
	limit, interrupt := maxAcceptBackoff, l.draining
	if draining {
		limit, interrupt = emptyQueueWait, nil
	}
	l.lastBackoff = min(max(2*l.lastBackoff, minAcceptBackoff), limit)
	l.unloggedFailures++
	if now := l.conns.clock.Now(); l.lastLoggedAt == 0 || now-l.lastLoggedAt >= acceptLogInterval {
		l.log.Warn("accept failed, retrying", "error", err, "failures", l.unloggedFailures, "backoff", l.lastBackoff)
		l.lastLoggedAt, l.unloggedFailures = now, 0
	}
	timer := time.NewTimer(l.lastBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-interrupt:
	case <-l.closed:
	}
}

// isClosed reports, without waiting, whether a channel has been closed on which no value is ever sent.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
