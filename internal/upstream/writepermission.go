package upstream

import (
	"context"
	"fmt"

	"basaltdrum/internal/socketpeek"
)

// writePermission is the decision whether the first byte of a request may be written.
type writePermission int

const (
	mayWrite        writePermission = iota
	useAnotherConn                  // not on this connection, or the attempt's context has ended
	attemptObsolete                 // not at all: the attempt became useless or harmful while it waited
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

// grantWrite decides whether the first byte of a request is written next, and if so records the attempt as started.
//
// The endpoint list, the client and the time are checked here because they may have changed while the connection was
// opened: no attempt starts at an endpoint that drains, was removed or has restarted, for a client that has departed,
// or once endpoints no longer discard duplicates. In these cases the connection is kept for other attempts. But if the
// endpoint has closed the connection or has sent bytes, which cannot be a response to this request, the connection
// is closed, and the attempt may use another one.
func (p *Pool) grantWrite(
	ctx context.Context, c *conn, waiter *responseWaiter, a *Attempt,
) writePermission {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter != waiter {
		return useAnotherConn
	}
	now := p.clock.Now()
	tooLate := !a.mayStart(now) || a.remainingTime(now) == 0
	switch {
	case socketpeek.IsReadable(c.Conn):
		c.release()
		p.closeConn(c)
		return useAnotherConn
	case ctx.Err() != nil || tooLate || !p.endpoints.isReady(c.instance) || !a.Request.startWrite(a):
		c.release()
		c.setIdle(now, now)
		p.putIdle(c)
		if ctx.Err() != nil {
			return useAnotherConn
		}
		return attemptObsolete
	}
	c.markWriting()
	return mayWrite
}
