package downstream

import (
	"net"
	"net/http"
	"sync"

	"basaltdrum/internal/monotime"
)

// Conns is the set of connections from clients, kept within its share of the process's file
// descriptors. When there are too many, connections without an open request are evicted, those that are the
// least useful first. A request is rejected only when open requests alone exceed the share.
type Conns struct {
	clock         monotime.Clock
	upstreamCount func() int // how many upstream connections there are

	readAheadBudget readAheadBudget // not guarded by mu

	mu     sync.Mutex
	budget descriptorBudget
	conns  map[*Conn]struct{}
	counts Counts
}

// Counts count, for the log, what happened to connections.
type Counts struct{ Accepted, AcceptFailed, Evicted, Rejected, ClosedUnread int }

// NewConns returns an empty set. upstreamCount tells how many upstream connections there are; it is called
// while the set's lock is held.
func NewConns(clock monotime.Clock, limits Limits, upstreamCount func() int) *Conns {
	s := &Conns{clock: clock, upstreamCount: upstreamCount, conns: map[*Conn]struct{}{}}
	s.SetLimits(limits)
	return s
}

// SetLimits puts limits into force, and evicts the connections that exceed them.
func (s *Conns) SetLimits(limits Limits) {
	s.readAheadBudget.limit.Store(limits.ReadAhead)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.limits = limits
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
		c.releaseReadAhead()
		return
	}
	s.evictExcess()
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
	if !s.budget.admitsRequest() {
		s.counts.Rejected++
		return false
	}
	return true
}

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
	return s.budget.upstreamAllowance(len(s.conns))
}

// atHardLimit reports whether one more connection would take a descriptor that is reserved for others. Such a
// connection is closed without reaching net/http and so without a call of ConnStateChanged, which is why
// others are evicted here, for the next one.
func (s *Conns) atHardLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.isExhausted(len(s.conns), s.upstreamCount()) {
		return false
	}
	s.counts.ClosedUnread++
	s.evictExcess()
	return true
}

// countFailedAccept counts a failed accept.
func (s *Conns) countFailedAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.AcceptFailed++
}

// setPhase notes what a connection does from now on, which ends an eviction that was begun. s.mu is held.
func (s *Conns) setPhase(c *Conn, p Phase) {
	s.setActivity(c, activity{phase: p, since: s.clock.Now()})
}

// setActivity replaces a connection's activity and counts the change. s.mu is held.
func (s *Conns) setActivity(c *Conn, a activity) {
	s.budget.replaceActivity(c.activity, a)
	c.activity = a
}

// excess is how many connections there are beyond the limit, not counting those being evicted. s.mu is held.
func (s *Conns) excess() int { return s.budget.excess(len(s.conns), s.upstreamCount()) }

// startLingering notes that net/http has written its last response and waits for the client to receive it.
func (s *Conns) startLingering(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.conns[c]; known {
		s.setPhase(c, PhaseLingering)
	}
}

// Count is how many connections there are.
func (s *Conns) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// ConnStatus is what one connection is doing at a moment.
type ConnStatus struct {
	RemoteAddr     net.Addr
	Phase          Phase
	RequestStarted bool // bytes of a request were read that has no response yet
	Departure      Departure
	ReadAhead      int // bytes that are buffered of what the client pipelined behind an open request
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

// ReadAheadReserved is how many bytes are reserved for the read-ahead buffers of all connections.
func (s *Conns) ReadAheadReserved() int64 { return s.readAheadBudget.reserved.Load() }

// TakeCounts returns what happened to connections since the last call, and how many there are.
func (s *Conns) TakeCounts() (counts Counts, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, s.counts = s.counts, Counts{}
	return counts, len(s.conns)
}
