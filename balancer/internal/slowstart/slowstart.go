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

// lightWorkRatio is how many times its share of the mean expected work a request may be expected to take, to
// be sent to an endpoint that warms up.
const lightWorkRatio = 6.0

// Constants of the token buckets.
const (
	outsideSubsetRate = 0.1  // requests in a window from all replicas without the endpoint in their subsets
	unusedIntervals   = 2.0  // mean intervals between requests, beside a part of a window, that tokens last
	windowParts       = 4    // that part of a window; the queue looks for new tokens twice in it
	leastInterval     = 1e-9 // seconds between requests, at least
)

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

// fillBasis is what the rates of all token buckets are computed from at one time.
type fillBasis struct {
	round       int // counts the times that it was brought up to date
	at          time.Duration
	known       bool
	perEndpoint float64 // good answers a second to this replica that a warm endpoint is capable of
	replicas    float64 // that have an endpoint in their subsets
}

// Record is what is known of one endpoint.
type Record struct {
	startedAt time.Duration // 0: long ago
	bucket    tokenBucket
}

// NewRecord returns the record of an endpoint that was started at a clock time; 0: long ago.
func NewRecord(startedAt time.Duration) Record { return Record{startedAt: startedAt} }

// EndpointCounts is what the limiter needs to know of the endpoint list.
type EndpointCounts struct {
	Ready      int
	SubsetSize int     // endpoints that this replica sends to
	warm       float64 // endpoints of the subset that have all of their capacity
	warmingUp  float64 // sum of the capacity shares of the others
}

// Count adds an endpoint of the subset to the counts.
func (l *Limiter) Count(counts *EndpointCounts, r *Record, now time.Duration) {
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
// many times as long and is late, so that the most expensive answers are lost, while a light one is
// answered in time. Without hints (0) a random draw thins the requests to the share.
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

// ObserveResponse records a good answer of an endpoint; inSubset says that this replica has it in its subset.
func (l *Limiter) ObserveResponse(r *Record, now time.Duration, counts EndpointCounts, inSubset bool) {
	l.observeCapacity(now, counts, inSubset, l.IsWarm(r, now))
}

// observeCapacity records the time and, where answered says so, a good answer of a warm endpoint or of
// another. The answers of warm endpoints say most, as the others answer no more than they are sent. Where the
// subset has no warm one, the estimate of warm ones stays, and that of the others counts if it is higher.
func (l *Limiter) observeCapacity(now time.Duration, counts EndpointCounts, answered, warm bool) {
	over := l.capacityMemory()
	l.warm.observe(now, over, counts.warm, answered && warm)
	l.warmingUp.observe(now, over, counts.warmingUp, answered && !warm)
}

// capacityMemory returns how many seconds the estimate goes back: half of the time of a slow start is long
// enough for a replica of little traffic, and short enough to follow the load.
func (l *Limiter) capacityMemory() float64 {
	return (l.settings.Duration/2 + l.settings.OverloadWindow).Seconds()
}

// hasOverloadLimit says that the settings tell what overloads an endpoint in slow start.
func (l *Limiter) hasOverloadLimit() bool {
	return l.settings.OverloadMultiple > 0 && l.settings.OverloadWindow > 0
}

// ObserveSubsetChange records that this replica sends to other endpoints than before.
func (l *Limiter) ObserveSubsetChange() { l.basis.known = false }

// NeedsRateUpdate says that UpdateCounts is due before HasTokens.
func (l *Limiter) NeedsRateUpdate(now time.Duration) bool {
	return l.hasOverloadLimit() && !(l.basis.known && l.basis.at == now)
}

// UpdateRates brings the limits up to now. The replicas that have an endpoint in their subsets are taken to
// have subsets as large as this one's. A replica that has seen no warm endpoint assumes that those of its
// subset, once warm, answer all that it sends.
func (l *Limiter) UpdateRates(now time.Duration, counts EndpointCounts) {
	l.observeCapacity(now, counts, false, false)
	window := l.settings.OverloadWindow.Seconds()
	interval := max(l.arrivals.mean.Seconds(), leastInterval)
	sent := 1 / interval / float64(max(1, counts.SubsetSize)) * (1 - l.warm.seconds/l.capacityMemory())
	ready := float64(max(1, counts.Ready))
	l.basis = fillBasis{
		round: l.basis.round + 1, at: now, known: true,
		perEndpoint: max(l.warm.rate(window), l.warmingUp.rate(window), sent),
		replicas:    max(1, float64(l.settings.Replicas)*float64(counts.SubsetSize)/ready),
	}
}

// HasTokens says that an endpoint in slow start may be sent a request now, as far as all replicas together
// must not overload it. inSubset says that this replica has it in its subset.
func (l *Limiter) HasTokens(r *Record, now time.Duration, inSubset bool, rng *rand.Rand) bool {
	if !l.hasOverloadLimit() {
		return true
	}
	r.bucket.updateRate(l.basis.round, func() float64 { return l.fillRate(r, now, inSubset) })
	interval := l.arrivals.mean.Seconds()
	lasts := l.settings.OverloadWindow.Seconds()/windowParts + unusedIntervals*interval
	return r.bucket.hasTokens(now, lasts, rng)
}

// TakeTokens takes a request from the token bucket of an endpoint in slow start. work is in nanoseconds, as
// its client expects it; 0: unknown.
func (l *Limiter) TakeTokens(r *Record, now time.Duration, work float64) {
	switch {
	case !l.hasOverloadLimit() || l.IsWarm(r, now):
	case work > 0:
		r.bucket.spend(work / l.work.mean)
	default:
		r.bucket.spend(1)
	}
}

// fillRate returns this replica's part of what all may send the endpoint, in requests of mean work a second.
func (l *Limiter) fillRate(r *Record, now time.Duration, inSubset bool) float64 {
	window := l.settings.OverloadWindow.Seconds()
	replicas, most := float64(max(1, l.settings.Replicas)), outsideSubsetRate
	if inSubset {
		replicas = l.basis.replicas
		share := l.CapacityShare(r, now)
		allowed := l.settings.OverloadMultiple * share * l.basis.perEndpoint * replicas * window
		most = max(most, safeMean(overloadLimit(allowed)))
	}
	return most / replicas / window
}
