package upstream

import (
	"context"
	"fmt"

	"basaltdrum/internal/socketpeek"
)

// writePermission is whether the first byte of a request may be written.
type writePermission int

const (
	mayWrite        writePermission = iota
	useAnotherConn                  // not on this connection, or not now: the attempt's context has ended
	attemptObsolete                 // not at all: the attempt became pointless or harmful while it waited
)

func (w writePermission) String() string {
	switch w {
	case mayWrite:
		return "may write"
	case useAnotherConn:
		return "use another connection"
	case attemptObsolete:
		return "attempt obsolete"
	}
	return fmt.Sprintf("writePermission(%d)", int(w))
}

// beginWrite decides whether the first byte of a request is written next, and notes the attempt as begun if so.
//
// The list, the client and the clock may have changed while the connection was opened, so they are checked here:
// no attempt is begun at an endpoint that drains, was removed or has restarted, for a client that has departed, or
// once endpoints no longer discard repeats. The connection itself is kept for other attempts then. But if the
// endpoint has closed the connection or has sent bytes, which cannot be a response to this request, the connection
// is closed, and the attempt may use another one.
func (p *Pool) beginWrite(
	ctx context.Context, c *conn, waiter chan exchangeResult, a *Attempt,
) writePermission {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter != waiter {
		return useAnotherConn
	}
	now := p.clock.Now()
	overdue := !a.mayBegin(now) || a.remainingTime(now) == 0
	switch {
	case socketpeek.IsReadable(c.Conn):
		c.end()
		p.closeConn(c)
		return useAnotherConn
	case ctx.Err() != nil || overdue || !p.endpoints.isReady(c.instance) || !a.Request.beginAttempt(a):
		c.end()
		c.setIdle(now, now)
		p.putIdle(c)
		if ctx.Err() != nil {
			return useAnotherConn
		}
		return attemptObsolete
	}
	c.begin()
	return mayWrite
}
