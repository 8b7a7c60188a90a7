package stats

import (
	"math"
	"testing"
	"time"
)

// Only complete buckets are summed. Buckets after the last recorded one have no traffic.
func TestSeriesBetween(t *testing.T) {
	start := time.Unix(100, 0)
	snapshot := Snapshot{
		StartNS: start.UnixNano(),
		Buckets: []Traffic{{Calls: 1}, {Calls: 5, ReceivedBytes: 7}, {Calls: 2, SentBytes: 9}},
	}
	at := func(buckets float64) time.Time { return start.Add(time.Duration(buckets * float64(BucketWidth))) }
	for _, test := range []struct {
		name        string
		from, to    float64 // in buckets
		calls, peak int64
		buckets     float64
	}{
		{"all buckets", 0, 3, 8, 5, 3},
		{"a part of the first", 0.5, 3, 7, 5, 2},
		{"a part of the last", 1, 2.9, 5, 5, 1},
		{"past the last", 2, 10, 2, 2, 8},
		{"before the first", -1, 1, 1, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			sum, peak, seconds := snapshot.Between(at(test.from), at(test.to))
			if sum.Calls != test.calls || peak != test.peak {
				t.Errorf("sum %+v, peak %d; want %d calls, peak %d", sum, peak, test.calls, test.peak)
			}
			if want := test.buckets * BucketWidth.Seconds(); math.Abs(seconds-want) > 1e-9 {
				t.Errorf("the buckets cover %v s, want %v", seconds, want)
			}
		})
	}
}
