package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/netdial"
)

// DefaultReuseDelay is how long a connection stays unused after a response before it may carry another request. A
// duplicate of the response may arrive some milliseconds late, and nothing distinguishes it from the response to the
// next request: the client of that request would receive the body of another one. A duplicate that arrives during the
// delay closes the connection instead. The delay equals the tolerance of the protocol's limits; a duplicate that
// arrives even later cannot be distinguished from a response. The cost is additional connections to an endpoint: as
// many as the node's requests that end there during the delay.
const DefaultReuseDelay = 50 * time.Millisecond

// errNoDescriptor reports that the node has no file descriptor left for a connection. It does not count against the
// endpoint.
var errNoDescriptor = errors.New("no file descriptor left for an upstream connection")

// Pool is a pool of persistent HTTP/1.1 connections to the endpoints, and makes attempts over them. Among the idle
// connections to an endpoint it prefers the one used last (LIFO), so that surplus connections expire. It does not use
// http.Transport, which retries some requests by itself and does not report whether the last byte of a request was
// written.
//
// The exported fields must not be changed after the first attempt has started.
type Pool struct {
	Dial       netdial.Func  // opens connections; NewPool sets a dialer with the connect timeout
	Allowance  func() int    // returns a limit that applies in addition to maxConns; may call Connections
	ReuseDelay time.Duration // see DefaultReuseDelay; limited to a fraction of the idle timeout

	clock    monotime.Clock
	maxConns int // limit of connections that are open or being opened

	mu        sync.Mutex // guards the fields below
	timeouts  Timeouts
	idle      idleConns // the connections that carry no request
	open      int       // connections that are open or being opened
	endpoints endpointTable
}

// NewPool returns a pool without connections and endpoints, which holds at most maxConns connections.
func NewPool(clock monotime.Clock, maxConns int, timeouts Timeouts) *Pool {
	p := &Pool{
		Allowance:  func() int { return maxConns },
		ReuseDelay: DefaultReuseDelay,
		clock:      clock,
		maxConns:   maxConns,
		timeouts:   timeouts,
		idle:       idleConns{},
		endpoints:  endpointTable{},
	}
	p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: p.Timeouts().Connect, KeepAlive: -1}
		return dialer.DialContext(ctx, network, address)
	}
	return p
}

// SetTimeouts changes the timeouts. Dials in progress keep the timeout with which they started.
func (p *Pool) SetTimeouts(timeouts Timeouts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts = timeouts
}

// Timeouts returns the current timeouts.
func (p *Pool) Timeouts() Timeouts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.timeouts
}

// UpdateEndpoints applies an update of the endpoint list, and closes idle connections to endpoints that were
// removed, that drain or that have restarted.
func (p *Pool) UpdateEndpoints(entries []endpointlist.Entry, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints.apply(entries, complete, p.closeIdle)
}

// Connections returns the number of connections that are open or being opened.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Stats holds the numbers of a pool's connections and endpoints.
type Stats struct {
	Open          int // connections that are open or being opened
	Idle          int // open connections that carry no request
	IdleInstances int // endpoint instances with a list of idle connections, which may be empty
	Endpoints     int // listed endpoints, in any state
}

// Stats returns the current numbers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Open: p.open, Idle: p.idle.count(), IdleInstances: len(p.idle), Endpoints: len(p.endpoints),
	}
}

// takeIdle returns the reusable idle connection to an instance that was used last, and registers waiter for its next
// response. If there is none, it returns nil after it has reserved a descriptor for a new connection; at the limit, it
// closes the connection that has been idle the longest to make room.
func (p *Pool) takeIdle(instance endpointlist.Instance, waiter *responseWaiter) (*conn, error) {
	// Allowance is called before mu is locked, because the downstream side counts upstream connections while it holds
	// its own lock.
	limit := min(p.maxConns, p.Allowance())
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.idle.take(instance, p.clock.Now()); c != nil {
		c.reserve(waiter)
		return c, nil
	}
	if p.open >= limit {
		oldest := p.idle.longestIdle()
		if oldest == nil {
			return nil, errNoDescriptor
		}
		p.closeConn(oldest)
	}
	p.open++
	return nil, nil
}

// putIdle keeps a connection for further attempts if its instance is still ready, and closes it otherwise. The caller
// holds mu.
func (p *Pool) putIdle(c *conn) {
	if !p.endpoints.isReady(c.instance) {
		p.closeConn(c)
		return
	}
	p.idle.put(c)
}

// closeConn closes a connection and removes it from the pool. The caller holds mu.
func (p *Pool) closeConn(c *conn) {
	if !c.closeOnce() {
		return
	}
	p.open--
	p.idle.remove(c)
}

// closeIdle closes the idle connections to an instance. The caller holds mu.
func (p *Pool) closeIdle(instance endpointlist.Instance) {
	for c := p.idle.newest(instance); c != nil; c = p.idle.newest(instance) {
		p.closeConn(c)
	}
}

// CloseExpired periodically closes connections whose idle timeout has passed, until ctx ends.
func (p *Pool) CloseExpired(ctx context.Context) {
	for {
		if monotime.Sleep(ctx, p.Timeouts().sweepInterval()); ctx.Err() != nil {
			return
		}
		p.closeExpired()
	}
}

// closeExpired closes the connections whose idle timeout has passed.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle.expired(p.clock.Now(), p.timeouts.idleLimit()) {
		p.closeConn(c)
	}
}
