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

// endpointSelector holds the endpoint list and the state shared by all endpoints. It chooses the endpoint of
// each attempt (selection.go) and reports the attempt's result to the mechanisms.
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

// configure applies settings. The subset is rebuilt only if this replica's placement has changed.
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

// forgetClasses discards the endpoints' failure rates of classes that are no longer known. An attempt still
// in flight may add one again.
func (s *endpointSelector) forgetClasses(known func(*outlier.ClassRate) bool) {
	for ep := range s.Known() {
		ep.Health.RetainClasses(known)
	}
}

// nextCheck returns when the queue must be checked again because slow-start tokens may have become available.
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

// startAttempt records that an attempt is sent to its endpoint.
func (s *endpointSelector) startAttempt(now time.Duration, a *attempt) {
	s.slowStart.TakeTokens(&a.endpoint.SlowStart, now, a.request.expectedWork)
	a.endpoint.Attempts.StartAttempt(now, &a.request.class.latency)
}

// suspects reports whether an endpoint appears unresponsive.
func (s *endpointSelector) suspects(now time.Duration, ep *endpoints.Endpoint) bool {
	return s.unresponsive.Suspects(&ep.Attempts, now)
}

// endAttempt records that an attempt has ended, and its result unless the host itself delayed the attempt.
func (s *endpointSelector) endAttempt(now time.Duration, a *attempt, result AttemptResult, delayed bool) {
	a.endpoint.Attempts.EndAttempt(a.sent, &a.request.class.latency)
	if !delayed {
		s.observeResult(now, a, result)
	}
	s.RemoveIfUnused(a.endpoint)
}

// observeResult updates the statistics that the result of an attempt affects: the latency of its class, and
// the endpoint's health and relative latency.
func (s *endpointSelector) observeResult(now time.Duration, a *attempt, result AttemptResult) {
	ep, c := a.endpoint, a.request.class
	latency := max(1, float64(now-a.sent)) // a coarse clock may measure 0, which has no logarithm
	s.updateFailureRates(now, a, result)
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

// updateFailureRates records a result that counts in the failure rates of the endpoint and the class.
func (s *endpointSelector) updateFailureRates(now time.Duration, a *attempt, result AttemptResult) {
	c := a.request.class
	switch result {
	case Success, ServerError, TimedOut:
		a.endpoint.Health.UpdateFailureRates(c.failureRates, result != Success, now, c.latency.Mean())
	default: // tells nothing about the endpoint's success rate
	}
}

// observeSuccess updates the statistics that every successful response affects.
func (s *endpointSelector) observeSuccess(now time.Duration, ep *endpoints.Endpoint) {
	s.unresponsive.ObserveSuccess(&ep.Attempts, now)
	ep.Rejections.ObserveSuccess()
	s.slowStart.ObserveResponse(&ep.SlowStart, now, s.slowStartCounts(now), ep.InSubset())
}

// slowStartCounts counts the endpoints for the slow-start limiter.
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
