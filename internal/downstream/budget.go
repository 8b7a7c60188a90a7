package downstream

// Limits are what downstream connections are kept within.
type Limits struct {
	Descriptors     int   // for downstream and upstream connections together
	UpstreamReserve int   // the part of Descriptors that is always left to upstream connections
	RejectReserve   int   // descriptors beyond Descriptors, for connections whose requests are only read to be rejected
	ReadAhead       int64 // bytes that the read-ahead buffers of all connections together may have
	GracePeriods    GracePeriods
}

// Configure puts limits into force, and evicts the connections that exceed them.
func (s *Conns) Configure(limits Limits) {
	s.readAheadBudget.limit.Store(limits.ReadAhead)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
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
