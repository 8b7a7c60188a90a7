// Selection of an endpoint for an attempt: which endpoints are eligible, and the choice between two of them.
//
// Unhealthy endpoints are excluded up to a share of the list (like Envoy's max_ejection_percent). The choice
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
	// maxExcludedShare is the share of the list that may be excluded for health reasons; beyond it, only the
	// least healthy endpoints are excluded.
	maxExcludedShare = 0.2
	// maxCapacity caps the listed capacity: with an infinite weight, no weighted draw would select any
	// endpoint.
	maxCapacity = 1e6
)

// replicaLoad describes this replica's current load.
type replicaLoad struct {
	inFlight     int     // attempts in flight
	meanInFlight float64 // moving average of inFlight
	shedShare    float64 // share of requests that are rejected or failed without an attempt
}

// selection is the choice of an endpoint for one attempt of a request.
type selection struct {
	*endpointSelector
	now           time.Duration
	req           *request
	load          replicaLoad
	inFlightLimit int // attempts in flight at which an endpoint is skipped
}

// candidates are endpoints to choose from, and the rules that apply.
type candidates struct {
	groups          endpoints.Groups
	excludeOutliers bool
	// allowWarmingUp allows a choice among endpoints that are all warming up, and allows a first attempt to
	// go to an idle one without the random admission of slow start. It is not set for the subset: one that
	// is warming up as a whole would take the requests that the warm endpoints of the list should get.
	allowWarmingUp bool
}

// choose returns an endpoint from the replica's subset or, if none there is eligible, from the whole list;
// outliers come last. It returns nil if no endpoint is eligible.
func (s *endpointSelector) choose(now time.Duration, req *request, load replicaLoad) *endpoints.Endpoint {
	if s.ResizeSubset(load.meanInFlight) {
		s.slowStart.ObserveSubsetChange()
	}
	subset, size := s.Subset()
	// Random choices of several replicas now and then hit the same few endpoints and together overload them:
	// the limit prevents that.
	choice := selection{s, now, req, load, 1 + load.inFlight/max(1, size)}
	for _, from := range []candidates{
		{groups: subset, excludeOutliers: true},
		{groups: s.Groups(), excludeOutliers: true, allowWarmingUp: true},
		{groups: s.Groups(), allowWarmingUp: true},
	} {
		if ep := choice.chooseFrom(from); ep != nil {
			return ep
		}
	}
	return nil
}

// chooseFrom chooses among the candidates that may receive the request: in its deduplication scope, not used
// by its earlier attempts, healthy and, if any such remain, below the limits on attempts in flight per
// endpoint.
func (s *selection) chooseFrom(from candidates) *endpoints.Endpoint {
	s.excludeUnhealthy(from)
	unlimited := func(*endpoints.Endpoint) int { return math.MaxInt }
	for _, limit := range []func(*endpoints.Endpoint) int{s.endpointLimit, s.rejectionLimit, unlimited} {
		left, idleLeft := s.eligible(from.groups.Left, limit)
		right, idleRight := s.eligible(from.groups.Right, limit)
		admitted := append(left, right...)
		if from.allowWarmingUp && len(admitted) > 0 || slices.ContainsFunc(admitted, s.isWarm) {
			return s.pick(left, right)
		}
		if from.allowWarmingUp && len(idleLeft)+len(idleRight) > 0 {
			return s.pick(idleLeft, idleRight)
		}
	}
	return nil
}

// excludeUnhealthy marks the candidates that are excluded for health reasons. When many endpoints appear
// unhealthy to one replica, the fault is more likely its own or that of the tier below, and the few others
// would receive all the load. So only the least healthy are excluded, up to a share of the list, and fewer
// the more load is shed: in overload every endpoint is needed, and timeouts indicate load rather than poor
// health.
func (s *selection) excludeUnhealthy(from candidates) {
	var unhealthy []*endpoints.Endpoint
	for _, ep := range slices.Concat(from.groups.Left, from.groups.Right) {
		ep.Excluded = from.excludeOutliers && s.isOutlier(ep)
		if !ep.Excluded && s.isUnhealthy(ep) {
			ep.Excluded = true
			unhealthy = append(unhealthy, ep)
		}
	}
	maxExcluded := int(maxExcludedShare * (1 - s.load.shedShare) * float64(s.ReadyCount()))
	if len(unhealthy) <= maxExcluded {
		return
	}
	slices.SortStableFunc(unhealthy, func(ep, other *endpoints.Endpoint) int {
		return ep.Health.CompareFailures(&other.Health)
	})
	for _, ep := range unhealthy[maxExcluded:] {
		ep.Excluded = false
	}
}

// isOutlier decides by a random draw, weighted by its success rate, whether to exclude an endpoint for the
// class.
func (s *selection) isOutlier(ep *endpoints.Endpoint) bool {
	c := s.req.class
	eligibility := ep.Health.Eligibility(c.failureRates, s.now, c.latency.Mean())
	return eligibility < 1 && s.rng.Float64() >= eligibility
}

// isUnhealthy reports whether the endpoint's health rules out sending it the request now. After an ejection,
// one idempotent request at a time probes the endpoint: a bad endpoint must not fail a request that can't be
// retried, nor several at once.
func (s *selection) isUnhealthy(ep *endpoints.Endpoint) bool {
	if ep.Health.IsEjected(s.now) || s.suspects(s.now, ep) {
		return true
	}
	return ep.Health.OnTrial() && (s.req.class.Effect == NonIdempotent || ep.Attempts.InFlight() > 0)
}

// eligible returns the endpoints of a group that may receive the request, and the idle ones that only the
// random admission of slow start excludes.
func (s *selection) eligible(
	group []*endpoints.Endpoint, limit func(*endpoints.Endpoint) int,
) (admitted, idle []*endpoints.Endpoint) {
	for _, ep := range group {
		switch {
		case ep.Excluded || ep.Attempts.InFlight() >= limit(ep) ||
			!s.req.inDedupScope(ep) || s.req.wasSentTo(ep):
		case s.admitsInSlowStart(ep):
			admitted = append(admitted, ep)
		case ep.Attempts.InFlight() == 0 && len(s.req.attempts) == 0 && s.hasTokens(ep):
			idle = append(idle, ep)
		}
	}
	return admitted, idle
}

// endpointLimit returns the number of attempts in flight at which an endpoint is skipped.
func (s *selection) endpointLimit(ep *endpoints.Endpoint) int {
	return min(s.rejectionLimit(ep), s.inFlightLimit)
}

// rejectionLimit returns the number of attempts in flight at which an endpoint is skipped because it recently
// rejected a request at that load. Such an endpoint is not unhealthy, so the cap on the exclusion of
// unhealthy endpoints does not apply.
func (s *selection) rejectionLimit(ep *endpoints.Endpoint) int { return ep.Rejections.Limit(s.now) }

// admitsInSlowStart reports whether slow start allows sending the request to an endpoint. An endpoint that is
// warming up takes one request of this replica at a time, within its token bucket, and only its share of the
// work that a warm one takes.
func (s *selection) admitsInSlowStart(ep *endpoints.Endpoint) bool {
	share := s.slowStart.CapacityShare(&ep.SlowStart, s.now)
	switch {
	case share == 1:
		return true
	case ep.Attempts.InFlight() > 0 || !s.hasTokens(ep):
		return false
	}
	return s.slowStart.AdmitsWork(share, s.req.expectedWork, s.rng)
}

func (s *selection) isWarm(ep *endpoints.Endpoint) bool {
	return s.slowStart.IsWarm(&ep.SlowStart, s.now)
}

// hasTokens reports whether the token bucket of an endpoint in slow start allows a request now.
func (s *selection) hasTokens(ep *endpoints.Endpoint) bool {
	if s.slowStart.NeedsRateUpdate(s.now) {
		s.slowStart.UpdateRates(s.now, s.slowStartCounts(s.now))
	}
	return s.slowStart.HasTokens(&ep.SlowStart, s.now, ep.InSubset(), s.rng)
}

// pick draws one endpoint from each group and returns the one with fewer attempts in flight. Equal counts
// above zero go to the left group; at zero the group is drawn by total weight. Draws within a group are
// weighted too, with equal weights as long as nothing distinguishes the endpoints. If one group is empty, the
// draw from the other is returned.
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

// draw draws one endpoint of a group by weight (reservoir sampling) and returns the total weight of the
// group.
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

// weightOf returns the relative capacity of an endpoint: its listed capacity, corrected by its relative
// latency. Equal draws among unequal endpoints would overload the slow ones at a total load that all together
// could serve, and a single replica has too few attempts in flight to tell which ones are slow. Its latency
// samples are few, too, but the errors of many replicas cancel out.
func weightOf(ep *endpoints.Endpoint) float64 {
	weight := ep.Latency.Speed()
	if ep.Capacity > 0 {
		weight *= min(ep.Capacity, maxCapacity)
	}
	return weight
}
