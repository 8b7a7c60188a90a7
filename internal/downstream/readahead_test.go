package downstream

import (
	"slices"
	"testing"
)

// fill has a buffer take in bytes as the departure watch does, and reports whether all fit.
func fill(b *readAheadBuffer, p []byte) bool {
	for len(p) > 0 {
		unused := b.unused()
		if unused == nil {
			return false
		}
		n := copy(unused, p)
		b.extend(n)
		p = p[n:]
	}
	return true
}

// A buffer grows by doubling, within its own limit and the budget's, and reserves what it has allocated.
func TestReadAheadBufferGrowsWithinItsLimits(t *testing.T) {
	for _, row := range []struct {
		name           string
		limit          int64 // of the budget, in bytes
		bytes          int   // that are offered
		fits           bool
		size, reserved int
	}{
		{"one byte", 1 << 20, 1, true, 1, minReadAheadBytes},
		{"one step", 1 << 20, minReadAheadBytes, true, minReadAheadBytes, minReadAheadBytes},
		{"one byte more than a step", 1 << 20, minReadAheadBytes + 1, true, minReadAheadBytes + 1, 2 * minReadAheadBytes},
		{"the longest request", 1 << 20, maxReadAheadBytes, true, maxReadAheadBytes, maxReadAheadBytes},
		{"more than the longest request", 1 << 20, maxReadAheadBytes + 1, false, maxReadAheadBytes, maxReadAheadBytes},
		{"no budget for a first step", minReadAheadBytes - 1, 1, false, 0, 0},
		{"no budget for a second step", 2*minReadAheadBytes - 1, minReadAheadBytes + 1, false, minReadAheadBytes, minReadAheadBytes},
	} {
		t.Run(row.name, func(t *testing.T) {
			budget := &readAheadBudget{}
			budget.limit.Store(row.limit)
			b := readAheadBuffer{budget: budget}
			if fits := fill(&b, make([]byte, row.bytes)); fits != row.fits {
				t.Errorf("fits: %v, want %v", fits, row.fits)
			}
			if reserved := int(budget.reserved.Load()); b.size() != row.size || reserved != row.reserved {
				t.Errorf("%d bytes, %d reserved, want %d and %d", b.size(), reserved, row.size, row.reserved)
			}
			if b.release(); b.size() != 0 || budget.reserved.Load() != 0 {
				t.Errorf("%d bytes, %d reserved after the release", b.size(), budget.reserved.Load())
			}
		})
	}
}

// Bytes are taken in the order in which they came, and the last one takes the reservation along.
func TestReadAheadBufferIsTakenInOrder(t *testing.T) {
	budget := &readAheadBudget{}
	budget.limit.Store(minReadAheadBytes)
	b := readAheadBuffer{budget: budget}
	fill(&b, []byte("abc"))
	var taken []byte
	for p := make([]byte, 2); b.size() > 0; {
		if budget.reserved.Load() != minReadAheadBytes {
			t.Errorf("%d bytes are reserved while %d are buffered", budget.reserved.Load(), b.size())
		}
		taken = append(taken, p[:b.take(p)]...)
	}
	if !slices.Equal(taken, []byte("abc")) || budget.reserved.Load() != 0 {
		t.Errorf("took %q, %d bytes are still reserved", taken, budget.reserved.Load())
	}
	if b.unused() == nil {
		t.Fatal("no room in an empty buffer")
	}
	if b.extend(0); budget.reserved.Load() != 0 {
		t.Error("an empty buffer keeps its reservation")
	}
}
