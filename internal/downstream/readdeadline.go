package downstream

import (
	"net"
	"time"
)

// pastDeadline is a deadline that ends a wait at once. It is an hour back, so that a step of the wall clock can't
// move it into the future.
var pastDeadline = time.Now().Add(-time.Hour)

// readDeadline is the read deadline of a connection. It is the one that net/http sets; while a request is being read,
// the read timeout of that request instead; and while the connection is being evicted, a time in the past.
//
// The caller of its methods holds Conn.mu.
type readDeadline struct {
	conn        net.Conn
	regular     time.Time // the deadline while the connection is not being evicted; zero: none
	requestEnd  time.Time // when the read timeout of the request that is being read expires; zero: none is being read
	interrupted bool      // the deadline is in the past, to evict the connection
	aborted     bool      // bytes that arrive do not revoke interrupted
}

// set sets the deadline of net/http, unless the connection is being evicted: then it holds from a revocation on. While
// a request is being read, its own deadline replaces t, so that a request which starts shortly before the idle timeout
// has as much time as any other.
func (d *readDeadline) set(t time.Time) error {
	if !d.requestEnd.IsZero() {
		t = d.requestEnd
	}
	d.regular = t
	if d.interrupted {
		return nil
	}
	return d.conn.SetReadDeadline(t)
}

// startRequest sets the deadline for reading a request, unless one is being read already.
func (d *readDeadline) startRequest(timeout time.Duration) {
	if !d.requestEnd.IsZero() {
		return
	}
	d.requestEnd = time.Now().Add(timeout)
	_ = d.set(d.regular) // if the connection is closed, the read that follows reports it
}

// endRequest records that the request has been read. The next call of set replaces its deadline.
func (d *readDeadline) endRequest() { d.requestEnd = time.Time{} }

// isInterrupted reports whether the deadline is in the past, to evict the connection.
func (d *readDeadline) isInterrupted() bool { return d.interrupted }

// interrupt ends net/http's wait for a request, to evict the connection.
func (d *readDeadline) interrupt() {
	d.interrupted = true
	d.conn.SetReadDeadline(pastDeadline)
}

// abort does the same in the middle of a request. It is revoked only after allowRevocation.
func (d *readDeadline) abort() {
	d.aborted = true
	d.interrupt()
}

// allowRevocation records that the request is complete, so that its read can't be aborted any more.
func (d *readDeadline) allowRevocation() { d.aborted = false }

// revoke ends an interruption that bytes of a request have preceded, and reports whether there was one.
func (d *readDeadline) revoke() bool {
	if !d.interrupted || d.aborted {
		return false
	}
	d.interrupted = false
	d.conn.SetReadDeadline(d.regular)
	return true
}
