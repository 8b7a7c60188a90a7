package upstream

import (
	"context"
	"net"
	"sync"
	"time"

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
