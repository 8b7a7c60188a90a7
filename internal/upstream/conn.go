package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/http1"
)

// errUnsolicited reports that an endpoint has sent bytes or has closed the connection while no request was
// being written or awaited a response.
var errUnsolicited = errors.New("the endpoint sent bytes or closed with no request outstanding")

// conn is a persistent connection to an endpoint. It carries one request at a time, without pipelining.
// A goroutine reads it for as long as it is open, so that a connection that the endpoint closes leaves the idle
// ones at once.
//
// The exchange goes from reserve by way of begin and written to end; a response may arrive, and end the exchange,
// before the request is written. The caller of its methods holds Pool.mu, except of readResponse, which belongs to
// the goroutine that reads the connection.
type conn struct {
	net.Conn
	instance endpointlist.Instance
	limited  *http1.LimitedReader
	reader   *bufio.Reader // reads from limited; empty between responses

	waiter     chan exchangeResult // receives one reply for the attempt in progress; nil if none is
	idleSince  time.Duration       // clock time
	reusableAt time.Duration       // clock time from which it may carry another request
	stage      exchangeStage
	closed     bool
}

// exchangeStage is how far the request on a connection has been written.
type exchangeStage int

const (
	stageIdle    exchangeStage = iota // no byte is written: nothing that arrives can be a response
	stageWriting                      // a part of it may be written
	stageWritten                      // all of it is written
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
	endedByClose bool // only the end of the connection marked the end of the response
	err          error
}

// newConn returns a connection to an instance. waiter is that of its first attempt, or nil if it has none.
func newConn(nc net.Conn, to endpointlist.Instance, waiter chan exchangeResult) *conn {
	limited := &http1.LimitedReader{Reader: nc}
	return &conn{
		Conn:     nc,
		instance: to,
		limited:  limited,
		reader:   bufio.NewReader(limited),
		waiter:   waiter,
	}
}

// reserve registers the attempt whose request is written next. Until begin, nothing that arrives can be a response.
func (c *conn) reserve(waiter chan exchangeResult) {
	c.waiter, c.stage = waiter, stageIdle
}

// begin records that the first byte of the request is written next: what arrives from now on may be its response.
func (c *conn) begin() {
	c.stage = stageWriting
}

// written records that all of the request is written, and reports whether the exchange has ended already.
func (c *conn) written() (ended bool) {
	c.stage = stageWritten
	return c.waiter == nil
}

// expectsResponse reports whether what arrives now may be a response, because an attempt has begun its request and
// has not been abandoned.
func (c *conn) expectsResponse() bool {
	return c.waiter != nil && c.stage != stageIdle
}

// end ends the exchange, and returns the waiter of its attempt, or nil if it has been abandoned.
func (c *conn) end() chan exchangeResult {
	waiter := c.waiter
	c.waiter = nil
	return waiter
}

// setIdle records since when the connection carries no request, and from when it may carry another one.
func (c *conn) setIdle(since, reusableAt time.Duration) {
	c.idleSince, c.reusableAt = since, reusableAt
}

// shut closes the connection, and reports whether it was open.
func (c *conn) shut() (wasOpen bool) {
	if c.closed {
		return false
	}
	c.closed = true
	c.Close()
	return true
}
