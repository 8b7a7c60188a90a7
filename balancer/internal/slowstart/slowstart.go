// Package slowstart limits what is sent to endpoints that have just started (as in Envoy and NGINX).
//
// Such an endpoint has only a part of its capacity, and is sent only as much. Where an endpoint that warms up
// must not be overloaded even for a short time, token buckets limit what all replicas together send it, as
// none sees what the others send: each replica fills its bucket at its own part of the rate that all may have
// together. The rate is derived from an estimate of the endpoints' capacity and from a bound on the arrivals
// in a window.
package slowstart

import (
	"math"
	"math/rand/v2"
	"time"
)

// averageWeight is the least weight of a new sample in averages (about 16 samples).
const averageWeight = 0.06

// lightWorkRatio is how many times its share of the mean expected work a request may be expected to take, to
// be sent to an endpoint that warms up.
const lightWorkRatio = 6.0

// Settings of slow start.
type Settings struct {
	Floor    float64       // share of its capacity that an endpoint has at its start, at least
	Duration time.Duration // time after its start when it has all of it
	Replicas int           // that send to the same endpoints

	// An endpoint fails for good when all replicas together send it more than OverloadMultiple times its
	// present capacity for as long as OverloadWindow. 0: there is no such limit.
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// Limiter is what is known of all endpoints together.
type Limiter struct {
	settings  Settings
	warm      capacityEstimate // of endpoints that have all of their capacity
	warmingUp capacityEstimate // of the others
	basis     fillBasis
	arrivals  arrivalInterval
	work      workEstimate
}

// Record is what is known of one endpoint.
type Record struct {
	startedAt time.Duration // 0: long ago
	bucket    tokenBucket
}

// NewRecord returns the record of an endpoint that was started at a clock time; 0: long ago.
func NewRecord(startedAt time.Duration) Record { return Record{startedAt: startedAt} }

// Counts is what the limiter needs to know of the endpoint list.
type Counts struct {
	Ready      int
	SubsetSize int     // endpoints that this replica sends to
	warm       float64 // endpoints of the subset that have all of their capacity
	warmingUp  float64 // sum of the capacity shares of the others
}

// Count adds an endpoint of the subset to the counts.
func (l *Limiter) Count(counts *Counts, r *Record, now time.Duration) {
	if share := l.CapacityShare(r, now); share == 1 {
		counts.warm++
	} else {
		counts.warmingUp += share
	}
}

// Configure puts settings in force.
func (l *Limiter) Configure(settings Settings) {
	l.settings = settings
	l.ObserveSubsetChange()
}

// ObserveRequest records that a request has arrived, and the work in nanoseconds that its client expects of
// it; 0: unknown.
func (l *Limiter) ObserveRequest(now time.Duration, work float64) {
	if work > 0 {
		l.work.observe(work)
	}
	l.arrivals.observe(now, l.settings.Duration)
}

// CapacityShare returns the share of its capacity that an endpoint has at least.
func (l *Limiter) CapacityShare(r *Record, now time.Duration) float64 {
	age := now - r.startedAt
	if r.startedAt <= 0 || age >= l.settings.Duration {
		return 1
	}
	grown := max(0, float64(age)/float64(l.settings.Duration))
	return l.settings.Floor + (1-l.settings.Floor)*grown
}

// IsWarm says that an endpoint has all of its capacity.
func (l *Limiter) IsWarm(r *Record, now time.Duration) bool { return l.CapacityShare(r, now) == 1 }

// AdmitsWork says whether a request may be sent to an endpoint that has a share of its capacity. Where the
// work is hinted, the endpoint's share is made of the lighter requests: a heavy one takes such an endpoint
// many times as long and is late, so that the most expensive answers are lost, while a light one has time to
// spare. Without hints (0) a random draw thins the requests to the share.
func (l *Limiter) AdmitsWork(share, work float64, rng *rand.Rand) bool {
	if work > 0 {
		return work <= lightWorkRatio*share*l.work.mean
	}
	return rng.Float64() < share
}

// NextCheck returns when the queue is to be looked at again, since tokens grow with time alone. youngest is
// the endpoint that was started last; nil: there is none.
func (l *Limiter) NextCheck(youngest *Record, now time.Duration) time.Duration {
	if youngest != nil && l.hasOverloadLimit() && !l.IsWarm(youngest, now) {
		return now + l.settings.OverloadWindow/(2*windowParts)
	}
	return math.MaxInt64
}

// arrivalInterval is the time between requests: an exponentially weighted average.
type arrivalInterval struct{ mean, last time.Duration }

// observe records that a request arrived. An interval counts as longest at most.
func (a *arrivalInterval) observe(now, longest time.Duration) {
	interval := min(now-a.last, longest)
	a.mean += time.Duration(averageWeight * float64(interval-a.mean))
	a.last = now
}

// workEstimate is the mean of the work that clients expect of their requests, in ns.
type workEstimate struct {
	mean  float64
	hints float64 // how many requests had one
}

func (w *workEstimate) observe(work float64) {
	w.hints++
	w.mean += max(averageWeight, 1/w.hints) * (work - w.mean)
}
