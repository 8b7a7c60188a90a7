package stats

import (
	"math"
	"testing"
	"time"
)

func TestSeriesBetween(t *testing.T) {
	start := time.Unix(100, 0)
	c := Counted{StartNS: start.UnixNano(), Buckets: []Traffic{{Calls: 1}, {Calls: 5, In: 7}, {Calls: 2, Out: 9}}}
	at := func(n float64) time.Time { return start.Add(time.Duration(n * float64(BucketWidth))) }
	for _, test := range []struct {
		from, to    float64
		calls, peak int64
		buckets     float64
	}{{0, 3, 8, 5, 3}, {0.5, 3, 7, 5, 2}, {1, 2.9, 5, 5, 1}, {2, 10, 2, 2, 8}, {-1, 1, 1, 1, 1}} {
		sum, peak, seconds := c.Between(at(test.from), at(test.to))
		if sum.Calls != test.calls || peak != test.peak || math.Abs(seconds-test.buckets*BucketWidth.Seconds()) > 1e-9 {
			t.Errorf("from %v to %v: %+v, peak %d, %v s", test.from, test.to, sum, peak, seconds)
		}
	}
}
