package downstream

import (
	"cmp"
	"slices"
	"time"
)

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

// evictionRank is the order in which connections are evicted: the least useful first.
type evictionRank int

const (
	notEvictable       evictionRank = iota // a request is open
	rankLingering                          // the last response is written
	rankPartialRequest                     // a part of a request has come, and the rest has not
	rankNew                                // nothing has come yet
	rankIdle                               // all that came is answered
)

// activity is what a connection is doing, since when, and whether it is being evicted. The caller of its methods
// holds Conns.mu.
type activity struct {
	phase   Phase
	since   time.Duration // clock time when the phase began
	evicted bool          // being evicted, and counted in descriptorBudget.evicting
}

// whileEvicted is the same activity of a connection that is being evicted.
func (a activity) whileEvicted() activity {
	a.evicted = true
	return a
}

// rank is the rank of the connection, whatever its age. hasRequestBytes tells whether bytes of a request were read
// that has no response yet; it takes Conn.mu, and is called only where the rank depends on it.
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

// of returns how long a connection of a rank is exempt from eviction.
func (g GracePeriods) of(rank evictionRank) time.Duration {
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

// isEvictable reports whether a connection of a rank has outlived its grace period, which a divisor shortens.
func (a activity) isEvictable(rank evictionRank, now time.Duration, grace GracePeriods, divisor time.Duration) bool {
	return rank != notEvictable && (now-a.since)*divisor >= grace.of(rank)
}

// isQuiet reports whether the connection waits for a request, of which nothing has come for as long as a client that
// has just connected may take. hasRequestBytes is as for rank.
func (a activity) isQuiet(now time.Duration, grace GracePeriods, hasRequestBytes func() bool) bool {
	return a.phase == PhaseIdle || a.phase == PhaseNew && !hasRequestBytes() && now-a.since >= grace.New
}

// evictable is a connection whose grace period is over.
type evictable struct {
	conn *Conn
	rank evictionRank
}

// evictExcess evicts connections without an open request while there are too many: by rank, and among equals
// the one that has been in its phase for longest. Connections within their grace period are exempt, because a
// client retries a request that crosses a close only once. (While there are too many, each response closes
// its connection as well, which no request can cross.) s.mu is held.
func (s *Conns) evictExcess() {
	if s.excess() <= 0 {
		return
	}
	for _, candidate := range s.evictableConns() {
		if s.evict(candidate.conn); s.excess() <= 0 {
			return
		}
	}
}

// evictableConns returns the connections that may be evicted, in the order of eviction. s.mu is held.
func (s *Conns) evictableConns() []evictable {
	now, divisor := s.clock.Now(), time.Duration(1)
	if s.budget.isShort(s.excess()) {
		divisor = pressureDivisor
	}
	var found []evictable
	for c := range s.conns {
		if c.activity.evicted {
			continue
		}
		rank := c.activity.rank(c.hasRequestBytes)
		if c.activity.isEvictable(rank, now, s.budget.limits.GracePeriods, divisor) {
			found = append(found, evictable{c, rank})
		}
	}
	slices.SortFunc(found, func(a, b evictable) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.conn.activity.since, b.conn.activity.since))
	})
	return found
}

// evict begins to evict a connection, unless a request has begun or arrived on it meanwhile, and counts it as
// being evicted. s.mu is held.
func (s *Conns) evict(c *Conn) {
	if c.activity.evicted {
		return
	}
	evicting := true
	switch {
	case c.activity.phase == PhaseLingering:
		c.Close()
	case c.activity.phase == PhaseReading || c.activity.phase == PhaseNew && c.hasRequestBytes():
		evicting = c.abortRead()
	default:
		evicting = c.evictIfQuiet()
	}
	if evicting {
		s.setActivity(c, c.activity.whileEvicted())
		s.counts.Evicted++
	}
}

// EvictIdle evicts idle connections and those on which nothing has arrived for a while; a client that has
// just connected has its request on the way. It returns how many connections of all kinds are left.
func (s *Conns) EvictIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for c := range s.conns {
		if c.activity.isQuiet(now, s.budget.limits.GracePeriods, c.hasRequestBytes) {
			s.evict(c)
		}
	}
	return len(s.conns)
}
