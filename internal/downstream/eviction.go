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
