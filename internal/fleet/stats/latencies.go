package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles holds the quantiles of a set of times, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// longestLatency is the longest time that a histogram records; longer ones are recorded as this one.
const longestLatency = 2 * time.Minute

// Latencies is an HdrHistogram of times in microseconds, with three significant digits. It is safe for concurrent use.
type Latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{hist: hdrhistogram.New(1, longestLatency.Microseconds(), 3)}
}

// Add records a time.
func (l *Latencies) Add(d time.Duration) {
	microseconds := min(max(d.Microseconds(), 0), longestLatency.Microseconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(microseconds) // fails only outside the histogram's range
}

// Quantiles returns the quantiles of the times recorded so far.
func (l *Latencies) Quantiles() Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(percent float64) float64 { return float64(l.hist.ValueAtQuantile(percent)) / 1000 }
	return Quantiles{
		Count: l.hist.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: float64(l.hist.Max()) / 1000,
	}
}

// Milliseconds converts a duration to milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
