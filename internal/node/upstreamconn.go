package node

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"
)

// reply is what came back on a connection: a complete answer, or why there is none.
type upstreamReply struct {
	attemptOutcome
	endedByClose bool // nothing but the end of the connection told that it is complete
	err          error
}

// conn is a connection to a server. Its reader watches it for as long as it is open, so that one
// closed by the server leaves the idle ones at once.
type upstreamConn struct {
	net.Conn
	instance   endpointInstance
	limited    *limitedReader
	reader     *bufio.Reader      // over in; empty between answers
	waiter     chan upstreamReply // the attempt on it takes one reply here; nil while idle. Guarded by backend.mu
	idleSince  time.Duration
	reusableAt time.Duration // when it may carry another request
	stage      exchangeStage // guarded by backend.mu
	closed     bool          // guarded by backend.mu
}

// stage is how far the request on a connection is.
type exchangeStage int

const (
	stageIdle exchangeStage = iota // no byte of a request is written: whatever comes in answers none
	stageWriting
	stageWritten // whole
)

// watch starts the reader of a connection that an attempt is about to use.
func (b *upstreamPool) startReader(nc net.Conn, to endpointInstance, waiter chan upstreamReply) *upstreamConn {
	in := &limitedReader{Reader: nc}
	c := &upstreamConn{Conn: nc, instance: to, limited: in, reader: bufio.NewReader(in), waiter: waiter}
	go b.readLoop(c)
	return c
}

// giveUp closes a connection under the attempt that waits on it, unless its reply has come: then the
// connection may serve another attempt already.
func (b *upstreamPool) abandon(c *upstreamConn, waiter chan upstreamReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter == waiter {
		c.waiter = nil
		b.closeConn(c)
		waiter <- upstreamReply{err: context.Canceled}
	}
}

// wrote notes that a request is written whole, and frees the connection if it is answered already.
func (b *upstreamPool) noteWritten(c *upstreamConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.stage = stageWritten
	if c.waiter == nil && !c.closed {
		b.putIdle(c)
	}
}

// read watches a connection: it hands each answer to the attempt that waits for it, and drops the
// connection when it ends or says something that no request asked for. Until a request is being
// written it leaves what comes to the kernel, where begin sees it.
func (b *upstreamPool) readLoop(c *upstreamConn) {
	for keep := true; keep; {
		awaitReadable(c.Conn)
		b.mu.Lock()
		asked := c.waiter != nil && c.stage != stageIdle
		b.mu.Unlock()
		r := upstreamReply{err: errUnsolicited}
		if asked {
			r, keep = b.readResponse(c)
		} else {
			keep = false
		}
		b.mu.Lock()
		waiter := c.waiter
		c.waiter = nil
		if waiter != nil && keep {
			c.idleSince, c.reusableAt = r.endedAt, r.endedAt+b.reuseDelay
			if c.stage == stageWritten { // an answer that came early must not let another request into this one
				b.putIdle(c)
			}
		} else {
			keep = false
			b.closeConn(c)
		}
		b.mu.Unlock()
		if waiter != nil {
			waiter <- r
		}
	}
}

var errUnsolicited = errors.New("the server spoke or closed before it was asked")
