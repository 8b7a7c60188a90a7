// Outlier detection and ejection.

package balancer

import (
	"math"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	endpointAverageWeight = 0.25 // weight of a new sample in a single server's averages
	// a run of bad endings likelier than this by the share of them among all is luck
	luckProbability   = 0.08
	recoverySuccesses = 3    // good endings that take one doubling of a later ejection back
	failureWeight     = 0.15 // weight of a new ending in a server's share of failures in a class
	// mean latencies in which that share falls to a third, if nothing else is heard
	failureDecay = 36
	// power of its share of good endings, against all servers', that it is drawn by
	failurePower     = 3.0
	failureMargin    = 0.8 // what that share may fall to by chance, without being drawn less
	baseEjection     = 12  // mean latencies that a first ejection, or a lack of room, lasts
	maxEjectionLevel = 5   // doublings of an ejection
)

// decayingShare is a share that is the less sure the longer ago it was seen.
type decayingShare struct {
	share float64
	at    time.Duration
}

// isOutlier says, by a draw, that a server should not get a class now, by its share of good endings against
// all servers'. One that fails at once, in part or one class only, drains its count and wins, and what it
// serves ends each run of bad endings; one that lets most time out holds its part of the window. Where all
// fail alike none is an outlier: no cap is needed. It hurts where a few unlucky endings are all that's known.
func (b *Balancer) isOutlier(ep *endpoint, c *class) bool {
	if len(ep.failureShares) == 0 { // nothing has failed there, as for most servers of a long list
		return false
	}
	good := 1.0
	for _, k := range []*class{c, b.classes[""]} { // that one stands for all together
		good = min(good, (1-b.failureShare(ep, k.classStats, c))/(1-k.failureShare))
	}
	return good < failureMargin && b.rng.Float64() >= math.Pow(good/failureMargin, failurePower)
}

// failing is what is left of a server's share of failures in k, by the time that answers of c take.
func (b *Balancer) failureShare(ep *endpoint, k *classStats, c *class) float64 {
	f := ep.failureShares[k]
	return f.share * math.Exp(-float64(b.now-f.at)/(failureDecay*c.mean))
}

// observeAttempt learns from an ending: the class's latency, the server's health relative to its peers.
func (b *Balancer) observeAttempt(a *attempt, e AttemptEnded) {
	ep, c := a.endpoint, a.request.class
	took := max(1, float64(b.now-a.sent)) // a coarse clock may show none, and its logarithm no server
	late := took > c.mean+slowDeviations*c.deviation
	b.observeFailureShare(ep, c, e.Result)
	switch e.Result {
	case Success:
		b.retries.earn()
		b.lastSuccess, ep.lastSuccess = b.now, b.now
		late = c.observe(took) && late
		ep.consecutiveRejections = 0
		b.observeCapacity(ep)
	case Rejected, ConnectFailed:
		b.observeRejection(ep, c)
		return
	case ServerError, ConnectionLost, TimedOut:
	case Cancelled:
		if !late {
			return
		}
	default:
		return
	}
	if late || e.Result == Success {
		ep.samples++
		weight := max(endpointAverageWeight, 1/float64(ep.samples+1))
		ep.latencyRatio += weight * (math.Log(took/c.mean) - ep.latencyRatio)
	}
	if late || e.Result != Success {
		b.observeFailure(ep, c)
	} else {
		b.observeSuccess(ep)
	}
}

// observeFailureShare notes in the server's share of failures, and in all servers', how an attempt of a class
// ended.
func (b *Balancer) observeFailureShare(ep *endpoint, c *class, result AttemptResult) {
	now := 0.0
	switch result {
	case Success:
	case ServerError, TimedOut:
		now = 1
	default:
		return
	}
	if ep.failureShares == nil {
		ep.failureShares = map[*classStats]decayingShare{}
	}
	for _, k := range []*class{c, b.classes[""]} {
		share := b.failureShare(ep, k.classStats, c)
		ep.failureShares[k.classStats] = decayingShare{share + failureWeight*(now-share), b.now}
		k.failureShare += averageWeight * (now - k.failureShare)
	}
}

// observeRejection notes how many own calls a server had when it refused one more.
func (b *Balancer) observeRejection(ep *endpoint, c *class) {
	ep.rejectedAt = ep.inFlight
	wait := time.Duration((0.5 + b.rng.Float64()) * baseEjection * c.mean)
	ep.rejectedUntil = b.now + wait<<ep.consecutiveRejections
	ep.consecutiveRejections = min(ep.consecutiveRejections+1, maxEjectionLevel)
}

func (b *Balancer) observeSuccess(ep *endpoint) {
	ep.consecutiveFailures = 0
	if ep.consecutiveSuccesses++; ep.consecutiveSuccesses >= recoverySuccesses && ep.ejectionLevel > 0 {
		ep.ejectionLevel, ep.consecutiveSuccesses = ep.ejectionLevel-1, 1
	}
	b.badShare = max(0.01, b.badShare-averageWeight*b.badShare)
}

// observeFailure counts a bad ending, and ejects the server when a run of them is no luck.
// Trouble that strikes everywhere comes from the tier below or from the load; ejecting on it would
// leave nobody. A run counts only if the peers' share of bad endings makes it unlikely.
func (b *Balancer) observeFailure(ep *endpoint, c *class) {
	ep.consecutiveFailures++
	ep.consecutiveSuccesses = 0
	if math.Pow(b.badShare, float64(ep.consecutiveFailures)) < luckProbability && b.now >= ep.ejectedUntil {
		// doubles while its trials fail
		ep.ejectedUntil = b.now + time.Duration(baseEjection*c.mean)<<ep.ejectionLevel
		ep.ejectionLevel = min(ep.ejectionLevel+1, maxEjectionLevel)
	}
	b.badShare += averageWeight * (1 - b.badShare)
}
