package upstream

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

// DefaultReuseDelay is how long a connection stays unused after a response before it may carry another request. A
// duplicate of the response may arrive some milliseconds late, and nothing in it distinguishes it from the
// response to the next request: that request's client would receive the body of another. A duplicate that
// arrives during the delay closes the connection instead. The delay equals the slack of the protocol's limits;
// a duplicate that arrives even later cannot be distinguished from a response. The cost is additional connections to an
// endpoint: as many as requests of this node end there during the delay.
const DefaultReuseDelay = 50 * time.Millisecond

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

// Timeouts are what a pool is told of an endpoint's connections.
type Timeouts struct {
	Connect time.Duration // for a connection to come up
	Idle    time.Duration // after which an endpoint closes an idle connection
}

// Pool is a pool of persistent HTTP/1.1 connections to the endpoints, and carries out attempts over
// them. Among the idle connections to an endpoint it prefers the one used last (LIFO), so that surplus
// connections expire. http.Transport does not fit: it retries some requests by itself, and it does not report
// whether the last byte of a request was written.
//
// The exported fields may be changed before the first attempt, and not later.
type Pool struct {
	Dial       netdial.Func  // opens connections; NewPool sets a dialer with the connect timeout
	Allowance  func() int    // the limit that others leave at the moment; it may call Connections
	ReuseDelay time.Duration // see DefaultReuseDelay; at most a part of the idle timeout is used

	clock    monotime.Clock
	maxConns int // limit of connections that are open or being opened

	mu        sync.Mutex // guards what follows
	timeouts  Timeouts
	idle      map[endpointlist.Instance][]*conn // in the order in which they became idle
	open      int                               // connections that are open or being opened
	endpoints map[string]endpointlist.Entry     // the listed endpoints by uid
}

// NewPool returns a pool without connections and endpoints, which opens no more than maxConns connections.
func NewPool(clock monotime.Clock, maxConns int, timeouts Timeouts) *Pool {
	p := &Pool{
		Allowance:  func() int { return maxConns },
		ReuseDelay: DefaultReuseDelay,
		clock:      clock,
		maxConns:   maxConns,
		timeouts:   timeouts,
		idle:       map[endpointlist.Instance][]*conn{},
		endpoints:  map[string]endpointlist.Entry{},
	}
	p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: p.Timeouts().Connect, KeepAlive: -1}
		return dialer.DialContext(ctx, network, address)
	}
	return p
}

// SetTimeouts changes the timeouts. Dials in progress keep the timeout that they began with.
func (p *Pool) SetTimeouts(timeouts Timeouts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts = timeouts
}

// Timeouts returns the timeouts in force.
func (p *Pool) Timeouts() Timeouts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.timeouts
}

// idleTimeout returns how long a connection may be idle. The node closes it shortly before the endpoint does.
// Otherwise a request could cross the endpoint's close on the way and end in a reset. The caller holds mu.
func (p *Pool) idleTimeout() time.Duration {
	return p.timeouts.Idle - p.timeouts.Idle/idleMarginDivisor
}

// reuseDelay returns how long a connection stays unused after a response. The caller holds mu.
func (p *Pool) reuseDelay() time.Duration {
	return min(p.ReuseDelay, p.timeouts.Idle/reuseDelayDivisor)
}

// Connections returns the number of connections that are open or being opened.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Stats are the numbers of what a pool holds.
type Stats struct {
	Open          int // connections that are open or being opened
	Idle          int // of these, the connections that carry no request
	IdleInstances int // instances of endpoints that idle connections are kept for
	Endpoints     int // that are listed, in whatever state
}

// Stats returns the present numbers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Open: p.open, IdleInstances: len(p.idle), Endpoints: len(p.endpoints)}
	for _, idle := range p.idle {
		stats.Idle += len(idle)
	}
	return stats
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

// isReady reports whether the list has an endpoint as ready, in the same instance. The caller holds mu.
func (p *Pool) isReady(to endpointlist.Instance) bool {
	entry, listed := p.endpoints[to.UID]
	return listed && entry.State == balancer.Ready && entry.Instance() == to
}

// UpdateEndpoints applies an update of the endpoint list, and closes idle connections to endpoints that were
// removed, that drain or that have restarted. Of an incremental update only the named entries are visited, as
// updates of a long list are frequent.
func (p *Pool) UpdateEndpoints(entries []endpointlist.Entry, complete bool) {
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
func (p *Pool) applyEntry(entry endpointlist.Entry) {
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
func (p *Pool) removeUnlisted(entries []endpointlist.Entry) {
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
