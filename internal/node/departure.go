package node

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// departure is what is known of a caller's leaving while its request waits. The greater holds.
type departure int

const (
	present      departure = iota
	unobservable           // too much is sent ahead to be kept, so its leaving can't be seen
	halfClosed             // it sends no more; whether it still reads is not known
	disconnected           // it has reset its connection
)

// errUnwatched ends the watch for a caller's leaving.
var errReadAheadFull = errors.New("too much is sent ahead")

// startWatch tells whether a request waits. If so, it is complete, for net/http watches only behind a body's
// end, and no wait for another is left to be ended: neither this connection's being let go or cut off nor what
// was seen beside an earlier request holds any longer.
func (c *downstreamConn) beginWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestOpen {
		c.requestComplete, c.readAborted = true, false
		c.noteBytes()
	}
	return c.requestOpen
}

// watch reads whatever the caller sends ahead, so that no close or reset can hide behind it, until the
// deadline for reading, a reset, or the bound. After a close it waits for a reset.
func (c *downstreamConn) watchForDeparture() error {
	defer close(c.watchEnded)
	defer c.markCaughtUp()
	for {
		if err := c.awaitUnread(); err != nil {
			c.noteRead(0, err)
			return err
		}
		into := c.readAheadBuffer()
		if into == nil {
			c.noteDeparture(unobservable)
			return errReadAheadFull
		}
		n, err := c.Conn.Read(into)
		c.scan(into[:n])
		c.appendReadAhead(n)
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

// awaitUnread waits until the kernel has something of the caller: bytes, its close or a reset.
func (c *downstreamConn) awaitUnread() error {
	raw := rawConn(c.Conn)
	if raw == nil {
		return nil
	}
	return raw.Read(func(fd uintptr) bool {
		has := hasUnread(fd)
		if !has {
			c.markCaughtUp()
		}
		return has
	})
}

// awaitReset waits, after the caller's close, for a reset or the deadline for reading.
func (c *downstreamConn) awaitReset() error {
	raw := rawConn(c.Conn)
	if raw == nil {
		return io.EOF
	}
	var cause error
	err := raw.Read(func(fd uintptr) bool {
		no, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		if err == nil && no != 0 {
			err = syscall.Errno(no)
		}
		cause = err
		return err != nil
	})
	if err == nil {
		c.noteDeparture(disconnected)
		err = cause
	}
	return err
}

// look notes that all that the caller had sent is read, or as much as can be kept.
func (c *downstreamConn) markCaughtUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.caughtUp:
	default:
		close(c.caughtUp)
	}
}

// settle waits until the watch beside the request has read all that had come, and tells what is known of
// the caller's leaving then.
func (c *downstreamConn) awaitCaughtUp() departure {
	c.mu.Lock()
	looked := c.caughtUp
	c.mu.Unlock()
	<-looked
	return c.departure()
}

// endWatch ends the watch beside a request, which settle has seen at work: what comes from now on stays
// unread. It tells whether another request, or a part of one, was read behind this one.
func (c *downstreamConn) endWatch() (another bool) {
	c.Conn.SetReadDeadline(pastDeadline)
	<-c.watchEnded
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.anotherBegun()
}

// came notes what a read brought. Only os.ErrDeadlineExceeded is the node's own deadline: ETIMEDOUT, a
// Timeout() as well, is a connection that is broken.
func (c *downstreamConn) noteRead(n int, err error) {
	switch {
	case n > 0:
		c.mu.Lock()
		c.noteBytes()
		c.mu.Unlock()
	case errors.Is(err, io.EOF):
		c.noteDeparture(halfClosed)
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.noteDeparture(disconnected)
	}
}

// depart notes that the caller may leave, or has left.
func (c *downstreamConn) noteDeparture(how departure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how <= c.departed {
		return
	}
	c.departed = how
	select {
	case c.departureChanged <- struct{}{}:
	default:
	}
}

func (c *downstreamConn) departure() departure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.departed
}
