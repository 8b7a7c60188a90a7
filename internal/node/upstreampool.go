package node

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"balancer"
)

// restFor is how long a connection rests after an answer before it carries another request. A second copy
// of the answer may come some milliseconds late, and nothing in it tells that it is no answer to the next
// request: that one's client would get another's body. One that comes during the rest closes the connection.
// It is the slack of the protocol's limits; a copy that is later still can't be told from an answer.
// The price is connections: as many more to a server as a node's calls end there during the rest.
const reuseDelay = 50 * time.Millisecond

// host is one life of a server at one address. A server that starts anew, or another at an address that
// one has left, must not be met over its predecessor's connections.
type endpointInstance struct {
	uid, address string
	bootMS       float64
}

// backend runs attempts over pools of kept connections, the last used first of those that have rested. http.Transport would
// send some requests again by itself, and does not tell whether the last byte was written.
type upstreamPool struct {
	clock               clock
	dial                dialFunc
	maxConns            int        // connections open or being opened
	descriptorAllowance func() int // for how many callers leave descriptors

	mu          sync.Mutex
	dialTimeout time.Duration // that a connection may take to come up
	idleTimeout time.Duration
	reuseDelay  time.Duration
	idle        map[endpointInstance][]*upstreamConn // the oldest first
	open        int
	connsMade   int
	endpoints   map[string]listEntry // the listed servers by uid
}

func newUpstreamPool(cfg Config, c clock, most int) *upstreamPool {
	b := &upstreamPool{
		clock: c, maxConns: most, idle: map[endpointInstance][]*upstreamConn{}, endpoints: map[string]listEntry{},
		descriptorAllowance: func() int { return most },
	}
	b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		b.mu.Lock()
		dialer := net.Dialer{Timeout: b.dialTimeout, KeepAlive: -1}
		b.mu.Unlock()
		return dialer.DialContext(ctx, network, address)
	}
	b.configure(cfg)
	return b
}

// configure takes over the times for connections; those that are open or being opened go by what they had.
func (b *upstreamPool) configure(cfg Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialTimeout = cfg.ConnectTimeout
	b.reuseDelay = min(reuseDelay, cfg.ConnIdle/4)
	// Closed a little before the server does, or a request might cross its close and end as a reset.
	b.idleTimeout = cfg.ConnIdle - cfg.ConnIdle/10
}

// sweepEvery is how often idle connections are looked at.
func (b *upstreamPool) sweepInterval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.idleTimeout/20, time.Millisecond)
}

// errNoRoom says that the node is out of descriptors, which is no server's fault.
var errNoDescriptor = errors.New("no descriptor left for a connection")

// serves says that the list has a server as ready, in the same life and at the same address. The caller
// holds mu.
func (b *upstreamPool) isReady(h endpointInstance) bool {
	t, listed := b.endpoints[h.uid]
	return listed && t.State == balancer.Ready && t.instance() == h
}

// take returns the idle connection used last of those that have rested, or nil once there is room to open
// one. When short, the connection idle for longest is closed first.
func (b *upstreamPool) takeIdle(to endpointInstance, waiter chan upstreamReply) (*upstreamConn, error) {
	most := min(b.maxConns, b.descriptorAllowance()) // before the lock: callers ask for connections under theirs
	b.mu.Lock()
	defer b.mu.Unlock()
	free, now := b.idle[to], b.clock.now()
	for i := len(free) - 1; i >= 0; i-- {
		if c := free[i]; now >= c.reusableAt {
			b.idle[to] = slices.Delete(free, i, i+1)
			c.waiter, c.stage = waiter, stageIdle
			return c, nil
		}
	}
	if b.open >= most {
		var oldest *upstreamConn
		for _, free := range b.idle {
			if len(free) > 0 && (oldest == nil || free[0].idleSince < oldest.idleSince) {
				oldest = free[0]
			}
		}
		if oldest == nil {
			return nil, errNoDescriptor
		}
		b.closeConn(oldest)
	}
	b.open++
	b.connsMade++
	return nil, nil
}

// drop closes a connection and forgets it. The caller holds mu.
func (b *upstreamPool) closeConn(c *upstreamConn) {
	if c.closed {
		return
	}
	c.closed = true
	b.open--
	c.Close()
	free := b.idle[c.instance]
	for i, o := range free {
		if o == c {
			b.idle[c.instance] = append(free[:i], free[i+1:]...)
			break
		}
	}
	if len(b.idle[c.instance]) == 0 {
		delete(b.idle, c.instance)
	}
}

// connections is how many are open or being opened.
func (b *upstreamPool) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// rest keeps a connection for the next attempt, if its server is still the one that it was made to. The
// caller holds mu.
func (b *upstreamPool) putIdle(c *upstreamConn) {
	if !b.isReady(c.instance) {
		b.closeConn(c)
		return
	}
	b.idle[c.instance] = append(b.idle[c.instance], c)
}

// servers follows the list: idle connections to a server that left, drains or started anew are closed. Of a
// list of changes, only the entries that it names are looked at.
func (b *upstreamPool) updateEndpoints(targets []listEntry, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range targets {
		b.applyEntry(t)
	}
	if full {
		b.removeUnlisted(targets)
	}
}

// follow takes over one entry of the list. The caller holds mu.
func (b *upstreamPool) applyEntry(t listEntry) {
	old, known := b.endpoints[t.ID]
	if known && (t.State != balancer.Ready || t.instance() != old.instance()) {
		b.closeIdle(old.instance())
	}
	if t.State == balancer.Removed {
		delete(b.endpoints, t.ID)
	} else {
		b.endpoints[t.ID] = t
	}
}

// dropUnnamed forgets the servers that a complete list does not name. The caller holds mu.
func (b *upstreamPool) removeUnlisted(targets []listEntry) {
	named := make(map[string]bool, len(targets))
	for _, t := range targets {
		named[t.ID] = true
	}
	for id, t := range b.endpoints {
		if !named[id] {
			b.closeIdle(t.instance())
			delete(b.endpoints, id)
		}
	}
}

// dropIdle closes the idle connections to a host. The caller holds mu.
func (b *upstreamPool) closeIdle(h endpointInstance) {
	for free := b.idle[h]; len(free) > 0; free = b.idle[h] {
		b.closeConn(free[len(free)-1])
	}
}

// sweep closes connections that have been idle for too long, until ctx ends.
func (b *upstreamPool) closeExpired(ctx context.Context) {
	for {
		if sleep(ctx, b.sweepInterval()); ctx.Err() != nil {
			return
		}
		b.mu.Lock()
		for _, free := range b.idle {
			for len(free) > 0 && b.clock.now()-free[0].idleSince >= b.idleTimeout {
				c := free[0]
				b.closeConn(c)
				free = b.idle[c.instance]
			}
		}
		b.mu.Unlock()
	}
}
