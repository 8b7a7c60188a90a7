package upstream

import (
	"context"
	"fmt"
	"net"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/socketpeek"
)

// startReader returns a new connection, with its first attempt registered if there is one, and starts its reader.
func (p *Pool) startReader(nc net.Conn, instance endpointlist.Instance, waiter *responseWaiter) *conn {
	c := newConn(nc, instance, waiter)
	go p.readLoop(c)
	return c
}

// readLoop reads a connection until it is closed.
func (p *Pool) readLoop(c *conn) {
	for p.readNext(c) {
	}
}

// readNext waits until bytes arrive or the connection ends, reads one response and passes it to the attempt that
// waits for it. It reports whether the connection remains open. Until a request is being written, bytes that arrive
// stay in the kernel's buffer, where grantWrite detects them.
func (p *Pool) readNext(c *conn) bool {
	socketpeek.AwaitReadable(c.Conn)
	p.mu.Lock()
	stage, reading := c.stage, c.expectedBy()
	if reading != nil {
		defer reading.memory.Share().Release() // the attempt may be abandoned while its response is read
	}
	p.mu.Unlock()
	response, reusable := exchangeResult{err: fmt.Errorf("%w (request %v)", errUnsolicited, stage)}, false
	if reading != nil {
		response, reusable = c.readResponse(p.clock, reading)
	}
	waiter, reusable := p.endExchange(c, response.EndedAt, reusable)
	if waiter != nil {
		waiter.result <- response
	} else if response.holdsMemory {
		reading.memory.ReleaseResponse()
	}
	return reusable
}

// endExchange ends the exchange on a connection once its response has been read, and returns its attempt,
// or nil if the attempt has been abandoned meanwhile. It closes the connection if it is not reusable or was abandoned,
// and reports whether it is still open.
func (p *Pool) endExchange(c *conn, endedAt time.Duration, reusable bool) (*responseWaiter, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiter := c.release()
	if waiter == nil || !reusable {
		p.closeConn(c)
		return waiter, false
	}
	c.setIdle(endedAt, endedAt+p.timeouts.reuseDelay(p.ReuseDelay))
	// After a response that arrives early, no other request may use the connection until this one is written.
	if c.stage == stageWritten {
		p.putIdle(c)
	}
	return waiter, true
}

// recordWritten records that all of a request has been written, and makes the connection idle if its response has
// already been read.
func (p *Pool) recordWritten(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ended := c.markWritten(); ended && !c.closed {
		p.putIdle(c)
	}
}

// abandon closes a connection whose attempt has ended without a response. Once the response has arrived it does
// nothing, as the connection may carry another attempt by then.
func (p *Pool) abandon(c *conn, waiter *responseWaiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter == waiter {
		c.release()
		p.closeConn(c)
		waiter.result <- exchangeResult{err: context.Canceled}
	}
}
