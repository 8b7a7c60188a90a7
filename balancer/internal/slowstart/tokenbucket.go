package slowstart

import (
	"math/rand/v2"
	"time"
)

// Constants of the token buckets.
const (
	outsideSubsetRate = 0.1  // requests in a window from all replicas without the endpoint in their subsets
	unusedIntervals   = 2.0  // mean intervals between requests, beside a part of a window, that tokens last
	windowParts       = 4    // that part of a window; the queue looks for new tokens twice in it
	leastInterval     = 1e-9 // seconds between requests, at least
)

// tokenBucket is what a replica may still send to an endpoint in slow start, in requests of mean work. It
// begins with a random debt, or all replicas would send their first request at once. Tokens that are not used
// soon are lost, or they would be used by all at once when traffic rises.
type tokenBucket struct {
	tokens float64
	at     time.Duration // when it was last filled; 0: never
	rate   float64       // in tokens a second, by the fill basis of this round
	round  int
}

// fill adds the tokens since the last time, up to capacity.
func (t *tokenBucket) fill(now time.Duration, capacity float64) {
	t.tokens = min(capacity, t.tokens+t.rate*(now-t.at).Seconds())
	t.at = now
}

// fillBasis is what the rates of all token buckets are computed from at one time.
type fillBasis struct {
	round       int // counts the times that it was brought up to date
	at          time.Duration
	known       bool
	perEndpoint float64 // good answers a second to this replica that a warm endpoint is capable of
	replicas    float64 // that have an endpoint in their subsets
}

// hasOverloadLimit says that the settings tell what overloads an endpoint in slow start.
func (l *Limiter) hasOverloadLimit() bool {
	return l.settings.OverloadMultiple > 0 && l.settings.OverloadWindow > 0
}

// ObserveSubsetChange records that this replica sends to other endpoints than before.
func (l *Limiter) ObserveSubsetChange() { l.basis.known = false }

// NeedsCounts says that UpdateCounts is due before HasTokens.
func (l *Limiter) NeedsCounts(now time.Duration) bool {
	return l.hasOverloadLimit() && !(l.basis.known && l.basis.at == now)
}

// UpdateCounts brings the limits up to now. The replicas that have an endpoint in their subsets are taken to
// have subsets as large as this one's. A replica that has seen no warm endpoint assumes that those of its
// subset, once warm, answer all that it sends.
func (l *Limiter) UpdateCounts(now time.Duration, counts Counts) {
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
	bucket := &r.bucket
	if bucket.round != l.basis.round { // the endpoint is asked for many times for one request
		bucket.rate, bucket.round = l.fillRate(r, now, inSubset), l.basis.round
	}
	if bucket.at == 0 {
		bucket.tokens, bucket.at = -rng.Float64(), now
	}
	interval := l.arrivals.mean.Seconds()
	lasts := l.settings.OverloadWindow.Seconds()/windowParts + unusedIntervals*interval
	bucket.fill(now, bucket.rate*lasts)
	return bucket.tokens >= 0
}

// Spend takes a request from the token bucket of an endpoint in slow start. work is in nanoseconds, as its
// client expects it; 0: unknown.
func (l *Limiter) Spend(r *Record, now time.Duration, work float64) {
	switch {
	case !l.hasOverloadLimit() || l.IsWarm(r, now):
	case work > 0:
		r.bucket.tokens -= work / l.work.mean
	default:
		r.bucket.tokens--
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
