package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/outlier"
	"basaltdrum/balancer/internal/slowstart"
	"basaltdrum/balancer/internal/unresponsive"
)

// endpointSelector is the endpoint list, with what the attempts at all endpoints together have shown. It
// chooses the endpoint of each attempt (selection.go) and passes the attempt's result to the mechanisms.
type endpointSelector struct {
	endpoints.List
	rng          *rand.Rand
	outliers     outlier.Detector
	unresponsive unresponsive.Detector
	slowStart    slowstart.Limiter
}

func newEndpointSelector(rng *rand.Rand) endpointSelector {
	return endpointSelector{List: endpoints.NewList(), rng: rng, outliers: outlier.NewDetector()}
}

// configure puts settings in force. The subset is made anew only if this replica's position among the
// replicas has changed.
func (s *endpointSelector) configure(settings *Settings) {
	s.Configure(endpoints.Placement{
		Zone: settings.Zone, ZoneCount: settings.ZoneCount,
		Replicas: settings.Replicas, Index: settings.ReplicaIndex,
	})
	s.slowStart.Configure(slowstart.Settings{
		Floor: settings.SlowStartFloor, Duration: settings.SlowStartDuration, Replicas: settings.Replicas,
		OverloadMultiple: settings.OverloadMultiple, OverloadWindow: settings.OverloadWindow,
	})
}

// forgetClasses discards the endpoints' failure rates of classes that are not known any more. An attempt that
// is still in flight may bring one back.
func (s *endpointSelector) forgetClasses(known func(*outlier.ClassRate) bool) {
	for ep := range s.Known() {
		ep.Health.RetainClasses(known)
	}
}

// nextCheck returns when the queue is to be looked at again for the token buckets of slow start.
func (s *endpointSelector) nextCheck(now time.Duration) time.Duration {
	if ep := s.Youngest(); ep != nil {
		return s.slowStart.NextCheck(&ep.SlowStart, now)
	}
	return math.MaxInt64
}

// observeRequest records the arrival of a request.
func (s *endpointSelector) observeRequest(now time.Duration, work float64) {
	s.slowStart.ObserveRequest(now, work)
}

// startAttempt records that an attempt of a request is sent to an endpoint.
func (s *endpointSelector) startAttempt(now time.Duration, a *attempt) {
	s.slowStart.TakeTokens(&a.endpoint.SlowStart, now, a.request.work)
	a.endpoint.Attempts.StartAttempt(now, &a.request.class.latency)
}

// suspects says that an endpoint seems not to respond.
func (s *endpointSelector) suspects(now time.Duration, ep *endpoints.Endpoint) bool {
	return s.unresponsive.Suspects(&ep.Attempts, now)
}

// end records that an attempt has ended, and its result unless the host itself held it up.
func (s *endpointSelector) end(now time.Duration, a *attempt, result AttemptResult, heldUp bool) {
	a.endpoint.Attempts.EndAttempt(a.sent, &a.request.class.latency)
	if !heldUp {
		s.observe(now, a, result)
	}
	s.RemoveIfUnused(a.endpoint)
}

// observe records what the end of an attempt shows: the latency of its class, and the endpoint's health and
// latency relative to the others.
func (s *endpointSelector) observe(now time.Duration, a *attempt, result AttemptResult) {
	ep, c := a.endpoint, a.request.class
	latency := max(1, float64(now-a.sent)) // a coarse clock may show none, which has no logarithm
	s.observeRate(now, a, result)
	slow := c.latency.IsSlow(latency)
	switch result {
	case Success:
		slow = c.latency.Observe(latency) && slow
		s.observeSuccess(now, ep)
	case Rejected, ConnectFailed:
		ep.Rejections.Observe(now, c.latency.Mean(), s.rng.Float64(), ep.Attempts.InFlight())
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
		s.outliers.ObserveFailure(&ep.Health, now, c.latency.Mean())
		return
	}
	s.outliers.ObserveSuccess(&ep.Health)
}

// observeRate records a result that shows the success rate of the endpoint and of the class.
func (s *endpointSelector) observeRate(now time.Duration, a *attempt, result AttemptResult) {
	c := a.request.class
	switch result {
	case Success, ServerError, TimedOut:
		a.endpoint.Health.UpdateFailureRates(c.failureRates, result != Success, now, c.latency.Mean())
	default: // shows nothing of it
	}
}

// observeSuccess records what any good answer shows.
func (s *endpointSelector) observeSuccess(now time.Duration, ep *endpoints.Endpoint) {
	s.unresponsive.ObserveSuccess(&ep.Attempts, now)
	ep.Rejections.ObserveSuccess()
	s.slowStart.ObserveResponse(&ep.SlowStart, now, s.slowStartCounts(now), ep.InSubset())
}

// slowStartCounts counts the endpoints for slow start.
func (s *endpointSelector) slowStartCounts(now time.Duration) slowstart.EndpointCounts {
	subset, size := s.Subset()
	counts := slowstart.EndpointCounts{Ready: s.ReadyCount(), SubsetSize: size}
	for _, group := range [][]*endpoints.Endpoint{subset.Left, subset.Right} {
		for _, ep := range group {
			s.slowStart.Count(&counts, &ep.SlowStart, now)
		}
	}
	return counts
}
