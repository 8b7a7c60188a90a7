package downstream

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

// Limits are what downstream connections are kept within.
type Limits struct {
	Descriptors     int   // for downstream and upstream connections together
	UpstreamReserve int   // the part of Descriptors that is always left to upstream connections
	RejectReserve   int   // descriptors beyond Descriptors, for connections whose requests are only read to be rejected
	ReadAhead       int64 // bytes that the read-ahead buffers of all connections together may have
	GracePeriods    GracePeriods
}

// GracePeriods are how long a connection without an open request is exempt from eviction, for each of the
// states that it may be in.
type GracePeriods struct{ Lingering, New, PartialRequest, Idle time.Duration }

// pressureDivisor shortens the grace periods while descriptors are about to run out.
const pressureDivisor = 5

// DefaultGracePeriods follow from how well-behaved clients use a connection: they send a request as soon as
// they have connected, and in one piece. A connection that has just become idle may already have its next
// request on the way.
func DefaultGracePeriods() GracePeriods {
	return GracePeriods{
		Lingering: 50 * time.Millisecond, New: 100 * time.Millisecond, PartialRequest: time.Second,
		Idle: 500 * time.Millisecond,
	}
}

// Conns is the set of connections from clients, kept within its share of the process's file
// descriptors. When there are too many, connections without an open request are evicted, those that are the
// least useful first. A request is rejected only when open requests alone exceed the share.
type Conns struct {
	clock         monotime.Clock
	upstreamCount func() int // how many upstream connections there are

	readAheadLimit    atomic.Int64 // bytes that all read-ahead buffers together may have
	readAheadReserved atomic.Int64 // bytes that they have reserved

	mu       sync.Mutex
	limits   Limits
	conns    map[*Conn]struct{}
	evicting int // connections that are being evicted and not closed yet
	active   int // connections with an open request
	counts   Counts
}

// Counts count, for the log, what happened to connections.
type Counts struct{ Accepted, AcceptFailed, Evicted, Rejected, ClosedUnread int }

// connActivity is what a connection is doing, and since when.
type connActivity struct {
	phase   Phase
	since   time.Duration
	evicted bool // being evicted, and counted in Conns.evicting
}

// Phase is the phase of a connection's life cycle, from the first request to the close.
type Phase int

// The phases of a connection.
const (
	PhaseNew       Phase = iota // no request has been read yet
	PhaseReading                // a request's head is read, its body may not be
	PhaseActive                 // a request is open: it waits for its response
	PhaseIdle                   // the response is written, and no other request has begun
	PhaseLingering              // the last response is written; what still arrives is discarded
)

// String returns the phase's name for logs and errors.
func (p Phase) String() string {
	switch p {
	case PhaseNew:
		return "new"
	case PhaseReading:
		return "reading"
	case PhaseActive:
		return "active"
	case PhaseIdle:
		return "idle"
	case PhaseLingering:
		return "lingering"
	}
	return fmt.Sprintf("Phase(%d)", int(p))
}

// NewConns returns an empty set. upstreamCount tells how many upstream connections there are; it is called
// while the set's lock is held.
func NewConns(clock monotime.Clock, limits Limits, upstreamCount func() int) *Conns {
	s := &Conns{clock: clock, upstreamCount: upstreamCount, conns: map[*Conn]struct{}{}}
	s.Configure(limits)
	return s
}

// Configure puts limits into force, and evicts the connections that exceed them.
func (s *Conns) Configure(limits Limits) {
	s.readAheadLimit.Store(limits.ReadAhead)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.evictExcess()
}

// ConnStateChanged is the ConnState hook of the http.Server. Each change is an occasion to evict, as it may
// have added a connection or made one evictable.
func (s *Conns) ConnStateChanged(nc net.Conn, state http.ConnState) {
	c := nc.(*Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.counts.Accepted++
		s.conns[c] = struct{}{}
		s.setPhase(c, PhaseNew)
	case http.StateActive:
		c.beginRequest()
		s.setPhase(c, PhaseReading)
	case http.StateIdle:
		s.setPhase(c, PhaseIdle)
	default:
		s.setPhase(c, PhaseLingering)
		delete(s.conns, c)
		c.mu.Lock()
		c.releaseReadAhead()
		c.mu.Unlock()
		return
	}
	s.evictExcess()
}

// countFailedAccept counts a failed accept.
func (s *Conns) countFailedAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.AcceptFailed++
}

// setPhase notes what a connection does from now on, which ends an eviction that was begun. s.mu is held.
func (s *Conns) setPhase(c *Conn, p Phase) {
	if c.evicted {
		s.evicting--
	}
	if c.phase == PhaseActive {
		s.active--
	}
	if p == PhaseActive {
		s.active++
	}
	c.connActivity = connActivity{phase: p, since: s.clock.Now()}
}

// startLingering notes that net/http has written its last response and waits for the client to receive it.
func (s *Conns) startLingering(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.conns[c]; known {
		s.setPhase(c, PhaseLingering)
	}
}

// AdmitRequest notes that a connection's request is open, and reports whether it may go to the decision
// module. It may not if open requests hold more than half of the capacity. An excess of connections is no
// reason to reject: silent clients must not cost a well-behaved one its response. If this connection was
// being evicted, another is evicted in its place.
func (s *Conns) AdmitRequest(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setPhase(c, PhaseActive)
	s.evictExcess()
	if s.active > s.limits.Descriptors/2 {
		s.counts.Rejected++
		return false
	}
	return true
}

// limit is how many downstream connections there may be now: what upstream connections leave of the
// capacity. s.mu is held.
func (s *Conns) limit() int {
	descriptors := s.limits.Descriptors
	return max(descriptors/2, descriptors-max(s.limits.UpstreamReserve, s.upstreamCount()))
}

// excess is how many connections there are beyond the limit, not counting those being evicted. s.mu is held.
func (s *Conns) excess() int { return len(s.conns) - s.evicting - s.limit() }

// OverLimit reports whether there are more connections than the limit permits, not counting those being evicted.
func (s *Conns) OverLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess() > 0
}

// UpstreamAllowance is how many descriptors downstream connections leave for upstream ones.
func (s *Conns) UpstreamAllowance() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Descriptors + s.limits.RejectReserve - len(s.conns)
}

// atHardLimit reports whether one more connection would take a descriptor that is reserved for others. Such a
// connection is closed without reaching net/http and so without a call of ConnStateChanged, which is why
// others are evicted here, for the next one.
func (s *Conns) atHardLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := s.limits.Descriptors + s.limits.RejectReserve
	if len(s.conns) < usable-max(s.limits.UpstreamReserve, s.upstreamCount()) {
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
func (s *Conns) evictExcess() {
	if s.excess() <= 0 {
		return
	}
	now := s.clock.Now()
	var evictable []*Conn
	for c := range s.conns {
		if !c.evicted && s.evictionRank(c, now) > 0 {
			evictable = append(evictable, c)
		}
	}
	slices.SortFunc(evictable, func(a, b *Conn) int {
		return cmp.Or(cmp.Compare(s.evictionRank(a, now), s.evictionRank(b, now)), cmp.Compare(a.since, b.since))
	})
	for _, c := range evictable {
		if s.evict(c); s.excess() <= 0 {
			return
		}
	}
}

// evictionRank is the order of eviction: 1 is evicted first, and 0 not at all. s.mu is held.
func (s *Conns) evictionRank(c *Conn, now time.Duration) int {
	age := now - c.since
	if s.excess() > s.limits.RejectReserve/2 {
		age *= pressureDivisor
	}
	partial := c.phase == PhaseReading || c.phase != PhaseActive && c.hasRequestBytes()
	switch {
	case c.phase == PhaseLingering && age >= s.limits.GracePeriods.Lingering:
		return 1
	case partial && age >= s.limits.GracePeriods.PartialRequest:
		return 2
	case c.phase == PhaseNew && !partial && age >= s.limits.GracePeriods.New:
		return 3
	case c.phase == PhaseIdle && !partial && age >= s.limits.GracePeriods.Idle:
		return 4
	}
	return 0
}

// evict begins to evict a connection, unless a request has begun or arrived on it meanwhile, and counts it as
// being evicted. s.mu is held.
func (s *Conns) evict(c *Conn) {
	if c.evicted {
		return
	}
	evicting := true
	switch {
	case c.phase == PhaseLingering:
		c.Close()
	case c.phase == PhaseReading || c.phase == PhaseNew && c.hasRequestBytes():
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

// EvictQuiet evicts idle connections and those on which nothing has arrived for a while; a client that has
// just connected has its request on the way. It returns how many connections of all kinds are left.
func (s *Conns) EvictQuiet() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for c := range s.conns {
		silent := c.phase == PhaseNew && !c.hasRequestBytes() && now-c.since >= s.limits.GracePeriods.New
		if c.phase == PhaseIdle || silent {
			s.evict(c)
		}
	}
	return len(s.conns)
}

// Count is how many connections there are.
func (s *Conns) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// ConnStatus is what one connection is doing at a moment.
type ConnStatus struct {
	RemoteAddr   net.Addr
	Phase        Phase
	RequestBegun bool // bytes of a request were read that has no response yet
	Departure    Departure
	ReadAhead    int // bytes that are buffered of what the client pipelined behind an open request
}

// Status returns what each connection is doing.
func (s *Conns) Status() []ConnStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []ConnStatus
	for c := range s.conns {
		all = append(all, c.status())
	}
	return all
}

// status returns what the connection is doing. s.mu is held.
func (c *Conn) status() ConnStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnStatus{
		RemoteAddr: c.RemoteAddr(), Phase: c.phase, RequestBegun: c.requestBegun, Departure: c.departed,
		ReadAhead: len(c.readAhead),
	}
}

// ReadAheadReserved is how many bytes are reserved for the read-ahead buffers of all connections.
func (s *Conns) ReadAheadReserved() int64 { return s.readAheadReserved.Load() }

// TakeCounts returns what happened to connections since the last call, and how many there are.
func (s *Conns) TakeCounts() (counts Counts, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, s.counts = s.counts, Counts{}
	return counts, len(s.conns)
}
