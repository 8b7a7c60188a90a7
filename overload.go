// The limit on what all copies together send a server that warms up.

package balancer

import (
	"math"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	// exponent of the chance that what comes to a cold server in a window pushes it over
	overloadRarity = 9.0
	// requests in a window from which a cold server bears fewer beyond what it is allowed
	smallWindowCount = 30
	// calls in a window that copies together send a cold server that is not in their pools
	outsideSubsetRate = 0.1
	// mean times between own calls, beyond a part of a window, after which credit is lost
	unusedIntervals = 2.0
	// that part of a window, and the times in it that held calls look for credit, halved
	windowParts = 4
)

// credit is what a copy may still send to a cold server, in requests of mean work. It grows at this copy's
// part of the rate that all copies together may have, from a random debt, or all would send their first
// request at once; what is not used soon is lost, or it would come at once from all when traffic rises.
type tokenBucket struct {
	tokens float64
	at     time.Duration // when it was brought up to date; 0: never
	rate   float64       // at which it grows, by the growth of that number
	round  int
}

// hasOverloadLimit says that the settings tell what pushes a cold server over.
func (b *Balancer) hasOverloadLimit() bool {
	return b.settings.OverloadMultiple > 0 && b.settings.OverloadWindow > 0
}

// hasTokens says that a cold server may be sent a request now.
func (b *Balancer) hasTokens(ep *endpoint) bool {
	if !b.hasOverloadLimit() {
		return true
	}
	rate := b.fillRate(ep)
	if ep.tokens.at == 0 {
		ep.tokens.tokens, ep.tokens.at = -b.rng.Float64(), b.now
	}
	unused := b.settings.OverloadWindow.Seconds()/windowParts + unusedIntervals*b.arrivalInterval.Seconds()
	most := rate * unused
	ep.tokens.tokens = min(most, ep.tokens.tokens+rate*(b.now-ep.tokens.at).Seconds())
	ep.tokens.at = b.now
	return ep.tokens.tokens >= 0
}

// fillBasis is what the growth of credit goes by, the same for all cold servers at one time.
type fillBasis struct {
	round       int // counts the times that it was brought up to date
	at          time.Duration
	known       bool
	perEndpoint float64 // own good answers a second that a warm server bears
	replicas    float64 // that have a server in their pools
}

// updateFillBasis brings it up to now. The copies that have a server in their pools are taken to have them
// as wide as this one's. A copy that has seen no warm server takes it that those of its pool, once warm,
// answer what is asked of them.
func (b *Balancer) updateFillBasis() {
	if b.fillBasis.known && b.fillBasis.at == b.now {
		return
	}
	b.observeCapacity(nil)
	window, every := b.settings.OverloadWindow.Seconds(), max(b.arrivalInterval.Seconds(), 1e-9)
	asked := 1 / every / float64(max(1, b.subset.size)) * (1 - b.warmCapacity.seconds/b.capacityMemory())
	ready := float64(max(1, b.ready.len()))
	b.fillBasis = fillBasis{
		round: b.fillBasis.round + 1, at: b.now, known: true,
		perEndpoint: max(b.warmCapacity.rate(window), b.coldCapacity.rate(window), asked),
		replicas:    max(1, float64(b.settings.Replicas)*float64(b.subset.size)/ready),
	}
}

// fillRate is how fast the credit of a cold server grows now. One request asks for it many times.
func (b *Balancer) fillRate(ep *endpoint) float64 {
	b.updateFillBasis()
	if ep.tokens.round != b.fillBasis.round {
		ep.tokens.rate, ep.tokens.round = b.computeFillRate(ep), b.fillBasis.round
	}
	return ep.tokens.rate
}

// computeFillRate works it out, in requests of mean work a second: this copy's part of what all may send the
// server.
func (b *Balancer) computeFillRate(ep *endpoint) float64 {
	window, warmth := b.settings.OverloadWindow.Seconds(), b.capacityShare(ep)
	copies, most := float64(max(1, b.settings.Replicas)), outsideSubsetRate
	if ep.inSubset {
		copies = b.fillBasis.replicas
		allowed := b.settings.OverloadMultiple * warmth * b.fillBasis.perEndpoint * copies * window
		most = max(most, safeMean(overloadLimit(allowed)))
	}
	return most / copies / window
}

// overloadLimit is how many requests of mean work in a window a cold server surely bears, by an estimate n of
// what the settings allow it then. It falls at more than n + 2 x root of n + 2, and under 30 at more than
// n + 3 x root of n + 3. That rule steps down at 30, from 49 to 43, and the estimate may be a little low: one
// just under 30 counts on no more than what holds at 30, so that the limit nowhere shrinks as n grows.
func overloadLimit(n float64) float64 {
	wide := max(n, smallWindowCount)
	return min(n+3*math.Sqrt(n)+3, wide+2*math.Sqrt(wide)+2)
}

// safeMean is what may come in a window on average for hardly any window to go over the limit l of requests
// of mean work. A count with the mean m is more than l with a chance of at most exp(l - m - l x log(l/m))
// (Chernoff's bound), which is solved for m by Newton's method: from below, so it is safe wherever it ends.
func safeMean(l float64) (m float64) {
	for range 8 {
		bound := l * math.Exp((m-overloadRarity)/l-1)
		m += (bound - m) / (1 - bound/l)
	}
	return m
}

// spendTokens takes a request from a cold server's credit.
func (b *Balancer) spendTokens(ep *endpoint, req *request) {
	switch {
	case !b.hasOverloadLimit() || b.capacityShare(ep) == 1:
	case req.work > 0:
		ep.tokens.tokens -= req.work / b.meanWork
	default:
		ep.tokens.tokens--
	}
}

// nextFillCheck is when held calls are to be looked at again, since credit grows with time alone.
func (b *Balancer) nextFillCheck() time.Duration {
	if ep := b.ready.youngest(); ep != nil && b.hasOverloadLimit() && b.capacityShare(ep) < 1 {
		return b.now + b.settings.OverloadWindow/(2*windowParts)
	}
	return math.MaxInt64
}
