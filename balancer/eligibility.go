// Eligibility: which endpoints a request may be sent to now. Unhealthy ones are excluded up to a share of the
// list (as by Envoy's max_ejection_percent).

package balancer

import (
	"math"
	"slices"
	"time"

	"basaltdrum/balancer/internal/slowstart"
)

// maxExcludedShare is the share of the list that may be excluded for its health; beyond that, only the worst
// are.
const maxExcludedShare = 0.2

// candidates are endpoints to choose from, and how strictly.
type candidates struct {
	groups          groupPair
	excludeOutliers bool
	// warmingUp allows that all of them are warming up, and that a first attempt goes to an idle one without
	// the draw of slow start. Else a subset that is warming up as a whole would take the requests of an
	// endpoint that is not, while the rest of the list isn't.
	warmingUp bool
}

// chooseFrom picks among the candidates that a request may be sent to: in its scope, not tried by it, healthy
// and, as long as that leaves any, below the limits on what is in flight to one endpoint.
func (b *Balancer) chooseFrom(from candidates, req *request) *endpoint {
	b.excludeUnhealthy(from, req)
	unlimited := func(*endpoint) int { return math.MaxInt }
	for _, limit := range []func(*endpoint) int{b.endpointLimit, b.rejectionLimit, unlimited} {
		left, idleLeft := b.eligible(from.groups.left, req, limit)
		right, idleRight := b.eligible(from.groups.right, req, limit)
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
	var unhealthy []*endpoint
	for _, ep := range slices.Concat(from.groups.left, from.groups.right) {
		ep.excluded = from.excludeOutliers && b.isOutlier(ep, req.class)
		if !ep.excluded && b.isUnhealthy(ep, req) {
			ep.excluded = true
			unhealthy = append(unhealthy, ep)
		}
	}
	most := int(maxExcludedShare * (1 - b.admission.ShedShare()) * float64(b.ready.len()))
	if len(unhealthy) <= most {
		return
	}
	slices.SortStableFunc(unhealthy, func(ep, other *endpoint) int {
		return ep.health.CompareWorst(&other.health)
	})
	for _, ep := range unhealthy[most:] {
		ep.excluded = false
	}
}

// isOutlier says, by a random draw, that an endpoint should not be sent a class now, by its success rate.
func (b *Balancer) isOutlier(ep *endpoint, c *class) bool {
	eligibility := ep.health.Eligibility(b.classes.rates(c), b.now, c.latency.Mean())
	return eligibility < 1 && b.rng.Float64() >= eligibility
}

// isUnhealthy says that a request should not be sent to an endpoint now for its health. After an ejection one
// idempotent request at a time tries the endpoint: a bad one must not fail a request that can't be retried,
// nor many at once.
func (b *Balancer) isUnhealthy(ep *endpoint, req *request) bool {
	if ep.health.IsEjected(b.now) || b.responses.Suspects(&ep.attempts, b.now) {
		return true
	}
	return ep.health.OnTrial() && (req.class.Effect == NonIdempotent || ep.attempts.InFlight() > 0)
}

// admitsInSlowStart says whether a request may be sent to an endpoint as far as slow start goes. One that
// warms up takes one request of this replica at a time, within its token bucket, and its share of the work of
// a warm one.
func (b *Balancer) admitsInSlowStart(ep *endpoint, req *request) bool {
	share := b.slowStart.CapacityShare(&ep.slowStart, b.now)
	switch {
	case share == 1:
		return true
	case ep.attempts.InFlight() > 0 || !b.hasTokens(ep):
		return false
	}
	return b.slowStart.AdmitsWork(share, req.work, b.rng)
}

func (b *Balancer) isWarm(ep *endpoint) bool { return b.slowStart.IsWarm(&ep.slowStart, b.now) }

// hasTokens says that an endpoint in slow start may be sent a request now.
func (b *Balancer) hasTokens(ep *endpoint) bool {
	if b.slowStart.NeedsCounts(b.now) {
		b.slowStart.UpdateCounts(b.now, b.slowStartCounts())
	}
	return b.slowStart.HasTokens(&ep.slowStart, b.now, ep.inSubset, b.rng)
}

// slowStartCounts counts the endpoints for slow start.
func (b *Balancer) slowStartCounts() slowstart.Counts {
	counts := slowstart.Counts{Ready: b.ready.len(), SubsetSize: b.subset.size}
	for _, group := range [][]*endpoint{b.subset.own.left, b.subset.own.right} {
		for _, ep := range group {
			b.slowStart.Count(&counts, &ep.slowStart, b.now)
		}
	}
	return counts
}

// nextFillCheck returns when the queue is to be looked at again for the token buckets of slow start.
func (b *Balancer) nextFillCheck() time.Duration {
	if ep := b.ready.youngest(); ep != nil {
		return b.slowStart.NextCheck(&ep.slowStart, b.now)
	}
	return math.MaxInt64
}

// eligible returns the endpoints of a group that the request may be sent to, and the idle ones that only the
// draw of slow start keeps out.
func (b *Balancer) eligible(
	group []*endpoint, req *request, limit func(*endpoint) int,
) (admitted, idle []*endpoint) {
	for _, ep := range group {
		switch {
		case ep.excluded || ep.attempts.InFlight() >= limit(ep) || !req.inScope(ep) || req.tried(ep):
		case b.admitsInSlowStart(ep, req):
			admitted = append(admitted, ep)
		case ep.attempts.InFlight() == 0 && len(req.attempts) == 0 && b.hasTokens(ep):
			idle = append(idle, ep)
		}
	}
	return admitted, idle
}

// rejectionLimit is the count of requests in flight from which an endpoint is passed over because it rejected
// one more a while ago. It is not unhealthy, so the cap on the exclusion of unhealthy endpoints does not
// apply.
func (b *Balancer) rejectionLimit(ep *endpoint) int { return ep.rejections.Limit(b.now) }

// endpointLimit is the count of requests in flight from which an endpoint is passed over: random draws meet
// the same few endpoints twice now and then, and what several replicas send there together overloads them.
func (b *Balancer) endpointLimit(ep *endpoint) int {
	return min(b.rejectionLimit(ep), 1+b.admission.InFlight()/max(1, b.subset.size))
}

// tried says that the request has been sent to the endpoint before.
func (req *request) tried(ep *endpoint) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.endpoint == ep })
}

// inScope says that the endpoint discards the repeat of a request with an idempotency key that may have run.
func (req *request) inScope(ep *endpoint) bool {
	if req.class.Effect != IdempotentByKey {
		return true
	}
	return !slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		inCell := a.cell == ep.Cell || req.class.Scope == ScopeZone
		return !a.neverRan && req.class.Scope != ScopeAll && (a.zone != ep.Zone || !inCell)
	})
}
