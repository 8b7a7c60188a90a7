// What the end of an attempt shows, passed on to the mechanisms that go by it.

package balancer

// observeAttempt records what the end of an attempt shows: the latency of its class, and the endpoint's
// health and latency relative to the others.
func (b *Balancer) observeAttempt(a *attempt, result AttemptResult) {
	ep, c := a.endpoint, a.request.class
	latency := max(1, float64(b.now-a.sent)) // a coarse clock may show none, which has no logarithm
	slow := c.latency.IsSlow(latency)
	switch result {
	case Success, ServerError, TimedOut:
		ep.Health.ObserveRate(b.classes.rates(c), result != Success, b.now, c.latency.Mean())
	}
	switch result {
	case Success:
		b.retries.Earn()
		b.responses.ObserveSuccess(&ep.Attempts, b.now)
		slow = c.latency.Observe(latency) && slow
		ep.Rejections.ObserveSuccess()
		b.slowStart.ObserveAnswer(&ep.SlowStart, b.now, b.slowStartCounts(), ep.InSubset())
	case Rejected, ConnectFailed:
		ep.Rejections.Observe(b.now, c.latency.Mean(), b.rng.Float64(), ep.Attempts.InFlight())
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
		ep.Latency.Observe(latency / c.latency.Mean())
	}
	if slow || result != Success {
		b.outliers.ObserveFailure(&ep.Health, b.now, c.latency.Mean())
		return
	}
	b.outliers.ObserveSuccess(&ep.Health)
}

// adjustLimit moves the concurrency limit of the first tier by the result of an attempt.
func (b *Balancer) adjustLimit(a *attempt, result AttemptResult) {
	if b.settings.Tier > 0 {
		return
	}
	class := &a.request.class.admission
	switch result {
	case Success:
		b.admission.ObserveSuccess(class, float64(b.now-a.sent), b.endpoints.PerReplica())
	case TimedOut, ConnectFailed:
		b.admission.ObserveFailure(b.endpoints.PerReplica())
	case Rejected:
		b.admission.ObserveRejection(b.now, class, b.endpoints.PerReplica())
	}
}
