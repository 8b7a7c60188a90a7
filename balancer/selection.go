// The choice of an endpoint for an attempt: which endpoints are eligible, and the pick of one of two.
//
// Unhealthy endpoints are excluded up to a share of the list (as by Envoy's max_ejection_percent). The pick
// is d-left hashing (Vöcking, "How Asymmetry Helps Load Balancing"; Mitzenmacher and Vöcking, "The
// Asymptotics of Selecting the Shortest of Two, Improved").

package balancer

import (
	"math"
	"slices"
	"time"

	"basaltdrum/balancer/internal/endpoints"
)

const (
	// maxExcludedShare is the share of the list that may be excluded for its health; beyond that, only the
	// worst are.
	maxExcludedShare = 0.2
	// maxCapacity is the listed capacity that counts: with an infinite weight no draw would take any
	// endpoint.
	maxCapacity = 1e6
)

// load is what is known of this replica's load.
type load struct {
	inFlight     int     // attempts in flight
	meanInFlight float64 // on average
	shedShare    float64 // share of requests that are answered without an attempt
}

// selection is the choice of an endpoint for one attempt of a request.
type selection struct {
	*endpointSelector
	now   time.Duration
	req   *request
	load  load
	limit int // attempts in flight to one endpoint from which it is passed over
}

// candidates are endpoints to choose from, and how strictly.
type candidates struct {
	groups          endpoints.Groups
	excludeOutliers bool
	// warmingUp allows that all of them are warming up, and that a first attempt goes to an idle one without
	// the draw of slow start. Else a subset that is warming up as a whole would take the requests of an
	// endpoint that is not, while the rest of the list isn't.
	warmingUp bool
}

// choose picks an endpoint from the replica's subset and, when none there is eligible, from all; outliers
// come last. It returns nil when no endpoint is eligible.
func (s *endpointSelector) choose(now time.Duration, req *request, load load) *endpoints.Endpoint {
	if s.ResizeSubset(load.meanInFlight) {
		s.slowStart.ObserveSubsetChange()
	}
	subset, size := s.Subset()
	// Random draws meet the same few endpoints twice now and then, and what several replicas send there
	// together overloads them: hence the limit.
	choice := selection{s, now, req, load, 1 + load.inFlight/max(1, size)}
	for _, from := range []candidates{
		{groups: subset, excludeOutliers: true},
		{groups: s.Groups(), excludeOutliers: true, warmingUp: true},
		{groups: s.Groups(), warmingUp: true},
	} {
		if ep := choice.chooseFrom(from); ep != nil {
			return ep
		}
	}
	return nil
}

// chooseFrom picks among the candidates that a request may be sent to: in its scope, not tried by it, healthy
// and, as long as that leaves any, below the limits on what is in flight to one endpoint.
func (s *selection) chooseFrom(from candidates) *endpoints.Endpoint {
	s.excludeUnhealthy(from)
	unlimited := func(*endpoints.Endpoint) int { return math.MaxInt }
	for _, limit := range []func(*endpoints.Endpoint) int{s.endpointLimit, s.rejectionLimit, unlimited} {
		left, idleLeft := s.eligible(from.groups.Left, limit)
		right, idleRight := s.eligible(from.groups.Right, limit)
		admitted := append(left, right...)
		if from.warmingUp && len(admitted) > 0 || slices.ContainsFunc(admitted, s.isWarm) {
			return s.pick(left, right)
		}
		if from.warmingUp && len(idleLeft)+len(idleRight) > 0 {
			return s.pick(idleLeft, idleRight)
		}
	}
	return nil
}

// excludeUnhealthy marks the candidates that are excluded for their health. When many seem unhealthy to one
// replica, the fault is more likely its own or the tier below's, and the few others would take all the load.
// So only the worst are excluded, up to a share of the list, and fewer the more load is shed: in overload
// every endpoint is needed, and timeouts show load rather than ill health.
func (s *selection) excludeUnhealthy(from candidates) {
	var unhealthy []*endpoints.Endpoint
	for _, ep := range slices.Concat(from.groups.Left, from.groups.Right) {
		ep.Excluded = from.excludeOutliers && s.isOutlier(ep)
		if !ep.Excluded && s.isUnhealthy(ep) {
			ep.Excluded = true
			unhealthy = append(unhealthy, ep)
		}
	}
	most := int(maxExcludedShare * (1 - s.load.shedShare) * float64(s.ReadyCount()))
	if len(unhealthy) <= most {
		return
	}
	slices.SortStableFunc(unhealthy, func(ep, other *endpoints.Endpoint) int {
		return ep.Health.CompareFailures(&other.Health)
	})
	for _, ep := range unhealthy[most:] {
		ep.Excluded = false
	}
}

// isOutlier says, by a random draw, that an endpoint should not be sent a class now, by its success rate.
func (s *selection) isOutlier(ep *endpoints.Endpoint) bool {
	c := s.req.class
	eligibility := ep.Health.Eligibility(c.failureRates, s.now, c.latency.Mean())
	return eligibility < 1 && s.rng.Float64() >= eligibility
}

// isUnhealthy says that the request should not be sent to an endpoint now for its health. After an ejection
// one idempotent request at a time tries the endpoint: a bad one must not fail a request that can't be
// retried, nor many at once.
func (s *selection) isUnhealthy(ep *endpoints.Endpoint) bool {
	if ep.Health.IsEjected(s.now) || s.suspects(s.now, ep) {
		return true
	}
	return ep.Health.OnTrial() && (s.req.class.Effect == NonIdempotent || ep.Attempts.InFlight() > 0)
}

// eligible returns the endpoints of a group that the request may be sent to, and the idle ones that only the
// draw of slow start keeps out.
func (s *selection) eligible(
	group []*endpoints.Endpoint, limit func(*endpoints.Endpoint) int,
) (admitted, idle []*endpoints.Endpoint) {
	for _, ep := range group {
		switch {
		case ep.Excluded || ep.Attempts.InFlight() >= limit(ep) || !s.req.inDedupScope(ep) || s.req.tried(ep):
		case s.admitsInSlowStart(ep):
			admitted = append(admitted, ep)
		case ep.Attempts.InFlight() == 0 && len(s.req.attempts) == 0 && s.hasTokens(ep):
			idle = append(idle, ep)
		}
	}
	return admitted, idle
}

// endpointLimit is the count of requests in flight from which an endpoint is passed over.
func (s *selection) endpointLimit(ep *endpoints.Endpoint) int {
	return min(s.rejectionLimit(ep), s.limit)
}

// rejectionLimit is the count of requests in flight from which an endpoint is passed over because it rejected
// one more a while ago. It is not unhealthy, so the cap on the exclusion of unhealthy endpoints does not
// apply.
func (s *selection) rejectionLimit(ep *endpoints.Endpoint) int { return ep.Rejections.Limit(s.now) }

// admitsInSlowStart says whether the request may be sent to an endpoint as far as slow start goes. One that
// warms up takes one request of this replica at a time, within its token bucket, and its share of the work of
// a warm one.
func (s *selection) admitsInSlowStart(ep *endpoints.Endpoint) bool {
	share := s.slowStart.CapacityShare(&ep.SlowStart, s.now)
	switch {
	case share == 1:
		return true
	case ep.Attempts.InFlight() > 0 || !s.hasTokens(ep):
		return false
	}
	return s.slowStart.AdmitsWork(share, s.req.work, s.rng)
}

func (s *selection) isWarm(ep *endpoints.Endpoint) bool {
	return s.slowStart.IsWarm(&ep.SlowStart, s.now)
}

// hasTokens says that an endpoint in slow start may be sent a request now.
func (s *selection) hasTokens(ep *endpoints.Endpoint) bool {
	if s.slowStart.NeedsRateUpdate(s.now) {
		s.slowStart.UpdateRates(s.now, s.slowStartCounts(s.now))
	}
	return s.slowStart.HasTokens(&ep.SlowStart, s.now, ep.InSubset(), s.rng)
}

// pick draws one endpoint from each group, and the one with fewer requests in flight wins. Equal counts above
// zero go left; at zero the side is drawn by the groups' weights. Draws go by weight, which is equal as long
// as nothing distinguishes the endpoints. An empty group leaves the pick to the other.
func (s *endpointSelector) pick(left, right []*endpoints.Endpoint) *endpoints.Endpoint {
	first, firstWeight := s.draw(left)
	second, secondWeight := s.draw(right)
	switch {
	case second == nil || first != nil && first.Attempts.InFlight() < second.Attempts.InFlight():
		return first
	case first == nil || second.Attempts.InFlight() < first.Attempts.InFlight():
		return second
	case first.Attempts.InFlight() > 0 || s.rng.Float64()*(firstWeight+secondWeight) < firstWeight:
		return first
	}
	return second
}

// draw draws one endpoint of a group by weight (reservoir sampling), and returns the weight of the group.
func (s *endpointSelector) draw(group []*endpoints.Endpoint) (drawn *endpoints.Endpoint, total float64) {
	for _, ep := range group {
		weight := weightOf(ep)
		total += weight
		if s.rng.Float64()*total < weight {
			drawn = ep
		}
	}
	return drawn, total
}

// weightOf returns what an endpoint can carry against the others: its listed capacity, corrected by its
// relative latency. Equal draws among unequal endpoints overload the slow ones at loads that all together
// could carry, and one replica's counts are too small to show it. One replica's samples are few, too, but the
// errors of many replicas cancel out.
func weightOf(ep *endpoints.Endpoint) float64 {
	weight := ep.Latency.Speed()
	if ep.Capacity > 0 {
		weight *= min(ep.Capacity, maxCapacity)
	}
	return weight
}
