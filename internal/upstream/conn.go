package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/http1"
	"basaltdrum/internal/socketpeek"
)

// errUnsolicited reports that an endpoint has sent bytes or has closed the connection while no request was
// being written or awaited a response.
var errUnsolicited = errors.New("the endpoint sent bytes or closed with no request outstanding")

// conn is a persistent connection to an endpoint. It carries one request at a time, without pipelining.
// A goroutine reads it for as long as it is open, so that a connection that the endpoint closes leaves the idle
// ones at once.
type conn struct {
	net.Conn
	instance   endpointlist.Instance
	limited    *http1.LimitedReader
	reader     *bufio.Reader       // reads from limited; empty between responses
	waiter     chan exchangeResult // receives one reply for the attempt in progress; nil if none is. Guarded by Pool.mu
	idleSince  time.Duration       // clock time
	reusableAt time.Duration       // clock time from which it may carry another request
	stage      exchangeStage       // guarded by Pool.mu
	closed     bool                // guarded by Pool.mu
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

// startReader returns a new connection with its first attempt registered, if it has one, and starts its reader.
func (p *Pool) startReader(nc net.Conn, to endpointlist.Instance, waiter chan exchangeResult) *conn {
	limited := &http1.LimitedReader{Reader: nc}
	c := &conn{
		Conn:     nc,
		instance: to,
		limited:  limited,
		reader:   bufio.NewReader(limited),
		waiter:   waiter,
	}
	go p.readLoop(c)
	return c
}

// readLoop reads a connection until it is closed.
func (p *Pool) readLoop(c *conn) {
	for p.readNext(c) {
	}
}

// readNext waits until bytes arrive or the connection ends, reads one response and passes it to the attempt that
// awaits it. It reports whether the connection remains open. Until a request is being written, it leaves what
// arrives in the kernel's buffer, where beginWrite detects it.
func (p *Pool) readNext(c *conn) bool {
	socketpeek.AwaitReadable(c.Conn)
	p.mu.Lock()
	stage, expected := c.stage, c.waiter != nil && c.stage != stageIdle
	p.mu.Unlock()
	reply, reusable := exchangeResult{err: fmt.Errorf("%w (request %v)", errUnsolicited, stage)}, false
	if expected {
		reply, reusable = p.readResponse(c)
	}
	waiter, reusable := p.endExchange(c, reply.EndedAt, reusable)
	if waiter != nil {
		waiter <- reply
	}
	return reusable
}

// endExchange ends the exchange on a connection once its response is read, and returns the waiting attempt, or nil
// if it has been abandoned meanwhile. It closes the connection unless that is reusable.
func (p *Pool) endExchange(c *conn, endedAt time.Duration, reusable bool) (chan exchangeResult, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiter := c.waiter
	c.waiter = nil
	if waiter == nil || !reusable {
		p.closeConn(c)
		return waiter, false
	}
	c.idleSince, c.reusableAt = endedAt, endedAt+p.timeouts.reuseDelay(p.ReuseDelay)
	// A response that arrives early must not admit another request before this one is written.
	if c.stage == stageWritten {
		p.putIdle(c)
	}
	return waiter, true
}

// noteWritten records that a request is completely written, and makes the connection idle if its response has
// been read already.
func (p *Pool) noteWritten(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.stage = stageWritten
	if c.waiter == nil && !c.closed {
		p.putIdle(c)
	}
}

// abandon closes a connection whose attempt has ended without a response. Once the reply has arrived it does
// nothing, as the connection may carry another attempt by then.
func (p *Pool) abandon(c *conn, waiter chan exchangeResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter == waiter {
		c.waiter = nil
		p.closeConn(c)
		waiter <- exchangeResult{err: context.Canceled}
	}
}
