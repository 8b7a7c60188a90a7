// Package admission limits the requests that the first tier has in flight, and says which of them go first.
//
// The limit follows the ratio of observed latencies to a target, up and down by additive steps, with
// congestion control's slow start and multiplicative decrease (Jacobson, "Congestion Avoidance and Control",
// 1988; Netflix's concurrency-limits and Envoy's adaptive concurrency filter do the same for requests). Load
// over the limit is shed by priority (SRE book, "Handling Overload": criticality; priorities are weights
// here).
package admission

import (
	"math"
	"time"
)

// Constants of the limit: counts of requests, or ratios.
const (
	averageWeight       = 0.06 // weight of a new sample in averages (about 16 samples)
	minLimitPerEndpoint = 5.0  // requests for each endpoint of this replica that are always admitted
	limitGain           = 0.25 // requests that an answer moves the limit by, for each target over or under it
	maxLimitRatio       = 2    // limit to requests in flight on average, up to which the limit grows
	overloadedFrom      = 1.33 // mean ratio of latencies to their targets from which endpoints are overloaded
	maxOverTarget       = 2.0  // ratio that a slow answer counts as at most, and that any failure counts as
	rejectionDecrease   = 0.2  // part by which a rejection lowers the limit, at least
)

// sheddingWeight is the weight of one request in the share of load that is shed.
const sheddingWeight = averageWeight / 4

// Constants of the latency target: ratios.
const (
	targetShare    = 0.75 // target to the geometric mean of base latency and latency objective
	minTargetRatio = 1.35 // target to base latency, at least
	maxTargetCut   = 0.3  // part by which the target is lowered when all load is shed
)

// Limiter limits how many attempts of this replica may be in flight at once. It counts them.
type Limiter struct {
	inFlight     int
	meanInFlight float64 // averaged over sends
	shed         float64 // share of requests answered without an attempt, an average
	priorities   Priorities

	limit          float64       // 0: not set yet
	initialGrowth  bool          // by whole requests: no endpoint has seemed overloaded yet
	meanOverTarget float64       // latencies to their targets on average
	nextDecrease   time.Duration // when the limit may next be decreased for a rejection
}

// Configure puts the classes of new settings in force.
func (l *Limiter) Configure(priorities Priorities) { l.priorities = priorities }

// Initialize sets the limit to what is always admitted, when the first endpoints are known.
func (l *Limiter) Initialize(endpointsPerReplica float64) {
	if l.limit == 0 {
		l.limit, l.initialGrowth = floor(endpointsPerReplica), true
	}
}

// floor returns the least limit.
func floor(endpointsPerReplica float64) float64 { return minLimitPerEndpoint * endpointsPerReplica }

// StartAttempt counts an attempt that is sent.
func (l *Limiter) StartAttempt() {
	l.inFlight++
	l.meanInFlight += averageWeight * (float64(l.inFlight) - l.meanInFlight)
}

// EndAttempt counts an attempt that has ended.
func (l *Limiter) EndAttempt() { l.inFlight-- }

// InFlight returns how many attempts are in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// MeanInFlight returns how many were in flight on average.
func (l *Limiter) MeanInFlight() float64 { return l.meanInFlight }

// Limit returns how many attempts may be in flight at once.
func (l *Limiter) Limit() float64 { return l.limit }

// Admits says whether a request of the class may be sent now, within its share of the limit. A client's
// retry, whose latency objective is mostly used up, must leave half of the limit to first attempts, or
// retries feed an overload.
func (l *Limiter) Admits(class *Class, retry bool) bool {
	inFlight := float64(l.inFlight)
	if retry {
		inFlight *= 2
	}
	return inFlight < l.limit*l.priorities.limitShare(class, retry, l.shed)
}

// ObserveArrival counts a request of the class.
func (l *Limiter) ObserveArrival(class *Class) { l.priorities.observeArrival(class) }

// Priority returns how much a request of the class counts against the others that wait for capacity.
func (l *Limiter) Priority(class *Class, retry bool) float64 { return l.priorities.of(class, retry) }

// ObserveAdmitted records that a request got its first attempt.
func (l *Limiter) ObserveAdmitted() { l.shed -= sheddingWeight * l.shed }

// ObserveShed records that a request was answered without an attempt.
func (l *Limiter) ObserveShed() { l.shed += sheddingWeight * (1 - l.shed) }

// ShedShare returns the share of requests that are answered without an attempt.
func (l *Limiter) ShedShare() float64 { return l.shed }

// ObserveSuccess moves the limit so that latencies stay at their target: overloaded endpoints slow down and
// stay slow, so the excess must wait or be rejected here. Slow answers lower the limit as fast ones raise it.
func (l *Limiter) ObserveSuccess(class *Class, latency, endpointsPerReplica float64) {
	overTarget := min(maxOverTarget, latency/class.target(l.shed))
	l.observe(overTarget)
	l.move(overTarget, endpointsPerReplica)
}

// ObserveFailure lowers the limit for an attempt that may have failed for overload.
func (l *Limiter) ObserveFailure(endpointsPerReplica float64) {
	l.observe(maxOverTarget)
	l.move(maxOverTarget, endpointsPerReplica)
}

// ObserveRejection lowers the limit when an endpoint had no place for a request: a full queue shows overload
// before latencies do, and these show little while the tiers below are slow.
func (l *Limiter) ObserveRejection(now time.Duration, class *Class, endpointsPerReplica float64) {
	l.observe(maxOverTarget)
	l.decrease(now, time.Duration(class.Latency.Mean()))
	l.move(maxOverTarget, endpointsPerReplica)
}

// observe records the ratio of a latency to its target. Once answers are slow on average, the limit loses its
// unused part at once: a step for each answer would leave it open until the endpoints are full, as the
// answers that show it come late by then.
func (l *Limiter) observe(overTarget float64) {
	l.meanOverTarget += averageWeight * (overTarget - l.meanOverTarget)
	if l.meanOverTarget > overloadedFrom {
		l.initialGrowth = false
		l.limit = min(l.limit, l.meanInFlight+1)
	}
}

// decrease takes its unused part from the limit, and at least a fixed part of it. One round of answers, of
// the length pause, is awaited between two decreases.
func (l *Limiter) decrease(now, pause time.Duration) {
	l.initialGrowth = false
	if now >= l.nextDecrease {
		l.nextDecrease = now + pause
		l.limit = min((1-rejectionDecrease)*l.limit, l.meanInFlight+1)
	}
}

// move takes the step of one answer, but not below the floor.
func (l *Limiter) move(overTarget, endpointsPerReplica float64) {
	l.limit = max(l.limit+l.step(overTarget), 1, floor(endpointsPerReplica))
}

// step returns by how much an answer moves the limit. A small limit moves by up to one request in a round of
// answers, or a replica among many would take a day to open it. It grows up to a multiple of the requests in
// flight on average: if it grew only while nearly used up, it would sink by chance at a replica whose few
// requests seldom use it up.
//
// A new replica begins with what is always admitted, and each good answer opens its limit by a whole request
// until endpoints are overloaded (slow start). It can't know what endpoints still hold for other replicas, or
// for some that have died: many that start together with more would fill all endpoints at once.
func (l *Limiter) step(overTarget float64) float64 {
	step, used := max(limitGain, 1/l.limit)*(1-overTarget), l.meanInFlight
	if l.initialGrowth && overTarget < 1 {
		step, used = max(1, step), max(used, float64(l.inFlight))
	}
	if step > 0 && l.limit >= maxLimitRatio*(used+1) {
		return 0
	}
	return step
}

// target returns the latency that the limit steers to, a little under the geometric mean of a class's base
// latency and its objective. Work that takes much of the objective by itself does not show overload, and work
// that takes little of it waits in long queues, which slow endpoints down, well before the objective is near.
// The more load is shed, the surer it is that some endpoints are overloaded. Then a lower target is better,
// but never one that only an idle endpoint meets, or shedding would keep itself up.
func (c *Class) target(shed float64) float64 {
	objective, base := float64(c.Objective), c.Latency.Base()
	lowered := (1 - maxTargetCut*shed) * targetShare * math.Sqrt(base*objective)
	return min(objective, max(minTargetRatio*base, lowered))
}
