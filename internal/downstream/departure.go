package downstream

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"

	"basaltdrum/internal/socketpeek"
)

// Departure is what has been observed about a client's departure while its request is open. It never decreases during a
// request: of two observations, the greater one holds.
type Departure int

// The values of Departure, from the least to the greatest.
const (
	Present      Departure = iota // no sign of a departure
	Unobservable                  // the read-ahead buffer is full, so a close after its bytes would not be seen
	HalfClosed                    // a FIN was received; the client may still read the response
	Disconnected                  // the connection was reset or has failed
)

// String returns the departure's name for logs and test failures.
func (d Departure) String() string {
	switch d {
	case Present:
		return "present"
	case Unobservable:
		return "unobservable"
	case HalfClosed:
		return "half-closed"
	case Disconnected:
		return "disconnected"
	}
	return fmt.Sprintf("Departure(%d)", int(d))
}

// departureWatch is the state of the departure watch of a connection's open request: the client's departure as observed
// so far, and the progress of the watch.
//
// The caller of its methods holds Conn.mu. The channels may be used without it: only start replaces them, before the
// watch and the handler of the request start.
type departureWatch struct {
	departure Departure
	caughtUp  chan struct{} // closed once the watch has read everything that had arrived
	ended     chan struct{} // closed once the watch has ended
	changed   chan struct{} // receives a value when departure changes
	readAhead chan struct{} // receives a value when bytes have been read ahead
}

// start prepares the watch of the next request. The departure observed so far still holds, except Unobservable, as the
// read-ahead buffer may have been emptied since.
func (w *departureWatch) start() {
	w.caughtUp, w.ended = make(chan struct{}), make(chan struct{})
	if w.changed == nil {
		w.changed, w.readAhead = make(chan struct{}, 1), make(chan struct{}, 1)
	}
	if w.departure == Unobservable {
		w.departure = Present
	}
}

// observe records an observation. If it is greater than the departure so far, changed receives a value.
func (w *departureWatch) observe(observed Departure) {
	if observed <= w.departure {
		return
	}
	w.departure = observed
	notify(w.changed)
}

// notify sends a value on a channel with a buffer of one, unless the previous one has not been received.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// markCaughtUp records that the watch has read everything that had arrived, or as much as can be buffered.
func (w *departureWatch) markCaughtUp() {
	if !isClosed(w.caughtUp) {
		close(w.caughtUp)
	}
}

// errReadAheadFull reports that the client has pipelined more than may be buffered, which ends the departure watch.
var errReadAheadFull = errors.New("read-ahead buffer is full")

// watchForDeparture reads what the client pipelines after an open request, since a FIN or RST can only be seen once the
// bytes before it have been read. It returns at the read deadline, on a reset, or when the read-ahead buffer is full.
// After a FIN it continues to wait for a reset.
func (c *Conn) watchForDeparture() error {
	defer close(c.watch.ended)
	defer c.markCaughtUp()
	for {
		if err := c.awaitUnread(); err != nil {
			c.recordReadResult(0, err)
			return err
		}
		buffer := c.unusedReadAhead()
		if buffer == nil {
			c.recordDeparture(Unobservable)
			return errReadAheadFull
		}
		n, err := c.Conn.Read(buffer)
		accepted := c.scan(buffer[:n])
		c.extendReadAhead(n, n-accepted)
		c.recordReadResult(n, err)
		switch {
		case errors.Is(err, io.EOF):
			c.markCaughtUp()
			return c.awaitReset()
		case err != nil:
			return err
		}
	}
}

// unusedReadAhead returns the part of the read-ahead buffer to read into, or nil if it is full and may not grow.
func (c *Conn) unusedReadAhead() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAhead.unused()
}

// extendReadAhead adds the n bytes that were read into the unused part of the read-ahead buffer, the last of which
// net/http may not get.
func (c *Conn) extendReadAhead(n, withheld int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead.extend(n)
	c.readAhead.withhold(withheld)
	notify(c.watch.readAhead)
}

// awaitUnread waits until the kernel has received something from the client: bytes, a FIN or an RST. If there is
// nothing unread yet, it first records that the watch has caught up.
func (c *Conn) awaitUnread() error {
	raw := socketpeek.RawConn(c.Conn)
	if raw == nil {
		return nil
	}
	return raw.Read(func(fd uintptr) bool {
		unread := socketpeek.IsFDReadable(fd)
		if !unread {
			c.markCaughtUp()
		}
		return unread
	})
}

// awaitReset waits, after the client's FIN, for a reset or the read deadline. It checks the socket's error (SO_ERROR),
// because a read would return the end of the stream at once instead of waiting.
func (c *Conn) awaitReset() error {
	raw := socketpeek.RawConn(c.Conn)
	if raw == nil {
		return io.EOF
	}
	var socketErr error
	err := raw.Read(func(fd uintptr) bool {
		errno, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		if err == nil && errno != 0 {
			err = syscall.Errno(errno)
		}
		socketErr = err
		return err != nil
	})
	if err == nil {
		c.recordDeparture(Disconnected)
		err = socketErr
	}
	return err
}

// markCaughtUp records that the watch has read everything that had arrived, or as much as can be buffered.
func (c *Conn) markCaughtUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.markCaughtUp()
}

// AwaitCaughtUp waits until the watch has read everything that had arrived, or as much as can be buffered, and returns
// the departure observed by then.
func (c *Conn) AwaitCaughtUp() Departure {
	c.mu.Lock()
	caughtUp := c.watch.caughtUp
	c.mu.Unlock()
	<-caughtUp
	return c.Departure()
}

// StopDepartureWatch stops the watch of an open request, which must have started (see AwaitCaughtUp). Bytes that arrive
// afterwards stay unread. It reports whether another request, or a part of one, was read after this one.
func (c *Conn) StopDepartureWatch() (pipelined bool) {
	c.Conn.SetReadDeadline(pastDeadline)
	<-c.watch.ended
	return c.HasPipelinedRequest()
}

// recordReadResult records what the result of a read shows about the client. Of the timeout errors, only
// os.ErrDeadlineExceeded is the node's own deadline: ETIMEDOUT, for which Timeout() is true as well, means
// that the connection has failed.
func (c *Conn) recordReadResult(n int, err error) {
	switch {
	case n > 0:
		c.recordBytesRead()
	case errors.Is(err, io.EOF):
		c.recordDeparture(HalfClosed)
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.recordDeparture(Disconnected)
	}
}

// DepartureChanged returns a channel that receives a value when the client's departure, as observed, increases.
func (c *Conn) DepartureChanged() <-chan struct{} { return c.watch.changed }

// BytesReadAhead returns a channel that receives a value when the watch has read bytes ahead.
func (c *Conn) BytesReadAhead() <-chan struct{} { return c.watch.readAhead }

// recordDeparture records an observation. If it is greater than the departure so far, the handler of the open request
// is notified.
func (c *Conn) recordDeparture(observed Departure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.observe(observed)
}

// Departure returns the client's departure as observed so far.
func (c *Conn) Departure() Departure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watch.departure
}
