// Eligibility: which endpoints a request may be sent to now. Unhealthy ones are excluded up to a share of the
// list (as by Envoy's max_ejection_percent).

package balancer

import (
	"math"
	"slices"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/slowstart"
)

// maxExcludedShare is the share of the list that may be excluded for its health; beyond that, only the worst
// are.
const maxExcludedShare = 0.2

// candidates are endpoints to choose from, and how strictly.
type candidates struct {
	groups          endpoints.Groups
	excludeOutliers bool
	// warmingUp allows that all of them are warming up, and that a first attempt goes to an idle one without
	// the draw of slow start. Else a subset that is warming up as a whole would take the requests of an
	// endpoint that is not, while the rest of the list isn't.
	warmingUp bool
}

// chooseFrom picks among the candidates that a request may be sent to: in its scope, not tried by it, healthy
// and, as long as that leaves any, below the limits on what is in flight to one endpoint.
func (b *Balancer) chooseFrom(from candidates, req *request) *endpoints.Endpoint {
	b.excludeUnhealthy(from, req)
	unlimited := func(*endpoints.Endpoint) int { return math.MaxInt }
	for _, limit := range []func(*endpoints.Endpoint) int{b.endpointLimit, b.rejectionLimit, unlimited} {
		left, idleLeft := b.eligible(from.groups.Left, req, limit)
		right, idleRight := b.eligible(from.groups.Right, req, limit)
		admitted := append(left, right...)
		if from.warmingUp && len(admitted) > 0 || slices.ContainsFunc(admitted, b.isWarm) {
			return b.pick(left, right)
		}
		if from.warmingUp && len(idleLeft)+len(idleRight) > 0 {
			return b.pick(idleLeft, idleRight)
		}
	}
	return nil
}

// excludeUnhealthy marks the candidates that are excluded for their health. When many seem unhealthy to one
// replica, the fault is more likely its own or the tier below's, and the few others would take all the load.
// So only the worst are excluded, up to a share of the list, and fewer the more load is shed: in overload
// every endpoint is needed, and timeouts show load rather than ill health.
func (b *Balancer) excludeUnhealthy(from candidates, req *request) {
	var unhealthy []*endpoints.Endpoint
	for _, ep := range slices.Concat(from.groups.Left, from.groups.Right) {
		ep.Excluded = from.excludeOutliers && b.isOutlier(ep, req.class)
		if !ep.Excluded && b.isUnhealthy(ep, req) {
			ep.Excluded = true
			unhealthy = append(unhealthy, ep)
		}
	}
	most := int(maxExcludedShare * (1 - b.admission.ShedShare()) * float64(b.endpoints.Ready()))
	if len(unhealthy) <= most {
		return
	}
	slices.SortStableFunc(unhealthy, func(ep, other *endpoints.Endpoint) int {
		return ep.Health.CompareWorst(&other.Health)
	})
	for _, ep := range unhealthy[most:] {
		ep.Excluded = false
	}
}

// isOutlier says, by a random draw, that an endpoint should not be sent a class now, by its success rate.
func (b *Balancer) isOutlier(ep *endpoints.Endpoint, c *class) bool {
	eligibility := ep.Health.Eligibility(b.classes.rates(c), b.now, c.latency.Mean())
	return eligibility < 1 && b.rng.Float64() >= eligibility
}

// isUnhealthy says that a request should not be sent to an endpoint now for its health. After an ejection one
// idempotent request at a time tries the endpoint: a bad one must not fail a request that can't be retried,
// nor many at once.
func (b *Balancer) isUnhealthy(ep *endpoints.Endpoint, req *request) bool {
	if ep.Health.IsEjected(b.now) || b.responses.Suspects(&ep.Attempts, b.now) {
		return true
	}
	return ep.Health.OnTrial() && (req.class.Effect == NonIdempotent || ep.Attempts.InFlight() > 0)
}

// admitsInSlowStart says whether a request may be sent to an endpoint as far as slow start goes. One that
// warms up takes one request of this replica at a time, within its token bucket, and its share of the work of
// a warm one.
func (b *Balancer) admitsInSlowStart(ep *endpoints.Endpoint, req *request) bool {
	share := b.slowStart.CapacityShare(&ep.SlowStart, b.now)
	switch {
	case share == 1:
		return true
	case ep.Attempts.InFlight() > 0 || !b.hasTokens(ep):
		return false
	}
	return b.slowStart.AdmitsWork(share, req.work, b.rng)
}

func (b *Balancer) isWarm(ep *endpoints.Endpoint) bool {
	return b.slowStart.IsWarm(&ep.SlowStart, b.now)
}

// hasTokens says that an endpoint in slow start may be sent a request now.
func (b *Balancer) hasTokens(ep *endpoints.Endpoint) bool {
	if b.slowStart.NeedsCounts(b.now) {
		b.slowStart.UpdateCounts(b.now, b.slowStartCounts())
	}
	return b.slowStart.HasTokens(&ep.SlowStart, b.now, ep.InSubset(), b.rng)
}

// slowStartCounts counts the endpoints for slow start.
func (b *Balancer) slowStartCounts() slowstart.Counts {
	subset, size := b.endpoints.Subset()
	counts := slowstart.Counts{Ready: b.endpoints.Ready(), SubsetSize: size}
	for _, group := range [][]*endpoints.Endpoint{subset.Left, subset.Right} {
		for _, ep := range group {
			b.slowStart.Count(&counts, &ep.SlowStart, b.now)
		}
	}
	return counts
}

// nextFillCheck returns when the queue is to be looked at again for the token buckets of slow start.
func (b *Balancer) nextFillCheck() time.Duration {
	if ep := b.endpoints.Youngest(); ep != nil {
		return b.slowStart.NextCheck(&ep.SlowStart, b.now)
	}
	return math.MaxInt64
}

// eligible returns the endpoints of a group that the request may be sent to, and the idle ones that only the
// draw of slow start keeps out.
func (b *Balancer) eligible(
	group []*endpoints.Endpoint, req *request, limit func(*endpoints.Endpoint) int,
) (admitted, idle []*endpoints.Endpoint) {
	for _, ep := range group {
		switch {
		case ep.Excluded || ep.Attempts.InFlight() >= limit(ep) || !req.inScope(ep) || req.tried(ep):
		case b.admitsInSlowStart(ep, req):
			admitted = append(admitted, ep)
		case ep.Attempts.InFlight() == 0 && len(req.attempts) == 0 && b.hasTokens(ep):
			idle = append(idle, ep)
		}
	}
	return admitted, idle
}

// rejectionLimit is the count of requests in flight from which an endpoint is passed over because it rejected
// one more a while ago. It is not unhealthy, so the cap on the exclusion of unhealthy endpoints does not
// apply.
func (b *Balancer) rejectionLimit(ep *endpoints.Endpoint) int { return ep.Rejections.Limit(b.now) }

// endpointLimit is the count of requests in flight from which an endpoint is passed over: random draws meet
// the same few endpoints twice now and then, and what several replicas send there together overloads them.
func (b *Balancer) endpointLimit(ep *endpoints.Endpoint) int {
	_, size := b.endpoints.Subset()
	return min(b.rejectionLimit(ep), 1+b.admission.InFlight()/max(1, size))
}

// tried says that the request has been sent to the endpoint before.
func (req *request) tried(ep *endpoints.Endpoint) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.endpoint == ep })
}

// inScope says that the endpoint discards the repeat of a request with an idempotency key that may have run.
func (req *request) inScope(ep *endpoints.Endpoint) bool {
	if req.class.Effect != IdempotentByKey {
		return true
	}
	return !slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		inCell := a.cell == ep.Cell || req.class.Scope == ScopeZone
		return !a.neverRan && req.class.Scope != ScopeAll && (a.zone != ep.Zone || !inCell)
	})
}
