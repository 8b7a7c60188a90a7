package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/membudget"
)

// errUnsolicited reports that an endpoint has sent bytes or has closed the connection while no request was
// being written or waiting for its response.
var errUnsolicited = errors.New("endpoint sent bytes or closed the connection with no request outstanding")

// conn is a persistent connection to an endpoint. It carries one request at a time, without pipelining.
// A goroutine reads it for as long as it is open, so that an idle connection is removed from the pool as soon as the
// endpoint closes it.
//
// An exchange is a request and its response. It is a sequence of calls of reserve (for a new connection: newConn),
// markWriting, markWritten and release; a response may arrive, and end the exchange, before the request is written. The
// caller of the methods holds Pool.mu, except for readResponse, which only the goroutine that reads the connection
// calls.
type conn struct {
	net.Conn
	instance endpointlist.Instance

	waiter     *responseWaiter // the attempt in progress; nil if there is none
	idleSince  time.Duration   // clock time
	reusableAt time.Duration   // clock time from which it may carry another request
	stage      exchangeStage
	closed     bool
}

// exchangeStage is the progress of writing a request on a connection.
type exchangeStage int

const (
	stageIdle    exchangeStage = iota // no byte has been written: nothing that arrives can be a response
	stageWriting                      // a part of the request may have been written
	stageWritten                      // all of the request has been written
)

func (s exchangeStage) String() string {
	switch s {
	case stageIdle:
		return "not begun"
	case stageWriting:
		return "being written"
	case stageWritten:
		return "written"
	}
	return fmt.Sprintf("exchangeStage(%d)", int(s))
}

// exchangeResult is the result of reading from a connection: a complete response, or the reason why there is none.
type exchangeResult struct {
	Outcome
	endedByClose bool // the end of the response is marked only by the end of the connection
	holdsMemory  bool // memory was acquired for the body
	err          error
}

// responseWaiter is an attempt that waits for its response on a connection.
type responseWaiter struct {
	result chan exchangeResult    // receives one result; has a buffer of one
	memory *membudget.Reservation // of the attempt's request
	done   <-chan struct{}        // closed once the attempt has ended
	// waitedForMemory is set before the response waits for memory.
	waitedForMemory atomic.Bool
}

func newResponseWaiter(ctx context.Context, memory *membudget.Reservation) *responseWaiter {
	return &responseWaiter{result: make(chan exchangeResult, 1), memory: memory, done: ctx.Done()}
}

// newConn returns a connection to an instance. waiter is its first attempt, or nil if there is none.
func newConn(nc net.Conn, instance endpointlist.Instance, waiter *responseWaiter) *conn {
	return &conn{Conn: nc, instance: instance, waiter: waiter}
}

// reserve registers the attempt whose request is written next. Until markWriting, nothing that arrives can be a
// response.
func (c *conn) reserve(waiter *responseWaiter) {
	c.waiter, c.stage = waiter, stageIdle
}

// markWriting records that the first byte of the request is written next: what arrives from now on may be its response.
func (c *conn) markWriting() {
	c.stage = stageWriting
}

// markWritten records that all of the request has been written, and reports whether the exchange has already ended.
func (c *conn) markWritten() (ended bool) {
	c.stage = stageWritten
	return c.waiter == nil
}

// expectedBy returns the attempt whose response bytes that arrive now may be, because it has started to write its
// request and has not been abandoned. It returns nil if there is none.
func (c *conn) expectedBy() *responseWaiter {
	if c.stage == stageIdle {
		return nil
	}
	return c.waiter
}

// release ends the exchange, and returns its attempt, or nil if the attempt has been abandoned.
func (c *conn) release() *responseWaiter {
	waiter := c.waiter
	c.waiter = nil
	return waiter
}

// setIdle records the time since when the connection has carried no request, and the time from which it may carry
// another one.
func (c *conn) setIdle(since, reusableAt time.Duration) {
	c.idleSince, c.reusableAt = since, reusableAt
}

// closeOnce closes the connection, and reports whether it was open.
func (c *conn) closeOnce() (wasOpen bool) {
	if c.closed {
		return false
	}
	c.closed = true
	c.Close()
	return true
}
