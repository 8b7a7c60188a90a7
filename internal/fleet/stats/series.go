package stats

import (
	"sync"
	"time"
)

// BucketWidth is the time that one bucket of a Series covers. It is short enough to show peaks, and long enough that
// most buckets contain calls.
const BucketWidth = 100 * time.Millisecond

// Series counts traffic in time buckets of BucketWidth, so that a peak can be compared with the mean. It is safe for
// concurrent use.
type Series struct {
	mu              sync.Mutex
	startedAt       time.Time
	buckets         []Traffic
	openConnections int64
}

// NewSeries returns a series whose first bucket starts now.
func NewSeries() *Series { return &Series{startedAt: time.Now()} }

// Add counts traffic in the current bucket.
func (s *Series) Add(t Traffic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := int(time.Since(s.startedAt) / BucketWidth)
	for len(s.buckets) <= index {
		s.buckets = append(s.buckets, Traffic{})
	}
	s.buckets[index].add(t)
}

// AddOpenConnections adds n to the number of open connections: 1 when one opens, -1 when one closes.
func (s *Series) AddOpenConnections(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConnections += n
}

// Snapshot is a copy of the counts of a Series.
type Snapshot struct {
	StartNS         int64     `json:"start_ns"` // Unix time of the first bucket
	OpenConnections int64     `json:"open"`     // connections open when the copy was made
	Buckets         []Traffic `json:"buckets"`
}

// Snapshot returns a copy of the current counts.
func (s *Series) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{s.startedAt.UnixNano(), s.openConnections, append([]Traffic(nil), s.buckets...)}
}

// Between sums the buckets that lie completely between two times. It also returns the most calls in one of these
// buckets, and how many seconds they cover together.
func (s Snapshot) Between(from, to time.Time) (sum Traffic, peak int64, seconds float64) {
	width := int64(BucketWidth)
	first := (from.UnixNano() - s.StartNS + width - 1) / width
	last := (to.UnixNano() - s.StartNS) / width
	for i := max(first, 0); i < last; i++ {
		seconds += BucketWidth.Seconds()
		if i < int64(len(s.Buckets)) {
			sum.add(s.Buckets[i])
			peak = max(peak, s.Buckets[i].Calls)
		}
	}
	return sum, peak, seconds
}
