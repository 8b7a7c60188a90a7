package upstream

import (
	"context"
	"errors"
	"slices"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
)

// Fractions of the configured idle timeout of connections.
const (
	reuseDelayDivisor    = 4  // the reuse delay is at most this part of the idle timeout
	idleMarginDivisor    = 10 // the node closes an idle connection earlier than the endpoint by this part
	sweepIntervalDivisor = 20 // idle connections are checked for expiry at this part of the idle timeout
)

// minSweepInterval is the shortest time between two checks of the idle connections for expiry.
const minSweepInterval = time.Millisecond

// errNoDescriptor reports that the node has no file descriptor left for a connection. No endpoint is at fault.
var errNoDescriptor = errors.New("no file descriptor left for an upstream connection")

// idleTimeout returns how long a connection may be idle. The node closes it shortly before the endpoint does.
// Otherwise a request could cross the endpoint's close on the way and end in a reset. The caller holds mu.
func (p *Pool) idleTimeout() time.Duration {
	return p.timeouts.Idle - p.timeouts.Idle/idleMarginDivisor
}

// reuseDelay returns how long a connection stays unused after a response. The caller holds mu.
func (p *Pool) reuseDelay() time.Duration {
	return min(p.ReuseDelay, p.timeouts.Idle/reuseDelayDivisor)
}

// takeIdle returns the reusable idle connection to an instance that was used last, and registers waiter for its
// next response. It returns nil once a descriptor is reserved for a new connection; at the limit, the connection
// that has been idle for longest is closed for it.
func (p *Pool) takeIdle(to endpointlist.Instance, waiter chan exchangeResult) (*conn, error) {
	// The allowance is read before locking: the downstream side counts upstream connections while it holds its lock.
	limit := min(p.maxConns, p.Allowance())
	p.mu.Lock()
	defer p.mu.Unlock()
	idle, now := p.idle[to], p.clock.Now()
	for i, c := range slices.Backward(idle) {
		if now >= c.reusableAt {
			p.idle[to] = slices.Delete(idle, i, i+1)
			c.waiter, c.stage = waiter, stageIdle
			return c, nil
		}
	}
	if p.open >= limit {
		oldest := p.longestIdle()
		if oldest == nil {
			return nil, errNoDescriptor
		}
		p.closeConn(oldest)
	}
	p.open++
	return nil, nil
}

// longestIdle returns the connection that has been idle for longest, or nil if none is idle. The caller holds mu.
func (p *Pool) longestIdle() *conn {
	var oldest *conn
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].idleSince < oldest.idleSince) {
			oldest = idle[0]
		}
	}
	return oldest
}

// putIdle keeps a connection for further attempts if the instance that it leads to is still ready, and closes it
// otherwise. The caller holds mu.
func (p *Pool) putIdle(c *conn) {
	if !p.isReady(c.instance) {
		p.closeConn(c)
		return
	}
	p.idle[c.instance] = append(p.idle[c.instance], c)
}

// closeConn closes a connection and removes it from the pool. The caller holds mu.
func (p *Pool) closeConn(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	p.open--
	c.Close()
	idle := p.idle[c.instance]
	if i := slices.Index(idle, c); i >= 0 {
		p.idle[c.instance] = slices.Delete(idle, i, i+1)
	}
	if len(p.idle[c.instance]) == 0 {
		delete(p.idle, c.instance)
	}
}

// closeIdle closes the idle connections to an instance. The caller holds mu.
func (p *Pool) closeIdle(to endpointlist.Instance) {
	for idle := p.idle[to]; len(idle) > 0; idle = p.idle[to] {
		p.closeConn(idle[len(idle)-1])
	}
}

// CloseExpired closes connections whose idle timeout has passed, until ctx ends.
func (p *Pool) CloseExpired(ctx context.Context) {
	for {
		if monotime.Sleep(ctx, p.sweepInterval()); ctx.Err() != nil {
			return
		}
		p.mu.Lock()
		for instance, idle := range p.idle {
			for len(idle) > 0 && p.clock.Now()-idle[0].idleSince >= p.idleTimeout() {
				p.closeConn(idle[0])
				idle = p.idle[instance]
			}
		}
		p.mu.Unlock()
	}
}

// sweepInterval returns the time between two checks of the idle connections for expiry.
func (p *Pool) sweepInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.idleTimeout()/sweepIntervalDivisor, minSweepInterval)
}
