package downstream

import (
	"cmp"
	"slices"
	"time"
)

// GracePeriods holds how long a connection without an open request is exempt from eviction, for each state that it may
// be in.
type GracePeriods struct{ Lingering, New, PartialRequest, Idle time.Duration }

// pressureGraceDivisor divides the grace periods while descriptors are about to run out.
const pressureGraceDivisor = 5

// DefaultGracePeriods returns the grace periods that suit well-behaved clients: they send a request as soon as they
// have connected, and send it without a pause. After a response, the next request may already be in transit.
func DefaultGracePeriods() GracePeriods {
	return GracePeriods{
		Lingering: 50 * time.Millisecond, New: 100 * time.Millisecond, PartialRequest: time.Second,
		Idle: 500 * time.Millisecond,
	}
}

// evictionRank is the order in which connections are evicted: the least useful first.
type evictionRank int

const (
	notEvictable       evictionRank = iota // a request is open
	rankLingering                          // the last response is written
	rankPartialRequest                     // only a part of a request has been read
	rankNew                                // nothing has been read yet
	rankIdle                               // all requests are answered
)

// activity is the phase of a connection, its start, and whether the connection is being evicted. The caller of its
// methods holds Conns.mu.
type activity struct {
	phase        Phase
	since        time.Duration // clock time when the phase started
	beingEvicted bool          // counted in descriptorBudget.evicting
}

// markedEvicting returns a copy of the activity in which the connection is marked as being evicted.
func (a activity) markedEvicting() activity {
	a.beingEvicted = true
	return a
}

// rank returns the eviction rank of the connection, regardless of its age. hasRequestBytes reports whether bytes have
// been read of a request that has no response yet. It locks Conn.mu, and is called only if the rank depends on it.
func (a activity) rank(hasRequestBytes func() bool) evictionRank {
	switch {
	case a.phase == PhaseLingering:
		return rankLingering
	case a.phase == PhaseActive:
		return notEvictable
	case a.phase == PhaseReading || hasRequestBytes():
		return rankPartialRequest
	case a.phase == PhaseNew:
		return rankNew
	default:
		return rankIdle
	}
}

// forRank returns the grace period of connections of the given rank.
func (g GracePeriods) forRank(rank evictionRank) time.Duration {
	switch rank {
	case rankLingering:
		return g.Lingering
	case rankPartialRequest:
		return g.PartialRequest
	case rankNew:
		return g.New
	default:
		return g.Idle
	}
}

// isEvictable reports whether the grace period of a connection, divided by divisor, is over. rank is its rank.
func (a activity) isEvictable(rank evictionRank, now time.Duration, grace GracePeriods, divisor time.Duration) bool {
	return rank != notEvictable && (now-a.since)*divisor >= grace.forRank(rank)
}

// isIdle reports whether the connection waits for a request. A new connection counts as idle once its grace period is
// over, if nothing has been read from it. hasRequestBytes is the same as for rank.
func (a activity) isIdle(now time.Duration, grace GracePeriods, hasRequestBytes func() bool) bool {
	return a.phase == PhaseIdle || a.phase == PhaseNew && !hasRequestBytes() && now-a.since >= grace.New
}

// evictionCandidate is a connection that may be evicted, as its grace period is over.
type evictionCandidate struct {
	conn *Conn
	rank evictionRank
}

// evictExcess evicts connections without an open request while there are too many, in the order of their ranks, and
// within a rank those first that have been in their phase the longest. Connections within their grace period are
// exempt, because a client retries a request that crosses a close only once. (While there are too many, each response
// also closes its connection, and no request can cross that close.) The caller holds s.mu.
func (s *Conns) evictExcess() {
	if s.excess() <= 0 {
		return
	}
	for _, candidate := range s.evictionCandidates() {
		if s.evict(candidate.conn); s.excess() <= 0 {
			return
		}
	}
}

// evictionCandidates returns the connections that may be evicted, in the order of eviction. The caller holds s.mu.
func (s *Conns) evictionCandidates() []evictionCandidate {
	now, divisor := s.clock.Now(), time.Duration(1)
	if s.budget.isUnderPressure(s.excess()) {
		divisor = pressureGraceDivisor
	}
	var candidates []evictionCandidate
	for c := range s.conns {
		if c.activity.beingEvicted {
			continue
		}
		rank := c.activity.rank(c.hasRequestBytes)
		if c.activity.isEvictable(rank, now, s.budget.limits.GracePeriods, divisor) {
			candidates = append(candidates, evictionCandidate{c, rank})
		}
	}
	slices.SortFunc(candidates, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.conn.activity.since, b.conn.activity.since))
	})
	return candidates
}

// evict starts to evict a connection, unless a request has started or arrived on it meanwhile, and counts it as
// being evicted. The caller holds s.mu.
func (s *Conns) evict(c *Conn) {
	if c.activity.beingEvicted {
		return
	}
	evicting := false
	switch {
	case c.activity.phase == PhaseLingering:
		s.evictLingering(c)
	case c.activity.phase == PhaseReading || c.activity.phase == PhaseNew && c.hasRequestBytes():
		evicting = c.abortRead()
	default:
		evicting = c.evictUnlessRequestStarted()
	}
	if evicting {
		s.setActivity(c, c.activity.markedEvicting())
		s.counts.Evicted++
	}
}

// evictLingering closes a connection whose last response is written. It is not counted as being evicted, as its
// descriptor is free at once. The caller holds s.mu.
func (s *Conns) evictLingering(c *Conn) {
	_ = c.Conn.Close()
	close(c.lingerEvicted)
	s.remove(c)
	s.counts.Evicted++
}

// evictionRevoked records that bytes of a request were read from a connection that was being evicted, which revokes the
// eviction. The grace period of the partial request starts, and another connection is evicted in place of this one.
// Nothing is recorded if the connection has started another phase or another eviction since then.
func (s *Conns) evictionRevoked(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.activity.beingEvicted || c.isReadInterrupted() {
		return
	}
	s.setPhase(c, c.activity.phase)
	s.evictExcess()
}

// EvictIdle evicts idle connections, and new ones on which nothing has arrived during their grace period. New ones have
// a grace period because the request of a client that has just connected may be in transit. EvictIdle returns the
// number of connections that are not closed yet.
func (s *Conns) EvictIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for c := range s.conns {
		if c.activity.isIdle(now, s.budget.limits.GracePeriods, c.hasRequestBytes) {
			s.evict(c)
		}
	}
	return len(s.conns)
}
