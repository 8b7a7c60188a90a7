// Outlier detection by success rate, as in Envoy: an endpoint that fails more than the others is sent less.

package balancer

import (
	"math"
	"time"
)

// Constants of the success rate.
const (
	failureWeight = 0.15 // weight of a new result in an endpoint's failure rate for a class
	failureDecay  = 36   // mean latencies in which a failure rate falls to a third when nothing new is known
	failureMargin = 0.8  // ratio of success rates down to which an endpoint is no outlier
	failurePower  = 3.0  // power of that ratio, below the margin, that an endpoint is eligible with
)

// failureRate is a share of attempts that failed. It is the less certain the longer ago it was seen.
type failureRate struct {
	share float64
	at    time.Duration
}

// after returns what counts of the rate now, when answers take meanLatency nanoseconds.
func (f failureRate) after(now time.Duration, meanLatency float64) float64 {
	return f.share * math.Exp(-float64(now-f.at)/(failureDecay*meanLatency))
}

// failureRates are an endpoint's failure rates, for each class that was sent to it and for all together.
type failureRates map[*classStats]failureRate

// observe takes in that an attempt failed (1) or did not (0), for one class and in one endpoint.
func (f failureRates) observe(k *classStats, failed float64, now time.Duration, meanLatency float64) {
	share := f[k].after(now, meanLatency)
	f[k] = failureRate{share + failureWeight*(failed-share), now}
}

// isOutlier says, by a random draw, that an endpoint should not be sent a class now, by its success rate
// against that of all endpoints. One that fails at once, in part or in one class only, has few requests
// in flight and wins the pick, and its successes end each run of failures; one that lets most attempts time
// out keeps its part of the concurrency limit. Where all fail alike none is an outlier, so this exclusion
// needs no cap. It hurts where a few failures by chance are all that is known.
func (b *Balancer) isOutlier(ep *endpoint, c *class) bool {
	if len(ep.failures) == 0 { // nothing has failed there, as for most endpoints of a long list
		return false
	}
	ratio := 1.0
	for _, k := range b.classAndTotal(c) {
		ratio = min(ratio, (1-ep.failures[k].after(b.now, c.latency.Mean()))/(1-k.failureShare))
	}
	return ratio < failureMargin && b.rng.Float64() >= math.Pow(ratio/failureMargin, failurePower)
}

// classAndTotal returns the statistics of a class, and of the unknown class, which stands for all together.
func (b *Balancer) classAndTotal(c *class) [2]*classStats {
	return [2]*classStats{c.classStats, b.classes.unknown().classStats}
}

// observeFailureRate takes in a result that tells of the endpoint, for its class and for all together.
func (b *Balancer) observeFailureRate(ep *endpoint, c *class, result AttemptResult) {
	failed := 0.0
	switch result {
	case Success:
	case ServerError, TimedOut:
		failed = 1
	default:
		return
	}
	if ep.failures == nil {
		ep.failures = failureRates{}
	}
	for _, k := range b.classAndTotal(c) {
		ep.failures.observe(k, failed, b.now, c.latency.Mean())
		k.failureShare += averageWeight * (failed - k.failureShare)
	}
}
