package upstream

import (
	"context"
	"fmt"
	"net"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/socketpeek"
)

// startReader returns a new connection with its first attempt registered, if it has one, and starts its reader.
func (p *Pool) startReader(nc net.Conn, to endpointlist.Instance, waiter chan exchangeResult) *conn {
	c := newConn(nc, to, waiter)
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
	stage, expected := c.stage, c.expectsResponse()
	p.mu.Unlock()
	reply, reusable := exchangeResult{err: fmt.Errorf("%w (request %v)", errUnsolicited, stage)}, false
	if expected {
		reply, reusable = c.readResponse(p.clock)
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
	waiter := c.end()
	if waiter == nil || !reusable {
		p.closeConn(c)
		return waiter, false
	}
	c.setIdle(endedAt, endedAt+p.timeouts.reuseDelay(p.ReuseDelay))
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
	if ended := c.written(); ended && !c.closed {
		p.putIdle(c)
	}
}

// abandon closes a connection whose attempt has ended without a response. Once the reply has arrived it does
// nothing, as the connection may carry another attempt by then.
func (p *Pool) abandon(c *conn, waiter chan exchangeResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter == waiter {
		c.end()
		p.closeConn(c)
		waiter <- exchangeResult{err: context.Canceled}
	}
}
