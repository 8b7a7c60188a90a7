package endpointlist

import (
	"math"
	"slices"
	"time"

	"basaltdrum/internal/monotime"
)

const (
	// offsetTolerance is the largest difference at which two offsets between the wall clock and the monotonic one
	// count as the same: the clocks are read one after the other, and the wall clock is slewed continuously.
	offsetTolerance = 10 * time.Millisecond
	// futureTolerance is how far in the future a start may lie and still count as now: boot_ms is rounded, and the
	// clocks of machines differ slightly.
	futureTolerance = 100 * time.Millisecond
	// maxOffsets is the number of offsets between the two clocks that are stored, the most recent ones.
	maxOffsets = 16
	// maxConvertibleBootMS is the latest boot_ms, in Unix milliseconds, whose sum with any clock time fits a
	// time.Duration.
	maxConvertibleBootMS = 9e12
)

// bootClock converts boot_ms, which is Unix time, to times of the node's clock, which is monotonic.
//
// The wall clock may be set at any moment, also between the start of an endpoint and the list that announces it,
// and boot_ms does not tell at which setting of the clock it was read. So the offsets between the two clocks
// that this process has observed are stored, a start is converted by each of them, and the latest result that is
// not in the future is used. An endpoint that is assumed to be younger than it is receives less traffic for a while;
// one that is assumed to be older may be overloaded during its slow start.
//
// Two facts bound the result. No start lies in the future. And an endpoint whose boot_ms changes has restarted since
// the list was last known to be current (if lists are late, the endpoint counts as younger by that delay). The second
// bound does not apply to an entry that the previous list does not have: the endpoint may have been running already,
// and may have been registered late or omitted while it was unreachable.
//
// It is used only by the goroutine of its Table.
type bootClock struct {
	clock     monotime.Clock
	offsets   []time.Duration // clock time minus Unix time, in the order in which they were last seen
	currentAt time.Duration   // clock time when the node's list was last known to be current; 0: not yet
}

func newBootClock(c monotime.Clock) *bootClock {
	b := &bootClock{clock: c}
	b.observe()
	return b
}

// observe records the current offset between the two clocks.
func (b *bootClock) observe() {
	offset := b.clock.Now() - b.clock.Unix()
	b.offsets = slices.DeleteFunc(b.offsets, func(known time.Duration) bool {
		return (offset - known).Abs() <= offsetTolerance
	})
	b.offsets = append(b.offsets, offset)
	if len(b.offsets) > maxOffsets {
		b.offsets = slices.Delete(b.offsets, 0, 1)
	}
}

// confirm records that discovery has responded, so that the node's list is current now.
func (b *bootClock) confirm() {
	b.observe()
	b.currentAt = b.clock.Now()
}

// startTime returns the clock time of an endpoint's start at bootMS; 0: long ago. If listed is true, previous is the
// entry with the same uid in the node's list. The result stays the same as long as boot_ms does.
func (b *bootClock) startTime(bootMS float64, previous Entry, listed bool) time.Duration {
	switch {
	case listed && previous.BootMS == bootMS:
		return previous.StartedAt
	case bootMS == 0:
		return 0
	}
	start := max(1, b.convert(bootMS))
	if listed {
		start = max(start, b.currentAt, previous.StartedAt+1) // + 1, as another instance has a different start
	}
	return start
}

// isLongAgo reports whether a start was so long ago that it may be listed as 0.
func (b *bootClock) isLongAgo(bootMS float64) bool {
	return bootMS == 0 || b.clock.Now()-b.convert(bootMS) > removalMemory
}

// convert converts boot_ms by each of the offsets. It returns the latest clock time that is not in the future, or the
// current one if there is none.
func (b *bootClock) convert(bootMS float64) time.Duration {
	now := b.clock.Now()
	// Rounding to microseconds makes this exact; as a float64, nanoseconds since 1970 are not.
	boot := time.Duration(math.Round(min(bootMS, maxConvertibleBootMS)*1000)) * time.Microsecond
	var (
		latest time.Duration
		found  bool
	)
	for _, offset := range b.offsets {
		start := boot + offset
		if start > now+futureTolerance {
			continue
		}
		if !found || start > latest {
			latest, found = start, true
		}
	}
	if !found {
		return now
	}
	return min(latest, now)
}
