package downstream

import "sync/atomic"

// unlimitedHeadMemory is the memory that an incomplete head may hold although all heads together have reached their
// limit, in bytes. The heads of well-behaved clients need less, and often arrive in pieces.
const unlimitedHeadMemory = 4 << 10

// headMemoryBudget limits the memory of all heads that are not complete. It needs no lock.
type headMemoryBudget struct {
	limit atomic.Int64 // bytes; 0: none
	used  atomic.Int64 // bytes
}

// isExceeded reports whether the heads hold more than the limit.
func (b *headMemoryBudget) isExceeded() bool {
	limit := b.limit.Load()
	return limit > 0 && b.used.Load() > limit
}
