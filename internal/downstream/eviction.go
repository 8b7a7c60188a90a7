package downstream

import (
	"cmp"
	"slices"
	"time"

	"basaltdrum/internal/socketpeek"
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

// evictionRank is the rank of a connection, whatever its age. conns.mu is held.
func (c *Conn) evictionRank() evictionRank {
	switch {
	case c.phase == PhaseLingering:
		return rankLingering
	case c.phase == PhaseActive:
		return notEvictable
	case c.phase == PhaseReading || c.hasRequestBytes():
		return rankPartialRequest
	case c.phase == PhaseNew:
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
	now, pressure := s.clock.Now(), time.Duration(1)
	if s.excess() > s.limits.RejectReserve/2 {
		pressure = pressureDivisor
	}
	var found []evictable
	for c := range s.conns {
		if c.evicted {
			continue
		}
		rank := c.evictionRank()
		if rank != notEvictable && (now-c.since)*pressure >= s.limits.GracePeriods.of(rank) {
			found = append(found, evictable{c, rank})
		}
	}
	slices.SortFunc(found, func(a, b evictable) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.conn.since, b.conn.since))
	})
	return found
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

// evictIfQuiet ends the wait for a request, unless one has begun, including one that has arrived and not been
// read: closing over unread bytes resets the connection, and a client retries such a request only once. It
// reports whether the connection is being evicted.
func (c *Conn) evictIfQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestBegun && !socketpeek.HasUnreadOrClosed(c.Conn) {
		c.readEnded = true
		c.Conn.SetReadDeadline(pastDeadline)
	}
	return c.readEnded
}

// abortRead ends the wait for the rest of a request, and reports whether it did. It does not if the request
// is complete, when a deadline in the past would end the departure watch instead, or if bytes have arrived
// that nobody has read, which may be the rest.
func (c *Conn) abortRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestComplete || socketpeek.HasUnreadOrClosed(c.Conn) {
		return false
	}
	c.readEnded, c.readAborted = true, true
	c.Conn.SetReadDeadline(pastDeadline)
	return true
}
