package downstream

// Limits are what downstream connections are kept within.
type Limits struct {
	Descriptors     int   // for downstream and upstream connections together
	UpstreamReserve int   // the part of Descriptors that is always left to upstream connections
	RejectReserve   int   // descriptors beyond Descriptors, for connections whose requests are only read to be rejected
	ReadAhead       int64 // bytes that the read-ahead buffers of all connections together may have
	GracePeriods    GracePeriods
}

// descriptorBudget divides the process's descriptors between downstream and upstream connections, and counts the
// downstream connections that matter for it. How many connections there are is told with each question. The caller
// of its methods holds Conns.mu.
type descriptorBudget struct {
	limits   Limits
	evicting int // connections that are being evicted and not closed yet
	active   int // connections with an open request
}

// replaceActivity counts that a connection's activity has changed.
func (b *descriptorBudget) replaceActivity(before, after activity) {
	if before.evicted {
		b.evicting--
	}
	if after.evicted {
		b.evicting++
	}
	if before.phase == PhaseActive {
		b.active--
	}
	if after.phase == PhaseActive {
		b.active++
	}
}

// upstreamShare is how many descriptors are kept for so many upstream connections.
func (b *descriptorBudget) upstreamShare(upstream int) int {
	return max(b.limits.UpstreamReserve, upstream)
}

// excess is how many downstream connections there are beyond what upstream ones leave of the capacity, at least
// half of it. Those being evicted do not count.
func (b *descriptorBudget) excess(downstream, upstream int) int {
	limit := max(b.limits.Descriptors/2, b.limits.Descriptors-b.upstreamShare(upstream))
	return downstream - b.evicting - limit
}

// isShort reports whether an excess is so large that descriptors are about to run out.
func (b *descriptorBudget) isShort(excess int) bool { return excess > b.limits.RejectReserve/2 }

// admitsRequest reports whether the open requests, one that was just counted included, hold no more than half of
// the capacity.
func (b *descriptorBudget) admitsRequest() bool { return b.active <= b.limits.Descriptors/2 }

// usable is how many descriptors connections may have, those included whose requests are only read to be rejected.
func (b *descriptorBudget) usable() int { return b.limits.Descriptors + b.limits.RejectReserve }

// upstreamAllowance is how many descriptors so many downstream connections leave for upstream ones.
func (b *descriptorBudget) upstreamAllowance(downstream int) int { return b.usable() - downstream }

// isExhausted reports whether one more downstream connection would take a descriptor that is kept for others.
func (b *descriptorBudget) isExhausted(downstream, upstream int) bool {
	return downstream >= b.usable()-b.upstreamShare(upstream)
}
