// Token buckets for endpoints in slow start: a limit on what all replicas together send one, without any
// communication. Each replica fills its bucket at its own part of the rate that all may have together.

package balancer

import (
	"math"
	"time"
)

// Constants of the token buckets.
const (
	outsideSubsetRate = 0.1 // requests in a window from all replicas without the endpoint in their subsets
	unusedIntervals   = 2.0 // mean intervals between requests, beside a part of a window, that tokens last
	windowParts       = 4   // that part of a window; the queue looks for new tokens twice in it
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
func (b *Balancer) hasOverloadLimit() bool {
	return b.settings.OverloadMultiple > 0 && b.settings.OverloadWindow > 0
}

// hasTokens says that an endpoint in slow start may be sent a request now.
func (b *Balancer) hasTokens(ep *endpoint) bool {
	if !b.hasOverloadLimit() {
		return true
	}
	bucket := &ep.tokens
	b.updateFillRate(ep)
	if bucket.at == 0 {
		bucket.tokens, bucket.at = -b.rng.Float64(), b.now
	}
	interval := b.slowStart.arrivals.mean.Seconds()
	lasts := b.settings.OverloadWindow.Seconds()/windowParts + unusedIntervals*interval
	bucket.fill(b.now, bucket.rate*lasts)
	return bucket.tokens >= 0
}

// spendTokens takes a request from the token bucket of an endpoint in slow start.
func (b *Balancer) spendTokens(ep *endpoint, req *request) {
	switch {
	case !b.hasOverloadLimit() || b.isWarm(ep):
	case req.work > 0:
		ep.tokens.tokens -= req.work / b.slowStart.work.mean
	default:
		ep.tokens.tokens--
	}
}

// nextFillCheck returns when the queue is to be looked at again, since tokens grow with time alone.
func (b *Balancer) nextFillCheck() time.Duration {
	if ep := b.ready.youngest(); ep != nil && b.hasOverloadLimit() && !b.isWarm(ep) {
		return b.now + b.settings.OverloadWindow/(2*windowParts)
	}
	return math.MaxInt64
}

// updateFillBasis brings the fill basis up to now. The replicas that have an endpoint in their subsets are
// taken to have subsets as large as this one's. A replica that has seen no warm endpoint assumes that those
// of its subset, once warm, answer all that it sends.
func (b *Balancer) updateFillBasis() {
	basis := &b.slowStart.basis
	if basis.known && basis.at == b.now {
		return
	}
	b.observeCapacity(nil)
	window, interval := b.settings.OverloadWindow.Seconds(), max(b.slowStart.arrivals.mean.Seconds(), 1e-9)
	warm, warmingUp := &b.slowStart.warm, &b.slowStart.warmingUp
	sent := 1 / interval / float64(max(1, b.subset.size)) * (1 - warm.seconds/b.capacityMemory())
	ready := float64(max(1, b.ready.len()))
	*basis = fillBasis{
		round: basis.round + 1, at: b.now, known: true,
		perEndpoint: max(warm.rate(window), warmingUp.rate(window), sent),
		replicas:    max(1, float64(b.settings.Replicas)*float64(b.subset.size)/ready),
	}
}

// updateFillRate brings the rate of an endpoint's token bucket up to now. It is asked for many times for one
// request.
func (b *Balancer) updateFillRate(ep *endpoint) {
	b.updateFillBasis()
	if ep.tokens.round != b.slowStart.basis.round {
		ep.tokens.rate, ep.tokens.round = b.fillRate(ep), b.slowStart.basis.round
	}
}

// fillRate returns this replica's part of what all may send the endpoint, in requests of mean work a second.
func (b *Balancer) fillRate(ep *endpoint) float64 {
	window := b.settings.OverloadWindow.Seconds()
	replicas, most := float64(max(1, b.settings.Replicas)), outsideSubsetRate
	if ep.inSubset {
		basis := b.slowStart.basis
		replicas = basis.replicas
		allowed := b.settings.OverloadMultiple * b.capacityShare(ep) * basis.perEndpoint * replicas * window
		most = max(most, safeMean(overloadLimit(allowed)))
	}
	return most / replicas / window
}
