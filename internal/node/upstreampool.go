package node

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/netdial"
)

// reuseDelay is how long a connection stays unused after a response before it may carry another request. A
// duplicate of the response may arrive some milliseconds late, and nothing in it distinguishes it from the
// response to the next request: that request's client would receive the body of another. A duplicate that
// arrives during the delay closes the connection instead. The delay equals the slack of the protocol's limits;
// a duplicate that arrives even later cannot be distinguished from a response. The cost is additional connections to an
// endpoint: as many as requests of this node end there during the delay.
const reuseDelay = 50 * time.Millisecond

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

// upstreamPool is a pool of persistent HTTP/1.1 connections to the endpoints, and carries out attempts over
// them. Among the idle connections to an endpoint it prefers the one used last (LIFO), so that surplus
// connections expire. http.Transport does not fit: it retries some requests by itself, and it does not report
// whether the last byte of a request was written.
type upstreamPool struct {
	clock               monotime.Clock
	dial                netdial.Func
	maxConns            int        // limit of connections that are open or being opened
	descriptorAllowance func() int // the limit that downstream connections leave at the moment

	mu          sync.Mutex // guards what follows
	dialTimeout time.Duration
	idleTimeout time.Duration
	reuseDelay  time.Duration
	idle        map[endpointlist.Instance][]*upstreamConn // in the order in which they became idle
	open        int                                       // connections that are open or being opened
	connsMade   int                                       // connections opened since the start, for the log
	endpoints   map[string]endpointlist.Entry             // the listed endpoints by uid
}

func newUpstreamPool(cfg Config, c monotime.Clock, maxConns int) *upstreamPool {
	p := &upstreamPool{
		clock:               c,
		maxConns:            maxConns,
		descriptorAllowance: func() int { return maxConns },
		idle:                map[endpointlist.Instance][]*upstreamConn{},
		endpoints:           map[string]endpointlist.Entry{},
	}
	p.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		p.mu.Lock()
		dialer := net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1}
		p.mu.Unlock()
		return dialer.DialContext(ctx, network, address)
	}
	p.configure(cfg)
	return p
}

// configure applies the timeouts of a configuration. Dials in progress keep the timeout that they began with.
func (p *upstreamPool) configure(cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialTimeout = cfg.ConnectTimeout
	p.reuseDelay = min(reuseDelay, cfg.ConnIdle/reuseDelayDivisor)
	// The node closes a connection shortly before the endpoint does. Otherwise a request could cross the
	// endpoint's close on the way and end in a reset.
	p.idleTimeout = cfg.ConnIdle - cfg.ConnIdle/idleMarginDivisor
}

// connections returns the number of connections that are open or being opened.
func (p *upstreamPool) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// takeIdle returns the reusable idle connection to an instance that was used last, and registers waiter for its
// next response. It returns nil once a descriptor is reserved for a new connection; at the limit, the connection
// that has been idle for longest is closed for it.
func (p *upstreamPool) takeIdle(to endpointlist.Instance, waiter chan upstreamReply) (*upstreamConn, error) {
	// The allowance is read before locking: the downstream side counts upstream connections while it holds its lock.
	limit := min(p.maxConns, p.descriptorAllowance())
	p.mu.Lock()
	defer p.mu.Unlock()
	idle, now := p.idle[to], p.clock.Now()
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; now >= c.reusableAt {
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
	p.connsMade++
	return nil, nil
}

// longestIdle returns the connection that has been idle for longest, or nil if none is idle. The caller holds mu.
func (p *upstreamPool) longestIdle() *upstreamConn {
	var oldest *upstreamConn
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].idleSince < oldest.idleSince) {
			oldest = idle[0]
		}
	}
	return oldest
}

// putIdle keeps a connection for further attempts if the instance that it leads to is still ready, and closes it
// otherwise. The caller holds mu.
func (p *upstreamPool) putIdle(c *upstreamConn) {
	if !p.isReady(c.instance) {
		p.closeConn(c)
		return
	}
	p.idle[c.instance] = append(p.idle[c.instance], c)
}

// closeConn closes a connection and removes it from the pool. The caller holds mu.
func (p *upstreamPool) closeConn(c *upstreamConn) {
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
func (p *upstreamPool) closeIdle(to endpointlist.Instance) {
	for idle := p.idle[to]; len(idle) > 0; idle = p.idle[to] {
		p.closeConn(idle[len(idle)-1])
	}
}

// isReady reports whether the list has an endpoint as ready, in the same instance. The caller holds mu.
func (p *upstreamPool) isReady(to endpointlist.Instance) bool {
	entry, listed := p.endpoints[to.UID]
	return listed && entry.State == balancer.Ready && entry.Instance() == to
}

// updateEndpoints applies an update of the endpoint list, and closes idle connections to endpoints that were
// removed, that drain or that have restarted. Of an incremental update only the named entries are visited, as
// updates of a long list are frequent.
func (p *upstreamPool) updateEndpoints(entries []endpointlist.Entry, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range entries {
		p.applyEntry(entry)
	}
	if complete {
		p.removeUnlisted(entries)
	}
}

// applyEntry applies one entry of an endpoint list. The caller holds mu.
func (p *upstreamPool) applyEntry(entry endpointlist.Entry) {
	previous, known := p.endpoints[entry.ID]
	if known && (entry.State != balancer.Ready || entry.Instance() != previous.Instance()) {
		p.closeIdle(previous.Instance())
	}
	if entry.State == balancer.Removed {
		delete(p.endpoints, entry.ID)
	} else {
		p.endpoints[entry.ID] = entry
	}
}

// removeUnlisted removes the endpoints that a complete list does not name. The caller holds mu.
func (p *upstreamPool) removeUnlisted(entries []endpointlist.Entry) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for id, entry := range p.endpoints {
		if !listed[id] {
			p.closeIdle(entry.Instance())
			delete(p.endpoints, id)
		}
	}
}

// closeExpired closes connections whose idle timeout has passed, until ctx ends.
func (p *upstreamPool) closeExpired(ctx context.Context) {
	for {
		if monotime.Sleep(ctx, p.sweepInterval()); ctx.Err() != nil {
			return
		}
		p.mu.Lock()
		for instance, idle := range p.idle {
			for len(idle) > 0 && p.clock.Now()-idle[0].idleSince >= p.idleTimeout {
				p.closeConn(idle[0])
				idle = p.idle[instance]
			}
		}
		p.mu.Unlock()
	}
}

// sweepInterval returns the time between two checks of the idle connections for expiry.
func (p *upstreamPool) sweepInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.idleTimeout/sweepIntervalDivisor, minSweepInterval)
}
