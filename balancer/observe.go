// What the end of an attempt shows, passed on to the mechanisms that go by it.

package balancer

import "math"

// latencyWeight is the least weight of a new sample in an endpoint's relative latency.
const latencyWeight = 0.25

// relativeLatency is how an endpoint's latency stands to the mean of the classes that it was sent.
type relativeLatency struct {
	logRatio float64 // mean of the logarithms of the ratios; 0: as the mean
	samples  int
}

func (l *relativeLatency) observe(ratio float64) {
	l.samples++
	weight := max(latencyWeight, 1/float64(l.samples+1))
	l.logRatio += weight * (math.Log(ratio) - l.logRatio)
}

// observeAttempt learns from the end of an attempt: the latency of its class, and the endpoint's health and
// latency relative to the others.
func (b *Balancer) observeAttempt(a *attempt, result AttemptResult) {
	ep, c := a.endpoint, a.request.class
	latency := max(1, float64(b.now-a.sent)) // a coarse clock may show none, which has no logarithm
	slow := c.isSlow(latency)
	b.observeFailureRate(ep, c, result)
	switch result {
	case Success:
		b.retries.earn()
		b.lastSuccess, ep.lastSuccess = b.now, b.now
		slow = c.observe(latency) && slow
		ep.rejections.consecutive = 0
		b.observeCapacity(ep)
	case Rejected, ConnectFailed:
		b.observeRejection(ep, c)
		return
	case ServerError, ConnectionLost, TimedOut:
	case Cancelled:
		if !slow {
			return
		}
	default:
		return
	}
	if slow || result == Success {
		ep.latency.observe(latency / c.mean)
	}
	if slow || result != Success {
		b.observeFailure(ep, c)
		return
	}
	ep.ejection.success()
	b.badResults.success()
}
