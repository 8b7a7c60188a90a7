package downstream

import (
	"slices"
	"testing"
)

// fill adds bytes to a buffer as the departure watch does, and reports whether all of them fit.
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

// A buffer doubles when it is full, within its own limit and that of the budget, and reserves the memory that it has
// allocated.
func TestReadAheadBufferGrowsWithinItsLimits(t *testing.T) {
	for _, row := range []struct {
		name           string
		limit          int64 // of the budget, in bytes
		bytes          int   // number of bytes that are added
		fits           bool
		size, reserved int
	}{
		{"one byte", 1 << 20, 1, true, 1, minReadAheadBytes},
		{"the initial size", 1 << 20, minReadAheadBytes, true, minReadAheadBytes, minReadAheadBytes},
		{
			"one byte more than the initial size", 1 << 20, minReadAheadBytes + 1,
			true, minReadAheadBytes + 1, 2 * minReadAheadBytes,
		},
		{"the longest request", 1 << 20, maxReadAheadBytes, true, maxReadAheadBytes, maxReadAheadBytes},
		{"more than the longest request", 1 << 20, maxReadAheadBytes + 1, false, maxReadAheadBytes, maxReadAheadBytes},
		{"no budget for the initial size", minReadAheadBytes - 1, 1, false, 0, 0},
		{
			"no budget to grow", 2*minReadAheadBytes - 1, minReadAheadBytes + 1,
			false, minReadAheadBytes, minReadAheadBytes,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			budget := &readAheadBudget{}
			budget.limit.Store(row.limit)
			b := readAheadBuffer{budget: budget}
			if fits := fill(&b, make([]byte, row.bytes)); fits != row.fits {
				t.Errorf("fits: %v, want %v", fits, row.fits)
			}
			if reserved := int(budget.reserved.Load()); b.size() != row.size || reserved != row.reserved {
				t.Errorf("%d bytes buffered, %d reserved; want %d, %d", b.size(), reserved, row.size, row.reserved)
			}
			if b.release(); b.size() != 0 || budget.reserved.Load() != 0 {
				t.Errorf("after the release: %d bytes buffered, %d reserved; want 0, 0",
					b.size(), budget.reserved.Load())
			}
		})
	}
}

// Bytes are taken in the order of their arrival. The reservation is released with the last one.
func TestReadAheadBufferIsTakenInOrder(t *testing.T) {
	budget := &readAheadBudget{}
	budget.limit.Store(minReadAheadBytes)
	b := readAheadBuffer{budget: budget}
	fill(&b, []byte("abc"))
	var taken []byte
	for p := make([]byte, 2); b.size() > 0; {
		if budget.reserved.Load() != minReadAheadBytes {
			t.Errorf("%d bytes are reserved while %d are buffered, want %d",
				budget.reserved.Load(), b.size(), minReadAheadBytes)
		}
		taken = append(taken, p[:b.take(p)]...)
	}
	if !slices.Equal(taken, []byte("abc")) || budget.reserved.Load() != 0 {
		t.Errorf("took %q, %d bytes still reserved; want %q, none", taken, budget.reserved.Load(), "abc")
	}
	if b.unused() == nil {
		t.Fatal("an empty buffer has no unused part")
	}
	if b.extend(0); budget.reserved.Load() != 0 {
		t.Errorf("%d bytes are reserved for an empty buffer, want 0", budget.reserved.Load())
	}
}

// Bytes that are withheld are counted until the bytes before them have been taken, and are never returned.
func TestWithheldBytesAreNotTaken(t *testing.T) {
	budget := &readAheadBudget{}
	budget.limit.Store(1 << 20)
	b := readAheadBuffer{budget: budget}
	b.extend(copy(b.unused(), "accepted"))
	b.extend(copy(b.unused(), "withheld"))
	b.withhold(len("withheld"))
	taken := make([]byte, 100)
	n := b.take(taken)
	if got := string(taken[:n]); got != "accepted" || b.take(taken) != 0 {
		t.Errorf("took %q, want the accepted bytes and nothing else", got)
	}
	if b.size() != 0 || budget.reserved.Load() != 0 {
		t.Errorf("got %d bytes with %d reserved, want the memory given back", b.size(), budget.reserved.Load())
	}
}
