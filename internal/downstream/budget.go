package downstream

// Limits are the limits that Conns enforces on downstream connections.
type Limits struct {
	Descriptors     int   // for downstream and upstream connections together
	UpstreamReserve int   // the part of Descriptors that is always reserved for upstream connections
	RejectReserve   int   // descriptors beyond Descriptors, for connections whose requests are only read to be rejected
	MaxConns        int   // downstream connections that memory allows; 0: as many as the descriptors allow
	ReadAhead       int64 // the total size of the read-ahead buffers of all connections, in bytes
	HeadMemory      int64 // the memory of all incomplete heads, in bytes; 0: no limit
	GracePeriods    GracePeriods
}

// descriptorBudget divides the process's descriptors between downstream and upstream connections, and counts the
// downstream connections that are active or being evicted. Its methods take the total numbers of connections as
// arguments. The caller of its methods holds Conns.mu.
type descriptorBudget struct {
	limits   Limits
	evicting int // connections that are being evicted and are not closed yet
	active   int // connections with an open request
}

// countActivityChange updates the counts for a change of one connection's activity.
func (b *descriptorBudget) countActivityChange(before, after activity) {
	if before.beingEvicted {
		b.evicting--
	}
	if after.beingEvicted {
		b.evicting++
	}
	if before.phase == PhaseActive {
		b.active--
	}
	if after.phase == PhaseActive {
		b.active++
	}
}

// upstreamShare returns how many descriptors are kept for upstream connections: UpstreamReserve, or the present number
// of these connections if that is greater.
func (b *descriptorBudget) upstreamShare(upstream int) int {
	return max(b.limits.UpstreamReserve, upstream)
}

// excess returns by how many the downstream connections exceed their limit: Descriptors less the share of upstream
// connections, but at least half of Descriptors, and at most MaxConns. Connections that are being evicted do not count.
// The result is negative below the limit.
func (b *descriptorBudget) excess(downstream, upstream int) int {
	limit := max(b.limits.Descriptors/2, b.limits.Descriptors-b.upstreamShare(upstream))
	if b.limits.MaxConns > 0 {
		limit = min(limit, b.limits.MaxConns)
	}
	return downstream - b.evicting - limit
}

// isUnderPressure reports whether an excess is so large that descriptors are about to run out.
func (b *descriptorBudget) isUnderPressure(excess int) bool { return excess > b.limits.RejectReserve/2 }

// admitsRequest reports whether the open requests, including the one that was just counted, hold no more than half of
// Descriptors.
func (b *descriptorBudget) admitsRequest() bool { return b.active <= b.limits.Descriptors/2 }

// usable returns how many descriptors connections may have, including those whose requests are only read to be
// rejected.
func (b *descriptorBudget) usable() int { return b.limits.Descriptors + b.limits.RejectReserve }

// upstreamAllowance returns how many descriptors the given number of downstream connections leaves for upstream ones.
func (b *descriptorBudget) upstreamAllowance(downstream int) int { return b.usable() - downstream }

// isExhausted reports whether one more downstream connection would take a descriptor that is kept for others, or memory
// that is kept for requests. RejectReserve is beyond both limits.
func (b *descriptorBudget) isExhausted(downstream, upstream int) bool {
	limit := b.usable() - b.upstreamShare(upstream)
	if b.limits.MaxConns > 0 {
		limit = min(limit, b.limits.MaxConns+b.limits.RejectReserve)
	}
	return downstream >= limit
}
