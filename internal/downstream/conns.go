package downstream

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"basaltdrum/internal/monotime"
)

// Conns is the set of connections from clients whose sockets are open. It keeps them within their share of the
// process's file descriptors. When there are too many, connections without an open request are evicted, the least
// useful ones first. A request is rejected only when open requests alone hold more than half of the descriptors.
type Conns struct {
	clock         monotime.Clock
	upstreamCount func() int    // returns the number of upstream connections
	lingerTimeout time.Duration // how long a connection lingers that is not evicted

	readAheadBudget readAheadBudget  // not guarded by mu
	headMemory      headMemoryBudget // not guarded by mu
	descriptorFreed chan struct{}    // receives a value when a connection is closed
	unserved        atomic.Int32     // accepted connections whose goroutine has not run yet

	mu     sync.Mutex
	budget descriptorBudget
	conns  map[*Conn]struct{}
	counts Counts
}

// Counts holds the counters for the log: connections accepted, failed accepts, connections evicted, requests rejected
// for lack of descriptors, waits for a descriptor before an accept, and connections closed unread at the hard limit.
type Counts struct{ Accepted, AcceptFailed, Evicted, Rejected, AcceptDelayed, ClosedUnread int }

// NewConns returns an empty set. upstreamCount returns the number of upstream connections; it is called
// while the set's lock is held.
func NewConns(clock monotime.Clock, limits Limits, upstreamCount func() int) *Conns {
	s := &Conns{
		clock: clock, upstreamCount: upstreamCount, lingerTimeout: defaultLingerTimeout, conns: map[*Conn]struct{}{},
		descriptorFreed: make(chan struct{}, 1),
	}
	s.SetLimits(limits)
	return s
}

// SetLimits changes the limits, and evicts connections that exceed them.
func (s *Conns) SetLimits(limits Limits) {
	s.readAheadBudget.limit.Store(limits.ReadAhead)
	s.headMemory.limit.Store(limits.HeadMemory)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.limits = limits
	s.evictExcess()
}

// ConnStateChanged is the ConnState hook of the http.Server. It checks for an excess of connections after each change,
// which may have added a connection or made one evictable.
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
		c.startRequest()
		s.setPhase(c, PhaseReading)
	case http.StateIdle:
		s.setPhase(c, PhaseIdle)
	default:
		s.remove(c)
		c.releaseReadAhead()
		return
	}
	s.evictExcess()
}

// AdmitRequest records that a connection's request is open, and reports whether it may be passed to the decision
// module. It may not if open requests hold more than half of the descriptors. An excess of connections alone is no
// reason to reject: clients that send nothing must not cost a well-behaved client its response. If this connection was
// being evicted, another one is evicted in its place.
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

// OverLimit reports whether the number of connections exceeds the limit, not counting those being evicted.
func (s *Conns) OverLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess() > 0
}

// UpstreamAllowance returns how many descriptors downstream connections leave for upstream ones.
func (s *Conns) UpstreamAllowance() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.upstreamAllowance(len(s.conns))
}

// hasDescriptor reports whether there is a descriptor for one more connection, after others were evicted to make room.
func (s *Conns) hasDescriptor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.makeRoom()
}

// atHardLimit reports whether one more connection would take a descriptor that is reserved for others. If so, the
// caller closes the connection before it reaches net/http, and it is counted as closed unread.
func (s *Conns) atHardLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.makeRoom() {
		return false
	}
	s.counts.ClosedUnread++
	return true
}

// makeRoom reports whether there is a descriptor for one more connection. If there is none, it evicts others first: for
// this one if they linger, and for the next one if they close later. The caller holds s.mu.
func (s *Conns) makeRoom() bool {
	if !s.isExhausted() {
		return true
	}
	s.evictExcess()
	return !s.isExhausted()
}

func (s *Conns) countDelayedAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.AcceptDelayed++
}

func (s *Conns) countFailedAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.AcceptFailed++
}

// setPhase starts a new phase of a connection, which no longer counts as being evicted. The caller holds s.mu.
func (s *Conns) setPhase(c *Conn, p Phase) {
	s.setActivity(c, activity{phase: p, since: s.clock.Now()})
}

// setActivity replaces a connection's activity and counts the change. The caller holds s.mu.
func (s *Conns) setActivity(c *Conn, a activity) {
	s.budget.countActivityChange(c.activity, a)
	c.activity = a
}

// excess returns by how many the connections exceed the limit, not counting those being evicted. The caller holds s.mu.
func (s *Conns) excess() int { return s.budget.excess(len(s.conns), s.upstreamCount()) }

// isExhausted reports whether one more connection would take a descriptor that is reserved for others. The caller holds
// s.mu.
func (s *Conns) isExhausted() bool { return s.budget.isExhausted(len(s.conns), s.upstreamCount()) }

// startLingering records that net/http has written the last response on a connection and waits for the client to
// receive it.
func (s *Conns) startLingering(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[c]; open {
		s.setPhase(c, PhaseLingering)
	}
}

// socketClosed records that a connection's socket is closed. net/http reports StateClosed some time later.
func (s *Conns) socketClosed(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c)
}

// remove removes a connection whose socket is closed, if it has not been removed yet. The caller holds s.mu.
func (s *Conns) remove(c *Conn) {
	if _, open := s.conns[c]; !open {
		return
	}
	s.setPhase(c, PhaseLingering) // neither active nor being evicted
	delete(s.conns, c)
	notify(s.descriptorFreed)
}

// Count returns the number of connections.
func (s *Conns) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// ConnStatus is a snapshot of the state of one connection.
type ConnStatus struct {
	RemoteAddr     net.Addr
	Phase          Phase
	RequestStarted bool // bytes have been read of a request that has no response yet
	Departure      Departure
	ReadAhead      int // number of buffered bytes that the client has pipelined after an open request
}

// Status returns a snapshot of the state of each connection.
func (s *Conns) Status() []ConnStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []ConnStatus
	for c := range s.conns {
		all = append(all, c.status())
	}
	return all
}

// ReadAheadReserved returns the number of bytes that are reserved for the read-ahead buffers of all connections.
func (s *Conns) ReadAheadReserved() int64 { return s.readAheadBudget.reserved.Load() }

// IncompleteHeadMemory returns how much memory the heads hold that are not complete, in bytes.
func (s *Conns) IncompleteHeadMemory() int64 { return s.headMemory.used.Load() }

// TakeCounts returns the counts since the last call, and the present numbers of connections and of those among them
// that are being evicted.
func (s *Conns) TakeCounts() (counts Counts, conns, evicting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, s.counts = s.counts, Counts{}
	return counts, len(s.conns), s.budget.evicting
}
