// Admission: an adaptive limit on the requests that the first tier has in flight.
//
// The limit follows the ratio of observed latencies to a target, up and down by additive steps, with
// congestion control's slow start and multiplicative decrease (Jacobson, "Congestion Avoidance and Control",
// 1988; Netflix's concurrency-limits and Envoy's adaptive concurrency filter do the same for requests).

package balancer

import (
	"math"
	"time"
)

// Constants of the limit: counts of requests, or ratios.
const (
	minLimitPerEndpoint = 5.0  // requests for each endpoint of this replica that are always admitted
	limitGain           = 0.25 // requests that an answer moves the limit by, for each target over or under it
	maxLimitRatio       = 2    // limit to requests in flight on average, up to which the limit grows
	overloadedFrom      = 1.33 // mean ratio of latencies to their targets from which endpoints are overloaded
	maxOverTarget       = 2.0  // ratio that a slow answer counts as at most, and that any failure counts as
	rejectionDecrease   = 0.2  // part of the limit given up, at least, when an endpoint rejects a request
)

// Constants of the latency target: ratios.
const (
	targetShare    = 0.75 // target to the geometric mean of base latency and latency objective
	minTargetRatio = 1.35 // target to base latency, at least
	maxTargetCut   = 0.3  // part of the target given up when all load is shed
)

// inFlightCount counts this replica's attempts in flight.
type inFlightCount struct {
	now  int
	mean float64 // averaged over sends
}

func (c *inFlightCount) begin() {
	c.now++
	c.mean += averageWeight * (float64(c.now) - c.mean)
}

func (c *inFlightCount) end() { c.now-- }

// concurrencyLimit is how many requests may be in flight at once.
type concurrencyLimit struct {
	limit          float64       // 0: not set yet
	initialGrowth  bool          // by whole requests: no endpoint has seemed overloaded yet
	meanOverTarget float64       // latencies to their targets on average
	nextDecrease   time.Duration // when the limit may next be decreased for a rejection
}

// start sets the limit to what is always admitted, when the first endpoints are known.
func (l *concurrencyLimit) start(floor float64) {
	if l.limit == 0 {
		l.limit, l.initialGrowth = floor, true
	}
}

// admits says whether one more request may be sent when it may fill a share of the limit.
func (l *concurrencyLimit) admits(inFlight, share float64) bool { return inFlight < l.limit*share }

// observe takes in the ratio of a latency to its target. Once answers are slow on average, the unused part
// of the limit is given up at once: a step for each answer would leave it open until the endpoints are full,
// as the answers that show it come late by then.
func (l *concurrencyLimit) observe(overTarget float64, inFlight inFlightCount) {
	l.meanOverTarget += averageWeight * (overTarget - l.meanOverTarget)
	if l.meanOverTarget > overloadedFrom {
		l.initialGrowth = false
		l.limit = min(l.limit, inFlight.mean+1)
	}
}

// decrease gives up the unused part of the limit, and a part of it at least, when an endpoint had no place
// for a request: a full queue shows overload before latencies do, and these show little while the tiers below
// are slow. One round of answers, of the length pause, is awaited between two decreases.
func (l *concurrencyLimit) decrease(now, pause time.Duration, inFlight inFlightCount) {
	l.initialGrowth = false
	if now >= l.nextDecrease {
		l.nextDecrease = now + pause
		l.limit = min((1-rejectionDecrease)*l.limit, inFlight.mean+1)
	}
}

// move takes the step of one answer, but not below floor.
func (l *concurrencyLimit) move(overTarget float64, inFlight inFlightCount, floor float64) {
	l.limit = max(l.limit+l.step(overTarget, inFlight), 1, floor)
}

// step returns by how much an answer moves the limit. A small limit moves by up to one request in a round of
// answers, or a replica among many would take a day to open it. It grows up to a multiple of the requests in
// flight on average: if it grew only while nearly used up, it would sink by chance at a replica whose few
// requests seldom use it up.
//
// A new replica begins with what is always admitted, and each good answer opens its limit by a whole request
// until endpoints are overloaded (slow start). It can't know what endpoints still hold for other replicas, or
// for some that have died: many that start together with more would fill all endpoints at once.
func (l *concurrencyLimit) step(overTarget float64, inFlight inFlightCount) float64 {
	step, used := max(limitGain, 1/l.limit)*(1-overTarget), inFlight.mean
	if l.initialGrowth && overTarget < 1 {
		step, used = max(1, step), max(used, float64(inFlight.now))
	}
	if step > 0 && l.limit >= maxLimitRatio*(used+1) {
		return 0
	}
	return step
}

// atCapacity says that this request can't be sent now: no endpoint is ready, or as many requests are in
// flight as the tiers below answer in time. Only the first tier limits them: a request rejected further down
// wastes the work done above it. A client's retry, whose latency objective is mostly used up, must leave half
// of the limit to first attempts, or retries feed an overload.
func (b *Balancer) atCapacity(req *request) bool {
	inFlight := float64(b.inFlight.now)
	if req.retry {
		inFlight *= 2
	}
	return b.ready.len() == 0 || b.settings.Tier == 0 && !b.admission.admits(inFlight, b.limitShare(req))
}

// minLimit returns the limit that holds at least.
func (b *Balancer) minLimit() float64 { return minLimitPerEndpoint * b.endpointsPerReplica() }

// target returns the latency that the limit steers to, a little under the geometric mean of a class's base
// latency and its objective. Work that takes much of the objective by itself does not show overload, and work
// that takes little of it waits in long queues, which slow endpoints down, well before the objective is near.
// The more load is shed, the surer it is that some endpoints are overloaded. Then a lower target is better,
// but never one that only an idle endpoint meets, or shedding would keep itself up.
func (c *class) target(shed float64) float64 {
	lowered := (1 - maxTargetCut*shed) * targetShare * math.Sqrt(c.latency.Base()*float64(c.LatencyObjective))
	return min(float64(c.LatencyObjective), max(minTargetRatio*c.latency.Base(), lowered))
}

// adjustLimit moves the limit so that latencies stay at their target: overloaded endpoints slow down and stay
// slow, so the excess must wait or be rejected here. Slow answers lower the limit as fast ones raise it.
func (b *Balancer) adjustLimit(req *request, e AttemptEnded) {
	var overTarget float64
	switch e.Result {
	case Success:
		latency := float64(b.now - req.attempts[e.Attempt].sent)
		overTarget = min(maxOverTarget, latency/req.class.target(b.shedding.share))
	case TimedOut, Rejected, ConnectFailed:
		overTarget = maxOverTarget
	default:
		return
	}
	if b.settings.Tier > 0 {
		return
	}
	b.admission.observe(overTarget, b.inFlight)
	if e.Result == Rejected {
		b.admission.decrease(b.now, time.Duration(req.class.latency.Mean()), b.inFlight)
	}
	b.admission.move(overTarget, b.inFlight, b.minLimit())
}
