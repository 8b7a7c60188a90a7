package downstream

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"

	"basaltdrum/internal/socketpeek"
)

// Departure is what the node knows about a client's leaving while its request is open. It only ever
// increases during a request: of two observations, the greater holds.
type Departure int

// The values of Departure, from the least to the greatest.
const (
	Present      Departure = iota // nothing was seen of a departure
	Unobservable                  // the read-ahead buffer is full, so that a close behind it could not be seen
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

// departureWatch is what the watch of one connection's open request has found out: what is known of the client's
// departure, and how far the watch is.
//
// The caller of its methods holds Conn.mu. The channels may be used without it: begin alone replaces them, which
// happens before the watch and the handler of the request start.
type departureWatch struct {
	known    Departure
	caughtUp chan struct{} // closed once the watch has read all that had arrived
	ended    chan struct{} // closed once the watch has ended
	changed  chan struct{} // receives a value when known changes
}

// begin begins the watch of another request. What is known of the client stays, but for a read-ahead buffer that was
// full: it may have been emptied since.
func (w *departureWatch) begin() {
	w.caughtUp, w.ended = make(chan struct{}), make(chan struct{})
	if w.changed == nil {
		w.changed = make(chan struct{}, 1)
	}
	if w.known == Unobservable {
		w.known = Present
	}
}

// observe records an observation. If it exceeds what was known, changed receives a value.
func (w *departureWatch) observe(observed Departure) {
	if observed <= w.known {
		return
	}
	w.known = observed
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// markCaughtUp notes that the watch has read all that had arrived, or as much as can be buffered.
func (w *departureWatch) markCaughtUp() {
	if !isClosed(w.caughtUp) {
		close(w.caughtUp)
	}
}

// errReadAheadFull ends the departure watch when the client has pipelined more than may be buffered.
var errReadAheadFull = errors.New("the read-ahead buffer is full")

// watchForDeparture reads whatever the client pipelines behind an open request, since a FIN or RST can only
// be seen once the bytes before it are read. It returns at the read deadline, on a reset, or when the
// read-ahead buffer is full. After a FIN it goes on to wait for a reset.
func (c *Conn) watchForDeparture() error {
	defer close(c.departure.ended)
	defer c.markCaughtUp()
	for {
		if err := c.awaitUnread(); err != nil {
			c.noteRead(0, err)
			return err
		}
		buffer := c.unusedReadAhead()
		if buffer == nil {
			c.noteDeparture(Unobservable)
			return errReadAheadFull
		}
		n, err := c.Conn.Read(buffer)
		c.scan(buffer[:n])
		c.extendReadAhead(n)
		c.noteRead(n, err)
		switch {
		case errors.Is(err, io.EOF):
			c.markCaughtUp()
			return c.awaitReset()
		case err != nil:
			return err
		}
	}
}

// unusedReadAhead returns the part of the read-ahead buffer to read into, or nil at a limit.
func (c *Conn) unusedReadAhead() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAhead.unused()
}

// extendReadAhead adds the n bytes that were read into the unused part of the read-ahead buffer.
func (c *Conn) extendReadAhead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead.extend(n)
}

// awaitUnread waits until the kernel has received something from the client: bytes, a FIN or an RST. Before
// it waits, it notes that everything received so far has been read.
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

// awaitReset waits, after the client's FIN, for a reset or the read deadline. It asks for the socket's error,
// because a read would not wait but return the end of the stream at once.
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
		c.noteDeparture(Disconnected)
		err = socketErr
	}
	return err
}

// markCaughtUp notes that the watch has read everything that had arrived, or as much as can be buffered.
func (c *Conn) markCaughtUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departure.markCaughtUp()
}

// AwaitCaughtUp waits until the watch has read everything that had arrived, and returns the departure known
// then.
func (c *Conn) AwaitCaughtUp() Departure {
	c.mu.Lock()
	caughtUp := c.departure.caughtUp
	c.mu.Unlock()
	<-caughtUp
	return c.Departure()
}

// StopDepartureWatch ends the watch of an open request, which must have begun (see AwaitCaughtUp); bytes that arrive
// from now on stay unread. It reports whether another request, or a part of one, was read behind this one.
func (c *Conn) StopDepartureWatch() (another bool) {
	c.Conn.SetReadDeadline(pastDeadline)
	<-c.departure.ended
	return c.HasPipelinedRequest()
}

// noteRead notes what the result of a read says about the client. Of the timeouts only
// os.ErrDeadlineExceeded is the node's own deadline: ETIMEDOUT, for which Timeout() is true as well, means
// that the connection has failed.
func (c *Conn) noteRead(n int, err error) {
	switch {
	case n > 0:
		c.mu.Lock()
		c.noteBytes()
		c.mu.Unlock()
	case errors.Is(err, io.EOF):
		c.noteDeparture(HalfClosed)
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.noteDeparture(Disconnected)
	}
}

// DepartureChanged returns a channel that receives a value when more is known of the client's departure.
func (c *Conn) DepartureChanged() <-chan struct{} { return c.departure.changed }

// noteDeparture records an observation. If it exceeds what was known, the handler of the open request is notified.
func (c *Conn) noteDeparture(observed Departure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departure.observe(observed)
}

// Departure returns what is known of the client's departure since its request is open.
func (c *Conn) Departure() Departure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.departure.known
}
