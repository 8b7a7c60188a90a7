// Package admission limits the requests that the first tier has in flight, and ranks those that wait.
//
// The limit follows the ratio of observed latencies to a target. It moves up and down by additive steps, with
// the slow start and multiplicative decrease of congestion control (Jacobson, "Congestion Avoidance and
// Control", 1988; Netflix's concurrency-limits and Envoy's adaptive concurrency filter do the same for
// requests). Load above the limit is shed by priority (SRE book, "Handling Overload": criticality; priorities
// are weights here).
package admission

import (
	"math"
	"time"
)

// Constants of the limit: numbers of requests, or ratios.
const (
	averageWeight        = 0.06 // weight of a new sample in averages (about 16 samples)
	minLimitPerEndpoint  = 5.0  // minimum of the limit for each endpoint of this replica's share
	limitGain            = 0.25 // requests per response, multiplied by 1 - latency/target
	maxLimitRatio        = 2    // of the limit to the mean requests in flight, up to which the limit grows
	overloadRatio        = 1.33 // mean ratio of latencies to targets from which endpoints are overloaded
	maxLatencyRatio      = 2.0  // cap on the ratio of a slow response; a failure counts as this ratio
	minRejectionDecrease = 0.2  // minimum share by which a decrease after a rejection lowers the limit
)

// shedShareWeight is the weight of one request in the average share of load that is shed.
const shedShareWeight = averageWeight / 4

// Constants of the latency target: ratios.
const (
	targetToGeometricMean = 0.75 // of the target to the geometric mean of base latency and latency objective
	minTargetToBase       = 1.35 // minimum ratio of the target to the base latency
	maxTargetReduction    = 0.3  // share by which the target is lowered when all load is shed
)

// Limiter counts the attempts that this replica has in flight and limits their number.
type Limiter struct {
	inFlight     int
	meanInFlight float64 // moving average, sampled at each send
	shedShare    float64 // share of requests answered without an attempt, a moving average
	priorities   Priorities

	limit            float64       // 0: not initialized
	initialGrowth    bool          // the limit grows by whole requests until endpoints appear overloaded
	meanLatencyRatio float64       // moving average of the ratios of latencies to their targets
	nextDecrease     time.Duration // earliest time of the next decrease after a rejection
}

// Configure sets the classes and weights of new settings.
func (l *Limiter) Configure(priorities Priorities) { l.priorities = priorities }

// Initialize sets the limit to its minimum when the first endpoints are known. Later calls have no effect.
func (l *Limiter) Initialize(endpointsPerReplica float64) {
	if l.limit == 0 {
		l.limit, l.initialGrowth = minLimit(endpointsPerReplica), true
	}
}

// minLimit returns the minimum of the limit.
func minLimit(endpointsPerReplica float64) float64 { return minLimitPerEndpoint * endpointsPerReplica }

// StartAttempt counts an attempt that is sent.
func (l *Limiter) StartAttempt() {
	l.inFlight++
	l.meanInFlight += averageWeight * (float64(l.inFlight) - l.meanInFlight)
}

// EndAttempt counts the end of an attempt.
func (l *Limiter) EndAttempt() { l.inFlight-- }

// InFlight returns the number of attempts in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// MeanInFlight returns the moving average of the attempts in flight.
func (l *Limiter) MeanInFlight() float64 { return l.meanInFlight }

// Limit returns the maximum number of attempts in flight.
func (l *Limiter) Limit() float64 { return l.limit }

// Admits reports whether a request of the class may be sent now, within the class's share of the limit. A
// retry by a client has used up most of its latency objective. It must leave half of the limit to first
// attempts, since retries prolong an overload.
func (l *Limiter) Admits(class *Class, retry bool) bool {
	inFlight := float64(l.inFlight)
	if retry {
		inFlight *= 2
	}
	return inFlight < l.limit*l.priorities.limitShare(class, retry, l.shedShare)
}

// ObserveArrival counts a request of the class.
func (l *Limiter) ObserveArrival(class *Class) { l.priorities.observeArrival(class) }

// Priority returns the priority of a request of the class among those that wait for capacity.
func (l *Limiter) Priority(class *Class, retry bool) float64 {
	return l.priorities.priority(class, retry)
}

// ObserveAdmitted records that the first attempt of a request is sent.
func (l *Limiter) ObserveAdmitted() { l.shedShare -= shedShareWeight * l.shedShare }

// ObserveShed records that a request was answered without an attempt.
func (l *Limiter) ObserveShed() { l.shedShare += shedShareWeight * (1 - l.shedShare) }

// ShedShare returns the share of requests that are answered without an attempt.
func (l *Limiter) ShedShare() float64 { return l.shedShare }

// ObserveSuccess adjusts the limit to keep latencies at their target. Overloaded endpoints slow down and stay
// slow, so the excess load must wait or be rejected here. Slow responses lower the limit, fast ones raise it.
func (l *Limiter) ObserveSuccess(class *Class, latency, endpointsPerReplica float64) {
	latencyRatio := min(maxLatencyRatio, latency/class.latencyTarget(l.shedShare))
	l.observeLatencyRatio(latencyRatio)
	l.adjust(latencyRatio, endpointsPerReplica)
}

// ObserveFailure lowers the limit for an attempt that may have failed because of overload.
func (l *Limiter) ObserveFailure(endpointsPerReplica float64) {
	l.observeLatencyRatio(maxLatencyRatio)
	l.adjust(maxLatencyRatio, endpointsPerReplica)
}

// ObserveRejection lowers the limit when an endpoint's queue had no room for a request. A full queue shows
// overload before latencies do, and latencies show little of it while the tiers below are slow.
func (l *Limiter) ObserveRejection(now time.Duration, class *Class, endpointsPerReplica float64) {
	l.observeLatencyRatio(maxLatencyRatio)
	l.decrease(now, time.Duration(class.Latency.Mean()))
	l.adjust(maxLatencyRatio, endpointsPerReplica)
}

// observeLatencyRatio records the ratio of a latency to its target. Once responses are slow on average, the
// limit loses its unused part at once. If it were lowered by steps, it would stay too high until the
// endpoints are full, because the responses that show the overload arrive late by then.
func (l *Limiter) observeLatencyRatio(latencyRatio float64) {
	l.meanLatencyRatio += averageWeight * (latencyRatio - l.meanLatencyRatio)
	if l.meanLatencyRatio > overloadRatio {
		l.initialGrowth = false
		l.limit = min(l.limit, l.meanInFlight+1)
	}
}

// decrease removes the unused part of the limit, and at least a fixed share of it. At least pause, one round
// of responses, passes between two decreases.
func (l *Limiter) decrease(now, pause time.Duration) {
	l.initialGrowth = false
	if now >= l.nextDecrease {
		l.nextDecrease = now + pause
		l.limit = min((1-minRejectionDecrease)*l.limit, l.meanInFlight+1)
	}
}

// adjust moves the limit by the step of one response, but not below its minimum.
func (l *Limiter) adjust(latencyRatio, endpointsPerReplica float64) {
	l.limit = max(l.limit+l.step(latencyRatio), 1, minLimit(endpointsPerReplica))
}

// step returns the change of the limit for one response. A small limit changes by up to one request per round
// of responses; with smaller steps, one replica among many would take a day to raise it. The limit grows up
// to a multiple of the mean requests in flight. If it grew only while nearly used up, it would fall by chance
// at a replica with little traffic, which seldom uses it up.
//
// A new replica starts with the minimum, and each fast response raises its limit by a whole request until
// endpoints are overloaded (slow start). It can't know how many requests endpoints still hold for other
// replicas, or for replicas that have crashed: many replicas that start together with a higher limit would
// fill all endpoints at once.
func (l *Limiter) step(latencyRatio float64) float64 {
	step, used := max(limitGain, 1/l.limit)*(1-latencyRatio), l.meanInFlight
	if l.initialGrowth && latencyRatio < 1 {
		step, used = max(1, step), max(used, float64(l.inFlight))
	}
	if step > 0 && l.limit >= maxLimitRatio*(used+1) {
		return 0
	}
	return step
}

// latencyTarget returns the latency that the limit aims at, slightly below the geometric mean of a class's
// base latency and its objective. A class whose work alone takes most of the objective does not show overload
// by its latency. One whose work takes little of it waits in long queues, which slow endpoints down, well
// before the objective is reached. The more load is shed, the more certain it is that some endpoints are
// overloaded, and a lower target is better. It must not be so low that only an idle endpoint meets it, or
// load shedding would sustain itself.
func (c *Class) latencyTarget(shed float64) float64 {
	objective, base := float64(c.Objective), c.Latency.Base()
	reducedTarget := (1 - maxTargetReduction*shed) * targetToGeometricMean * math.Sqrt(base*objective)
	return min(objective, max(minTargetToBase*base, reducedTarget))
}
