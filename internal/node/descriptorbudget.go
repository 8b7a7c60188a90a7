package node

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basaltdrum/internal/monotime"
)

// gracePeriods are how long a connection without an open request is exempt from eviction, for each of the
// states that it may be in.
type gracePeriods struct{ lingering, newConn, partialRequest, idle time.Duration }

// pressureDivisor shortens the grace periods while descriptors are about to run out.
const pressureDivisor = 5

// defaultGracePeriods follow from how well-behaved clients use a connection: they send a request as soon as
// they have connected, and in one piece. A connection that has just become idle may already have its next
// request on the way.
func defaultGracePeriods() gracePeriods {
	return gracePeriods{
		lingering: 50 * time.Millisecond, newConn: 100 * time.Millisecond, partialRequest: time.Second,
		idle: 500 * time.Millisecond,
	}
}

// downstreamConns is the set of connections from clients, kept within its share of the process's file
// descriptors. When there are too many, connections without an open request are evicted, those that are the
// least useful first. A request is rejected only when open requests alone exceed the share.
type downstreamConns struct {
	clock           monotime.Clock
	capacity        int        // descriptors for downstream and upstream connections together
	upstreamReserve int        // the part of capacity that is always left to upstream connections
	upstreamCount   func() int // how many upstream connections there are
	rejectReserve   int        // descriptors beyond capacity, for connections whose requests are read only to be rejected

	readAheadLimit    int64        // bytes that all read-ahead buffers together may have
	readAheadReserved atomic.Int64 // bytes that they have reserved

	mu           sync.Mutex
	conns        map[*downstreamConn]struct{}
	evicting     int // connections that are being evicted and not closed yet
	active       int // connections with an open request
	gracePeriods gracePeriods
	counts       downstreamCounts
}

// downstreamCounts count, for the log, what happened to connections.
type downstreamCounts struct{ Accepted, AcceptFailed, Evicted, Rejected, ClosedUnread int }

// connActivity is what a connection is doing, and since when.
type connActivity struct {
	phase   connPhase
	since   time.Duration
	evicted bool // being evicted, and counted in downstreamConns.evicting
}

// connPhase is the phase of a connection's life cycle, from the first request to the close.
type connPhase int

const (
	phaseNew       connPhase = iota // no request has been read yet
	phaseReading                    // a request's head is read, its body may not be
	phaseActive                     // a request is open: it waits for its response
	phaseIdle                       // the response is written, and no other request has begun
	phaseLingering                  // the last response is written; what still arrives is discarded
)

// String returns the phase's name for logs and errors.
func (p connPhase) String() string {
	switch p {
	case phaseNew:
		return "new"
	case phaseReading:
		return "reading"
	case phaseActive:
		return "active"
	case phaseIdle:
		return "idle"
	case phaseLingering:
		return "lingering"
	}
	return fmt.Sprintf("connPhase(%d)", int(p))
}

// newDownstreamConns takes the numbers of descriptors as downstreamConns documents them, and the node's
// memory limit in bytes, of which the read-ahead buffers may use a share.
func newDownstreamConns(c monotime.Clock, capacity, rejectReserve int, memory int64, upstreamCount func() int) *downstreamConns {
	return &downstreamConns{
		clock: c, capacity: capacity, upstreamReserve: capacity / 4, upstreamCount: upstreamCount,
		rejectReserve: rejectReserve, readAheadLimit: memory / readAheadMemoryShare,
		conns: map[*downstreamConn]struct{}{}, gracePeriods: defaultGracePeriods(),
	}
}

// connStateChanged is the ConnState hook of the http.Server. Each change is an occasion to evict, as it may
// have added a connection or made one evictable.
func (s *downstreamConns) connStateChanged(nc net.Conn, state http.ConnState) {
	c := nc.(*downstreamConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.counts.Accepted++
		s.conns[c] = struct{}{}
		s.setPhase(c, phaseNew)
	case http.StateActive:
		c.beginRequest()
		s.setPhase(c, phaseReading)
	case http.StateIdle:
		s.setPhase(c, phaseIdle)
	default:
		s.setPhase(c, phaseLingering)
		delete(s.conns, c)
		c.mu.Lock()
		c.releaseReadAhead()
		c.mu.Unlock()
		return
	}
	s.evictExcess()
}

// countFailedAccept counts a failed accept.
func (s *downstreamConns) countFailedAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.AcceptFailed++
}

// setPhase notes what a connection does from now on, which ends an eviction that was begun. s.mu is held.
func (s *downstreamConns) setPhase(c *downstreamConn, p connPhase) {
	if c.evicted {
		s.evicting--
	}
	if c.phase == phaseActive {
		s.active--
	}
	if p == phaseActive {
		s.active++
	}
	c.connActivity = connActivity{phase: p, since: s.clock.Now()}
}

// startLingering notes that net/http has written its last response and waits for the client to receive it.
func (s *downstreamConns) startLingering(c *downstreamConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.conns[c]; known {
		s.setPhase(c, phaseLingering)
	}
}

// admitRequest notes that a connection's request is open, and reports whether it may go to the decision
// module. It may not if open requests hold more than half of the capacity. An excess of connections is no
// reason to reject: silent clients must not cost a well-behaved one its response. If this connection was
// being evicted, another is evicted in its place.
func (s *downstreamConns) admitRequest(c *downstreamConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setPhase(c, phaseActive)
	s.evictExcess()
	if s.active > s.capacity/2 {
		s.counts.Rejected++
		return false
	}
	return true
}

// limit is how many downstream connections there may be now: what upstream connections leave of the
// capacity. s.mu is held.
func (s *downstreamConns) limit() int {
	return max(s.capacity/2, s.capacity-max(s.upstreamReserve, s.upstreamCount()))
}

// excess is how many connections there are beyond the limit, not counting those being evicted. s.mu is held.
func (s *downstreamConns) excess() int { return len(s.conns) - s.evicting - s.limit() }

func (s *downstreamConns) overLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess() > 0
}

// upstreamAllowance is how many descriptors downstream connections leave for upstream ones.
func (s *downstreamConns) upstreamAllowance() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity + s.rejectReserve - len(s.conns)
}

// atHardLimit reports whether one more connection would take a descriptor that is reserved for others. Such a
// connection is closed without reaching net/http and so without a call of connStateChanged, which is why
// others are evicted here, for the next one.
func (s *downstreamConns) atHardLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.capacity+s.rejectReserve-max(s.upstreamReserve, s.upstreamCount()) {
		return false
	}
	s.counts.ClosedUnread++
	s.evictExcess()
	return true
}

// evictExcess evicts connections without an open request while there are too many: by rank, and among equals
// the one that has been in its phase for longest. Connections within their grace period are exempt, because a
// client retries a request that crosses a close only once. (While there are too many, each response closes
// its connection as well, which no request can cross.) s.mu is held.
func (s *downstreamConns) evictExcess() {
	if s.excess() <= 0 {
		return
	}
	now := s.clock.Now()
	var evictable []*downstreamConn
	for c := range s.conns {
		if !c.evicted && s.evictionRank(c, now) > 0 {
			evictable = append(evictable, c)
		}
	}
	slices.SortFunc(evictable, func(a, b *downstreamConn) int {
		return cmp.Or(cmp.Compare(s.evictionRank(a, now), s.evictionRank(b, now)), cmp.Compare(a.since, b.since))
	})
	for _, c := range evictable {
		if s.evict(c); s.excess() <= 0 {
			return
		}
	}
}

// evictionRank is the order of eviction: 1 is evicted first, and 0 not at all. s.mu is held.
func (s *downstreamConns) evictionRank(c *downstreamConn, now time.Duration) int {
	age := now - c.since
	if s.excess() > s.rejectReserve/2 {
		age *= pressureDivisor
	}
	partial := c.phase == phaseReading || c.phase != phaseActive && c.hasRequestBytes()
	switch {
	case c.phase == phaseLingering && age >= s.gracePeriods.lingering:
		return 1
	case partial && age >= s.gracePeriods.partialRequest:
		return 2
	case c.phase == phaseNew && !partial && age >= s.gracePeriods.newConn:
		return 3
	case c.phase == phaseIdle && !partial && age >= s.gracePeriods.idle:
		return 4
	}
	return 0
}

// evict begins to evict a connection, unless a request has begun or arrived on it meanwhile, and counts it as
// being evicted. s.mu is held.
func (s *downstreamConns) evict(c *downstreamConn) {
	if c.evicted {
		return
	}
	evicting := true
	switch {
	case c.phase == phaseLingering:
		c.Close()
	case c.phase == phaseReading || c.phase == phaseNew && c.hasRequestBytes():
		evicting = c.abortRead()
	default:
		evicting = c.evictIfQuiet()
	}
	if evicting {
		c.evicted = true
		s.evicting++
		s.counts.Evicted++
	}
}

// evictQuiet evicts idle connections and those on which nothing has arrived for a while; a client that has
// just connected has its request on the way. It returns how many connections of all kinds are left.
func (s *downstreamConns) evictQuiet() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for c := range s.conns {
		silent := c.phase == phaseNew && !c.hasRequestBytes() && now-c.since >= s.gracePeriods.newConn
		if c.phase == phaseIdle || silent {
			s.evict(c)
		}
	}
	return len(s.conns)
}

// count is how many connections there are.
func (s *downstreamConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// phaseCounts is how many connections are in each phase, for the log.
func (s *downstreamConns) phaseCounts() map[connPhase]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[connPhase]int{}
	for c := range s.conns {
		counts[c.phase]++
	}
	return counts
}

// takeCounts returns what happened to connections since the last call, and how many there are.
func (s *downstreamConns) takeCounts() (counts downstreamCounts, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, s.counts = s.counts, downstreamCounts{}
	return counts, len(s.conns)
}
