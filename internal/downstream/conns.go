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

	mu       sync.Mutex
	limits   Limits
	conns    map[*Conn]struct{}
	evicting int // connections that are being evicted and not closed yet
	active   int // connections with an open request
	counts   Counts
}

// Counts count, for the log, what happened to connections.
type Counts struct{ Accepted, AcceptFailed, Evicted, Rejected, ClosedUnread int }

// NewConns returns an empty set. upstreamCount tells how many upstream connections there are; it is called
// while the set's lock is held.
func NewConns(clock monotime.Clock, limits Limits, upstreamCount func() int) *Conns {
	s := &Conns{clock: clock, upstreamCount: upstreamCount, conns: map[*Conn]struct{}{}}
	s.Configure(limits)
	return s
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

// countFailedAccept counts a failed accept.
func (s *Conns) countFailedAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.AcceptFailed++
}

// setPhase notes what a connection does from now on, which ends an eviction that was begun. s.mu is held.
func (s *Conns) setPhase(c *Conn, p Phase) {
	if c.activity.evicted {
		s.evicting--
	}
	if c.activity.phase == PhaseActive {
		s.active--
	}
	if p == PhaseActive {
		s.active++
	}
	c.activity = activity{phase: p, since: s.clock.Now()}
}

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

// ReadAheadReserved is how many bytes are reserved for the read-ahead buffers of all connections.
func (s *Conns) ReadAheadReserved() int64 { return s.readAheadBudget.reserved.Load() }

// TakeCounts returns what happened to connections since the last call, and how many there are.
func (s *Conns) TakeCounts() (counts Counts, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, s.counts = s.counts, Counts{}
	return counts, len(s.conns)
}
