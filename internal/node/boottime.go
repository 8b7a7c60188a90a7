package node

import (
	"math"
	"slices"
	"time"
)

const (
	// offsetTolerance is the difference between two readings of the wall clock against the monotonic one that is
	// no step: the two are read one after the other, and the wall clock is slewed all the time.
	offsetTolerance = 10 * time.Millisecond
	// futureTolerance is how far in the future a start may lie and still count as now: boot_ms is rounded, and
	// machines agree on the time only so far.
	futureTolerance = 100 * time.Millisecond
	// maxOffsets is how many offsets between the two clocks are kept, the latest seen.
	maxOffsets = 16
	// maxBoot is the latest boot_ms that fits a time.Duration together with any clock time.
	maxBoot = 9e12
)

// bootClock converts boot_ms, which is Unix time, to times of the node's clock, which is monotonic.
//
// The wall clock may be set at any moment, also between a server's start and the list that tells of it, and
// nothing in boot_ms says which of the settings it was read under. So the offsets between the two clocks that
// this process has seen are kept, a start is converted by each, and the latest result that is not in the future
// holds: a server taken for younger than it is gets less for a while, one taken for older may be overloaded.
//
// What the node itself knows bounds the result. No start lies in the future. And an entry whose boot_ms changes
// had not restarted when the list was last known to be current (lists may come late: then the server counts as
// younger by that). An entry that is not in the list before has no such bound: it may have run all the while and
// have been registered late, or left out while it could not be reached.
//
// It belongs to the goroutine of the loop.
type bootClock struct {
	clock     clock
	offsets   []time.Duration // clock time less Unix time; the one seen last is the last
	currentAt time.Duration   // when the list held was last known to be current; 0: not yet
}

func newBootClock(c clock) *bootClock {
	b := &bootClock{clock: c}
	b.observe()
	return b
}

// observe notes the offset between the two clocks.
func (b *bootClock) observe() {
	offset := b.clock.now() - b.clock.unix()
	b.offsets = slices.DeleteFunc(b.offsets, func(known time.Duration) bool {
		return (offset - known).Abs() <= offsetTolerance
	})
	b.offsets = append(b.offsets, offset)
	if len(b.offsets) > maxOffsets {
		b.offsets = slices.Delete(b.offsets, 0, 1)
	}
}

// confirm notes that discovery has answered: the list that the node now holds is current.
func (b *bootClock) confirm() {
	b.observe()
	b.currentAt = b.clock.now()
}

// started is the clock time of the start that an entry tells of; 0: long ago. held is the entry with the same uid
// in the list that the node holds, if there is one: while boot_ms stays the same, so does the result.
func (b *bootClock) startTime(bootMS float64, held listEntry, isHeld bool) time.Duration {
	switch {
	case isHeld && held.bootMS == bootMS:
		return held.StartedAt
	case bootMS == 0:
		return 0
	}
	at := max(1, b.convert(bootMS))
	if isHeld {
		at = max(at, b.currentAt, held.StartedAt+1) // + 1: another life has another time
	}
	return at
}

// convert is the latest time that the offsets make of a start and that is not in the future, or now if there is none.
func (b *bootClock) convert(bootMS float64) time.Duration {
	now := b.clock.now()
	boot := time.Duration(math.Round(min(bootMS, maxBoot)*1000)) * time.Microsecond // exact, as one in ns is not
	var (
		latest time.Duration
		found  bool
	)
	for _, offset := range b.offsets {
		at := boot + offset
		if at > now+futureTolerance {
			continue
		}
		if !found || at > latest {
			latest, found = at, true
		}
	}
	if !found {
		return now
	}
	return min(latest, now)
}
