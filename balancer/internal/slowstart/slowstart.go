// Package slowstart limits the requests sent to endpoints that have just started (as in Envoy and NGINX).
//
// Such an endpoint has only part of its capacity and is sent only that share of requests. If an endpoint that
// is warming up must not be overloaded even briefly, token buckets limit what all replicas together send it.
// No replica sees what the others send, so each fills its bucket at its own part of the total rate. That rate
// is derived from an estimate of the endpoints' capacity and from a bound on the arrivals in a window.
package slowstart

import (
	"math"
	"math/rand/v2"
	"time"
)

// lightWorkRatio bounds the expected work of a request that is sent to an endpoint that is warming up, as a
// multiple of the mean expected work times the endpoint's capacity share.
const lightWorkRatio = 6.0

// Constants of the token buckets.
const (
	outsideSubsetRate = 0.1  // requests per window from all replicas whose subsets lack the endpoint
	minInterval       = 1e-9 // minimum time between requests, in seconds
	// Unused tokens are kept for one part of a window plus tokenLifetimeIntervals mean intervals between
	// requests. The queue checks for new tokens twice in each part.
	windowParts            = 4
	tokenLifetimeIntervals = 2.0
)

// Settings configures a Limiter.
type Settings struct {
	Floor    float64       // minimum share of its capacity that an endpoint has when it starts
	Duration time.Duration // time from an endpoint's start to its full capacity
	Replicas int           // number of replicas that send to the same endpoints

	// An endpoint fails permanently when all replicas together send it more than OverloadMultiple times its
	// current capacity for the length of OverloadWindow. 0: there is no such limit.
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// Limiter holds the state shared by all endpoints.
type Limiter struct {
	settings   Settings
	warm       capacityEstimate // of endpoints at full capacity
	warmingUp  capacityEstimate // of endpoints that are warming up
	rateInputs fillRateInputs
	arrivals   arrivalInterval
	work       workEstimate
}

// fillRateInputs holds the values from which the fill rates of all token buckets are computed at one time.
type fillRateInputs struct {
	generation          int // incremented with each update
	computedAt          time.Duration
	valid               bool
	endpointRate        float64 // responses per second to this replica that a warm endpoint can give
	replicasPerEndpoint float64 // replicas that have an endpoint in their subsets, on average
}

// Record holds the slow-start state of one endpoint.
type Record struct {
	startedAt time.Duration // clock time; 0: long ago
	bucket    tokenBucket
}

// NewRecord returns the record of an endpoint that started at this clock time; 0: long ago.
func NewRecord(startedAt time.Duration) Record { return Record{startedAt: startedAt} }

// EndpointCounts describes the endpoint list to the limiter.
type EndpointCounts struct {
	Ready      int
	SubsetSize int     // endpoints in this replica's subset
	warm       float64 // endpoints of the subset at full capacity
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

// Configure applies settings.
func (l *Limiter) Configure(settings Settings) {
	l.settings = settings
	l.ObserveSubsetChange()
}

// ObserveRequest records the arrival of a request and the work that its client expects of it, in nanoseconds;
// 0: unknown.
func (l *Limiter) ObserveRequest(now time.Duration, work float64) {
	if work > 0 {
		l.work.observe(work)
	}
	l.arrivals.observe(now, l.settings.Duration)
}

// CapacityShare returns the minimum share of its full capacity that an endpoint has now.
func (l *Limiter) CapacityShare(r *Record, now time.Duration) float64 {
	age := now - r.startedAt
	if r.startedAt <= 0 || age >= l.settings.Duration {
		return 1
	}
	grown := max(0, float64(age)/float64(l.settings.Duration))
	return l.settings.Floor + (1-l.settings.Floor)*grown
}

// IsWarm reports whether an endpoint has its full capacity.
func (l *Limiter) IsWarm(r *Record, now time.Duration) bool { return l.CapacityShare(r, now) == 1 }

// AdmitsWork reports whether a request may be sent to an endpoint with this capacity share. If the expected
// work is known, the endpoint gets its share in lighter requests: a heavy request takes many times as long
// there and is late, so that the most expensive responses would be lost, while a light one is answered in
// time. If it is unknown (0), a random draw admits this share of the requests.
func (l *Limiter) AdmitsWork(share, work float64, rng *rand.Rand) bool {
	if work > 0 {
		return work <= lightWorkRatio*share*l.work.mean
	}
	return rng.Float64() < share
}

// NextCheck returns when the queue must be checked again, as only time adds tokens. youngest is the endpoint
// that started last, or nil if there is none.
func (l *Limiter) NextCheck(youngest *Record, now time.Duration) time.Duration {
	if youngest != nil && l.hasOverloadLimit() && !l.IsWarm(youngest, now) {
		return now + l.settings.OverloadWindow/(2*windowParts)
	}
	return math.MaxInt64
}

// ObserveResponse records a successful response. inSubset is set if the endpoint is in this replica's subset.
func (l *Limiter) ObserveResponse(r *Record, now time.Duration, counts EndpointCounts, inSubset bool) {
	l.observeCapacity(now, counts, inSubset, l.IsWarm(r, now))
}

// observeCapacity updates the capacity estimates. If responded is set, a successful response has come from a
// warm endpoint or from one that is warming up. The responses of warm endpoints tell most, as the others
// respond only to the few requests that they are sent. While the subset has no warm endpoint, the estimate
// for warm ones is kept, and the other estimate is used if it is higher.
func (l *Limiter) observeCapacity(now time.Duration, counts EndpointCounts, responded, warm bool) {
	memory := l.capacityMemory()
	l.warm.observe(now, memory, counts.warm, responded && warm)
	l.warmingUp.observe(now, memory, counts.warmingUp, responded && !warm)
}

// capacityMemory returns the decay time of the estimates in seconds. Half of the slow-start duration is long
// enough for a replica with little traffic, and short enough to follow the load.
func (l *Limiter) capacityMemory() float64 {
	return (l.settings.Duration/2 + l.settings.OverloadWindow).Seconds()
}

// hasOverloadLimit reports whether the settings limit the load of an endpoint in slow start.
func (l *Limiter) hasOverloadLimit() bool {
	return l.settings.OverloadMultiple > 0 && l.settings.OverloadWindow > 0
}

// ObserveSubsetChange records that this replica's subset has changed.
func (l *Limiter) ObserveSubsetChange() { l.rateInputs.valid = false }

// NeedsRateUpdate reports whether UpdateRates must be called before HasTokens.
func (l *Limiter) NeedsRateUpdate(now time.Duration) bool {
	return l.hasOverloadLimit() && !(l.rateInputs.valid && l.rateInputs.computedAt == now)
}

// UpdateRates updates the inputs of the fill rates. The other replicas that have an endpoint in their subsets
// are assumed to have subsets of the same size as this one's. A replica that has seen no warm endpoint
// assumes that the endpoints of its subset, once warm, respond to all requests that it sends.
func (l *Limiter) UpdateRates(now time.Duration, counts EndpointCounts) {
	l.observeCapacity(now, counts, false, false)
	window := l.settings.OverloadWindow.Seconds()
	interval := max(l.arrivals.mean.Seconds(), minInterval)
	sent := 1 / interval / float64(max(1, counts.SubsetSize)) *
		(1 - l.warm.observedSeconds/l.capacityMemory())
	ready := float64(max(1, counts.Ready))
	l.rateInputs = fillRateInputs{
		generation: l.rateInputs.generation + 1, computedAt: now, valid: true,
		endpointRate:        max(l.warm.rate(window), l.warmingUp.rate(window), sent),
		replicasPerEndpoint: max(1, float64(l.settings.Replicas)*float64(counts.SubsetSize)/ready),
	}
}

// HasTokens reports whether the limit on the load from all replicas together allows this replica to send a
// request now to an endpoint in slow start. inSubset is set if the endpoint is in this replica's subset.
func (l *Limiter) HasTokens(r *Record, now time.Duration, inSubset bool, rng *rand.Rand) bool {
	if !l.hasOverloadLimit() {
		return true
	}
	r.bucket.updateRate(l.rateInputs.generation, func() float64 { return l.fillRate(r, now, inSubset) })
	interval := l.arrivals.mean.Seconds()
	lifetime := l.settings.OverloadWindow.Seconds()/windowParts + tokenLifetimeIntervals*interval
	return r.bucket.hasTokens(now, lifetime, rng)
}

// TakeTokens takes the tokens of a request from the bucket of an endpoint in slow start. work is the work
// that its client expects, in nanoseconds; 0: unknown.
func (l *Limiter) TakeTokens(r *Record, now time.Duration, work float64) {
	switch {
	case !l.hasOverloadLimit() || l.IsWarm(r, now):
	case work > 0:
		r.bucket.take(work / l.work.mean)
	default:
		r.bucket.take(1)
	}
}

// fillRate returns this replica's part of the total rate allowed for the endpoint, in requests of mean work
// per second.
func (l *Limiter) fillRate(r *Record, now time.Duration, inSubset bool) float64 {
	window := l.settings.OverloadWindow.Seconds()
	replicas, requests := float64(max(1, l.settings.Replicas)), outsideSubsetRate
	if inSubset {
		replicas = l.rateInputs.replicasPerEndpoint
		share := l.CapacityShare(r, now)
		allowed := l.settings.OverloadMultiple * share * l.rateInputs.endpointRate * replicas * window
		requests = max(requests, safeMean(overloadLimit(allowed)))
	}
	return requests / replicas / window
}
