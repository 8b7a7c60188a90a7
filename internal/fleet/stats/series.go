package stats

import (
	"sync"
	"time"
)

// BucketWidth is the time that one bucket of a Series counts. It is short enough for peaks to show, and long enough
// for calls to fall into most buckets.
const BucketWidth = 100 * time.Millisecond

// Series counts traffic in buckets of BucketWidth, so that a peak can be compared with the mean.
type Series struct {
	mu      sync.Mutex
	start   time.Time
	buckets []Traffic
	open    int64
}

// NewSeries returns a series whose first bucket begins now.
func NewSeries() *Series { return &Series{start: time.Now()} }

// Add counts traffic in the present bucket.
func (s *Series) Add(t Traffic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := int(time.Since(s.start) / BucketWidth)
	for len(s.buckets) <= at {
		s.buckets = append(s.buckets, Traffic{})
	}
	s.buckets[at].add(t)
}

// CountOpen counts connections that open (1) or close (-1).
func (s *Series) CountOpen(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += n
}

// Counted is a copy of a series.
type Counted struct {
	StartNS int64     `json:"start_ns"` // Unix time of the first bucket
	Open    int64     `json:"open"`     // connections open when the copy was made
	Buckets []Traffic `json:"buckets"`
}

// Counted copies the series as it is.
func (s *Series) Counted() Counted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counted{s.start.UnixNano(), s.open, append([]Traffic(nil), s.buckets...)}
}

// Between sums the complete buckets from one time to another. It also returns the most calls in one of them, and how
// many seconds they span.
func (c Counted) Between(from, to time.Time) (sum Traffic, peak int64, seconds float64) {
	width := int64(BucketWidth)
	first := (from.UnixNano() - c.StartNS + width - 1) / width
	last := (to.UnixNano() - c.StartNS) / width
	for i := max(first, 0); i < last; i++ {
		seconds += BucketWidth.Seconds()
		if i < int64(len(c.Buckets)) {
			sum.add(c.Buckets[i])
			peak = max(peak, c.Buckets[i].Calls)
		}
	}
	return sum, peak, seconds
}
