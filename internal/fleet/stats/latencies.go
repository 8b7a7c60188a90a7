package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are the quantiles of some times, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// longestLatency is the longest time that a histogram tells apart; longer ones count as this long.
const longestLatency = 2 * time.Minute

// Latencies is an HdrHistogram of times in microseconds, to three digits. Many goroutines may add to it.
type Latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{hist: hdrhistogram.New(1, longestLatency.Microseconds(), 3)}
}

// Add adds a time.
func (l *Latencies) Add(d time.Duration) {
	us := min(max(d.Microseconds(), 0), longestLatency.Microseconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(us) // it fails only out of the histogram's range
}

// Quantiles returns the quantiles of the times added so far.
func (l *Latencies) Quantiles() Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(q float64) float64 { return float64(l.hist.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: l.hist.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: float64(l.hist.Max()) / 1000,
	}
}

// Milliseconds returns a time in milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
