// Eligibility: which servers a request may be sent to now.

package balancer

import (
	"math"
	"slices"
	"sort"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	maxExcludedShare = 0.2 // share of the list that health may exclude; beyond that all are drawn
)

// chooseAmong picks among those servers that a request may go to: in its scope, not tried by it, fit,
// warm enough and, as long as that leaves any, with room and not crowded with own calls. Only where
// anyCold is set may all of them be cold, and may a first try go to an idle cold one whatever the
// thinning: a pool may be cold as a whole, and would take a warm one's calls, while the rest is warm.
func (b *Balancer) chooseAmong(g groupPair, req *request, anyCold, ejectOutliers bool) *endpoint {
	b.excludeUnhealthy(g, req, ejectOutliers)
	unlimited := func(*endpoint) int { return math.MaxInt }
	for _, limit := range []func(*endpoint) int{b.inFlightLimit, b.rejectionLimit, unlimited} {
		left, idleLeft := b.eligible(g.left, req, limit)
		right, idleRight := b.eligible(g.right, req, limit)
		isWarm := func(ep *endpoint) bool { return b.capacityShare(ep) == 1 }
		if anyCold && len(left)+len(right) > 0 || slices.ContainsFunc(append(left, right...), isWarm) {
			return b.pick(left, right)
		}
		if anyCold && len(idleLeft)+len(idleRight) > 0 {
			return b.pick(idleLeft, idleRight)
		}
	}
	return nil
}

// excludeUnhealthy marks the servers that health keeps out. When many look bad to one node, the fault is
// likelier its own or the tier below's, and those left would take all the load: only the worst are
// kept out, up to a set share of the list, and fewer the more is shed: in overload every server is
// missed, and time-outs show load rather than ill health.
func (b *Balancer) excludeUnhealthy(g groupPair, req *request, ejectOutliers bool) {
	var sick []*endpoint
	for _, ep := range slices.Concat(g.left, g.right) {
		ep.excluded = ejectOutliers && b.isOutlier(ep, req.class)
		if !ep.excluded && b.isUnhealthy(ep, req) {
			ep.excluded = true
			sick = append(sick, ep)
		}
	}
	most := int(maxExcludedShare * (1 - b.shedding.share) * float64(b.ready.len()))
	if len(sick) > most {
		sort.SliceStable(sick, func(i, j int) bool {
			return sick[i].ejection.consecutiveFailures > sick[j].ejection.consecutiveFailures
		})
		for _, ep := range sick[most:] {
			ep.excluded = false
		}
	}
}

// eligible lists the servers of a group that pass, and the cold ones that would but for the thinning.
func (b *Balancer) eligible(
	group []*endpoint, req *request, limit func(*endpoint) int,
) (warm, idle []*endpoint) {
	for _, ep := range group {
		switch {
		case ep.excluded || ep.inFlight >= limit(ep) || !b.inScope(req, ep) || tried(req, ep):
		case b.admitsInSlowStart(ep, req):
			warm = append(warm, ep)
		case ep.inFlight == 0 && len(req.attempts) == 0 && b.hasTokens(ep):
			idle = append(idle, ep)
		}
	}
	return warm, idle
}

// inFlightLimit is the count of own calls at which a server is passed over: uniform draws now and then
// meet the same few servers twice, and a crowd of several nodes' calls there chokes it.
func (b *Balancer) inFlightLimit(ep *endpoint) int {
	return min(b.rejectionLimit(ep), 1+b.inFlight.now/max(1, b.subsetSize))
}

// tried says that the request has been to the server before.
func tried(req *request, ep *endpoint) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.endpoint == ep })
}

// inScope keeps a keyed request that may have run to the servers that discard its repeats.
func (b *Balancer) inScope(req *request, ep *endpoint) bool {
	if req.class.Effect != IdempotentByKey {
		return true
	}
	return !slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		inCell := a.cell == ep.Cell || req.class.Scope == ScopeZone
		return !a.neverRan && req.class.Scope != ScopeAll && (a.zone != ep.Zone || !inCell)
	})
}
