// Ejection of endpoints after consecutive failures, as in Envoy's outlier detection: for a while that doubles
// each time, and with trials by single requests afterwards.

package balancer

import (
	"math"
	"time"
)

// Constants of ejection.
const (
	luckProbability   = 0.08 // probability from which a run of failures counts as chance
	baseEjection      = 12   // mean latencies that a first ejection lasts
	maxEjectionLevel  = 5    // doublings of an ejection
	recoverySuccesses = 3    // consecutive successes that take one doubling back
	firstBadShare     = 0.02 // share of bad results that is assumed at first
	minBadShare       = 0.01 // and the least that is ever assumed
)

// badResults is the share of bad results, slow answers among them, of all attempts: an exponentially
// weighted average.
type badResults struct{ share float64 }

func (r *badResults) success() { r.share = max(minBadShare, r.share-averageWeight*r.share) }

func (r *badResults) failure() { r.share += averageWeight * (1 - r.share) }

// unlikely says that so many consecutive failures of one endpoint are no chance. A fault that strikes
// everywhere comes from the tier below or from the load; ejecting for it would leave no endpoint. So a run
// counts only if the share of bad results of all endpoints makes it unlikely.
func (r *badResults) unlikely(consecutive int) bool {
	return math.Pow(r.share, float64(consecutive)) < luckProbability
}

// ejection is what an endpoint's recent results say of its health.
type ejection struct {
	consecutiveFailures  int
	consecutiveSuccesses int
	level                int // doublings of the next ejection
	until                time.Duration
}

func (e *ejection) success() {
	e.consecutiveFailures = 0
	if e.consecutiveSuccesses++; e.consecutiveSuccesses >= recoverySuccesses && e.level > 0 {
		e.level, e.consecutiveSuccesses = e.level-1, 1
	}
}

func (e *ejection) failure() {
	e.consecutiveFailures++
	e.consecutiveSuccesses = 0
}

// eject begins an ejection, unless one is on. Its length doubles while the trials after it fail.
func (e *ejection) eject(now, base time.Duration) {
	if now >= e.until {
		e.until = now + base<<e.level
		e.level = min(e.level+1, maxEjectionLevel)
	}
}

// onTrial says that the endpoint was ejected and has had no success since.
func (e *ejection) onTrial() bool { return e.level > 0 && e.consecutiveSuccesses == 0 }

// observeFailure counts a bad result, and ejects the endpoint when a run of them is no chance.
func (b *Balancer) observeFailure(ep *endpoint, c *class) {
	ep.ejection.failure()
	if b.badResults.unlikely(ep.ejection.consecutiveFailures) {
		ep.ejection.eject(b.now, time.Duration(baseEjection*c.latency.Mean()))
	}
	b.badResults.failure()
}

// isUnhealthy says that a request should not be sent to an endpoint now for its health. After an ejection
// one idempotent request at a time tries the endpoint: a bad one must not fail a request that can't be
// retried, nor many at once.
func (b *Balancer) isUnhealthy(ep *endpoint, req *request) bool {
	if b.now < ep.ejection.until || b.isUnresponsive(ep) {
		return true
	}
	return ep.ejection.onTrial() && (req.class.Effect == NonIdempotent || ep.inFlight > 0)
}
