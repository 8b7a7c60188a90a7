package node

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// graces tell how long a caller's connection is spared, when there are too many, in each of the states in
// which it holds a place and no request is open on it.
type gracePeriods struct{ lingering, newConn, partialRequest, idle time.Duration }

// pressing shortens the graces while descriptors are about to run out.
const pressureDivisor = 5

// A good caller sends its request as soon as it has connected, and in one piece; one idle for a moment may
// meet its next request on the way.
func defaultGracePeriods() gracePeriods {
	return gracePeriods{
		lingering: 50 * time.Millisecond, newConn: 100 * time.Millisecond, partialRequest: time.Second,
		idle: 500 * time.Millisecond,
	}
}

// callers are the callers' connections, within their share of the node's descriptors. Whoever holds a
// place without a request makes room first; only if nobody does, requests are refused.
type downstreamConns struct {
	clock           clock
	capacity        int        // descriptors for callers and servers together
	upstreamReserve int        // of these the servers' connections may always have
	upstreamCount   func() int // how many they have
	rejectReserve   int        // descriptors beyond room for callers whose requests are read only to be refused

	readAheadLimit    int64        // bytes that all may send ahead together
	readAheadReserved atomic.Int64 // bytes reserved for that

	mu           sync.Mutex
	conns        map[*downstreamConn]struct{}
	evicting     int // let go and not closed yet
	active       int // with a request open
	gracePeriods gracePeriods
	counts       downstreamCounts
}

// callerCounts tell, for the log, what became of connections.
type downstreamCounts struct{ Accepted, AcceptFailed, Evicted, Rejected, ClosedUnread int }

// activity is what a connection does, and since when.
type connActivity struct {
	phase   connPhase
	since   time.Duration
	evicted bool // let go, and counted as leaving
}

type connPhase int

const (
	phaseNew       connPhase = iota // new, no request read
	phaseReading                    // a request's head is read, its body may not be
	phaseActive                     // a request is with the module
	phaseIdle                       // answered
	phaseLingering                  // answered for good; what still comes is thrown away
)

// newCallers takes the node's memory in bytes, of which what callers send ahead may fill a share.
func newDownstreamConns(c clock, room, spare int, memory int64, servers func() int) *downstreamConns {
	return &downstreamConns{
		clock: c, readAheadLimit: memory / readAheadMemoryShare, capacity: room, upstreamReserve: room / 4, upstreamCount: servers, rejectReserve: spare,
		conns: map[*downstreamConn]struct{}{}, gracePeriods: defaultGracePeriods(),
	}
}

// track follows what net/http tells of a connection, and makes room when there are too many.
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

// acceptFailed counts a failed accept.
func (s *downstreamConns) countFailedAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.AcceptFailed++
}

// move notes what a connection does from now on. The caller holds mu.
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
	c.connActivity = connActivity{phase: p, since: s.clock.now()}
}

// linger notes that net/http has answered for good and waits for the answer to arrive.
func (s *downstreamConns) startLingering(c *downstreamConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.conns[c]; held {
		s.setPhase(c, phaseLingering)
	}
}

// open notes that a connection's request goes to the module, unless as many are there as servers'
// connections are kept for. That there are too many connections is no reason: others' silence must not cost
// a good caller its answer. If its connection was to be let go, another goes in its place.
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

// most is how many connections callers may hold now: what servers leave. The caller holds mu.
func (s *downstreamConns) limit() int {
	return max(s.capacity/2, s.capacity-max(s.upstreamReserve, s.upstreamCount()))
}

// over is by how many there are too many. The caller holds mu.
func (s *downstreamConns) excess() int { return len(s.conns) - s.evicting - s.limit() }

func (s *downstreamConns) overLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess() > 0
}

// left is how many descriptors callers leave for connections to servers.
func (s *downstreamConns) upstreamAllowance() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity + s.rejectReserve - len(s.conns)
}

// full says that one more would take a descriptor that is kept for others. Whoever is turned away shows nowhere
// else, so room is made for the next one here.
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

// makeRoom lets connections without a request go while there are too many: those first that are of least
// use to a good caller, and of these who has been so for longest. One idle for a moment only is spared:
// a client sends again just once what crosses a close. While there are too many, each answer closes its
// connection, which nothing can cross. The caller holds mu.
func (s *downstreamConns) evictExcess() {
	if s.excess() <= 0 {
		return
	}
	now := s.clock.now()
	var free []*downstreamConn
	for c := range s.conns {
		if !c.evicted && s.evictionRank(c, now) > 0 {
			free = append(free, c)
		}
	}
	slices.SortFunc(free, func(a, b *downstreamConn) int {
		return cmp.Or(cmp.Compare(s.evictionRank(a, now), s.evictionRank(b, now)), cmp.Compare(a.since, b.since))
	})
	for _, c := range free {
		if s.evict(c); s.excess() <= 0 {
			return
		}
	}
}

// useless ranks the connections that may be let go, from 1; 0 is none of them.
func (s *downstreamConns) evictionRank(c *downstreamConn, now time.Duration) int {
	age := now - c.since
	if s.excess() > s.rejectReserve/2 {
		age *= pressureDivisor
	}
	switch half := c.phase == phaseReading || c.phase != phaseActive && c.hasRequestBytes(); {
	case c.phase == phaseLingering && age >= s.gracePeriods.lingering:
		return 1
	case half && age >= s.gracePeriods.partialRequest:
		return 2
	case c.phase == phaseNew && !half && age >= s.gracePeriods.newConn:
		return 3
	case c.phase == phaseIdle && !half && age >= s.gracePeriods.idle:
		return 4
	}
	return 0
}

// letGo lets a connection go if it may be, and counts it as leaving. The caller holds mu.
func (s *downstreamConns) evict(c *downstreamConn) {
	gone := !c.evicted
	switch {
	case c.evicted:
	case c.phase == phaseLingering:
		c.Close()
	case c.phase == phaseReading || c.phase == phaseNew && c.hasRequestBytes():
		gone = c.abortRead()
	default:
		gone = c.evictIfQuiet()
	}
	if gone && !c.evicted {
		c.evicted = true
		s.evicting++
		s.counts.Evicted++
	}
}

// letQuietGo closes the callers' idle connections, and those that have sent nothing for a while: whoever has
// just been accepted has its request on the way. It returns how many of all are left.
func (s *downstreamConns) evictQuiet() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for c := range s.conns {
		if c.phase == phaseIdle || c.phase == phaseNew && !c.hasRequestBytes() && now-c.since >= s.gracePeriods.newConn {
			s.evict(c)
		}
	}
	return len(s.conns)
}

// held is how many connections there are.
func (s *downstreamConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// report tells what became of connections since the last report, and how many there are.
func (s *downstreamConns) takeCounts() (c downstreamCounts, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, s.counts = s.counts, downstreamCounts{}
	return c, len(s.conns)
}
