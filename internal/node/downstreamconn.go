package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConn is a caller's connection that can be let go while it waits for a request, and only then.
//
// Close, in the gap between net/http's read of a request and its report of StateActive, would lose
// that request. A read deadline in the past ends the wait, or comes too late for it: the request is
// then either read and answered, or left unread, and its client sends it again. Whether one has
// begun to be read is noted here, since net/http reads its first byte early when the client is quick:
// behind an answer, before it reports StateIdle.
type downstreamConn struct {
	net.Conn
	mu                sync.Mutex
	requestBegun      bool // bytes were read since the last answer
	readEnded         bool
	readAborted       bool      // leaving, whatever still comes
	deadline          time.Time // as net/http wants it
	requestOpen       bool      // a request's head is read, and it is not answered
	requestComplete   bool      // and its body is read to the end as well
	readAhead         []byte    // what came meanwhile, to be read once that is answered
	readAheadReserved int       // bytes reserved for ahead
	departed          departure
	caughtUp          chan struct{} // closed once the watch beside the request has read all that had come
	watchEnded        chan struct{} // closed once that watch has ended
	departureChanged  chan struct{} // gets one when departed changes
	requests          requestScanner
	readTimeout       time.Duration // for reading the rest of a request that has begun; 0: none
	requestDeadline   time.Time     // when that ends; zero while no request is being read

	conns        *downstreamConns
	connActivity // guarded by callers.mu
}

// longAgo is a deadline that ends a wait at once, whatever becomes of the wall clock.
var pastDeadline = time.Now().Add(-time.Hour)

type connKey struct{}

// withConn has a request's context tell its connection.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func connOf(ctx context.Context) *downstreamConn {
	c, _ := ctx.Value(connKey{}).(*downstreamConn)
	return c
}

// Read watches for the caller's leaving while a request waits: net/http does so by a read of one byte,
// which any byte that comes early would end.
func (c *downstreamConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.beginWatch() { // any other read by net/http fills a buffer
		return 0, c.watchForDeparture()
	}
	if n := c.takeReadAhead(p); n > 0 {
		return n, nil
	}
	c.limitRequestTime()
	n, err := c.Conn.Read(p)
	c.scan(p[:n])
	c.noteRead(n, err)
	return n, err
}

// scan follows the framing of what was just read from the kernel.
func (c *downstreamConn) scan(p []byte) {
	at := c.conns.clock.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.feed(p, at)
}

// takeHead returns what is known of the request that net/http has just read the head of, or the error in
// its framing.
func (c *downstreamConn) takeHead(r *http.Request) (requestHead, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.takeHead(r)
}

// bodyError is the error in the framing of the body that net/http has just read.
func (c *downstreamConn) bodyError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.bodyError()
}

// limitReading gives the rest of a request its own time: net/http waits for its first four bytes as long as
// for a request that has not begun, and counts a connection's first request from the connection's start.
func (c *downstreamConn) limitRequestTime() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readTimeout <= 0 || !c.requestDeadline.IsZero() || !c.requests.midRequest() {
		return
	}
	c.requestDeadline = time.Now().Add(c.readTimeout)
	c.setReadDeadline(c.deadline)
}

// serve notes that a request's head is read.
func (c *downstreamConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestOpen, c.requestComplete = true, false
	c.caughtUp, c.watchEnded = make(chan struct{}), make(chan struct{})
	if c.departureChanged == nil {
		c.departureChanged = make(chan struct{}, 1)
	}
	if c.departed == unobservable { // there may be room again
		c.departed = present
	}
}

// hear notes that the caller has said something. The caller holds mu.
func (c *downstreamConn) noteBytes() {
	c.requestBegun = true
	if c.readEnded && !c.readAborted {
		c.readEnded = false
		c.Conn.SetReadDeadline(c.deadline)
	}
}

func (c *downstreamConn) hasRequestBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestBegun
}

// Write begins before the client can have sent its next request, unless that has been read ahead. An
// interim response (of which net/http writes 100 Continue) answers nothing.
func (c *downstreamConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 1")) {
		c.mu.Lock()
		c.requestBegun, c.requestOpen, c.requestComplete = len(c.readAhead) > 0, false, false
		c.mu.Unlock()
	}
	return c.Conn.Write(p)
}

// interim has a caller that has closed for good answer with a reset, and one that still reads wait on.
func (c *downstreamConn) sendInterimResponse() {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
		c.noteDeparture(disconnected)
	}
}

func (c *downstreamConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() { // net/http and the frontend set none once a request is read
		c.requestDeadline = time.Time{}
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline for reading, or the end of the time for the request that is being read:
// one that has begun shortly before its connection would time out has the same time as others. The caller
// holds mu.
func (c *downstreamConn) setReadDeadline(t time.Time) error {
	if !c.requestDeadline.IsZero() {
		t = c.requestDeadline
	}
	c.deadline = t
	if c.readEnded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http linger after an answer to a request that it did not read whole: at once
// closed, the connection would be reset, and the answer could be lost.
func (c *downstreamConn) CloseWrite() error {
	c.conns.startLingering(c)
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// letGo has the connection closed unless a request has begun on it, be it one that nobody has read yet: the
// close would be a reset, and the client could ask only once more.
func (c *downstreamConn) evictIfQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestBegun && !hasUnreadOrClosed(c.Conn) {
		c.readEnded = true
		c.Conn.SetReadDeadline(pastDeadline)
	}
	return c.readEnded
}

// cutOff ends the wait for the rest of a request, unless it is complete: then nothing is waited for, and a
// deadline in the past would end the watch for its caller's leaving. Nor does it if more has come that nobody
// has read yet: it may be the rest.
func (c *downstreamConn) abortRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestComplete || hasUnreadOrClosed(c.Conn) {
		return false
	}
	c.readEnded, c.readAborted = true, true
	c.Conn.SetReadDeadline(pastDeadline)
	return true
}
