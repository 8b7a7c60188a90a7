package balancer

import (
	"slices"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/retrybudget"
)

// halfTimeoutFailureRate is the failure rate of a class above which its attempts get only half of the
// remaining time.
const halfTimeoutFailureRate = 0.05

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id           string
	class        *class
	arrived      time.Duration // arrival of the client's first attempt, as far as known
	deadline     time.Duration
	expectedWork float64 // hint of the client, in ns; 0: unknown
	attempts     []*attempt
	inFlight     int  // attempts that have not ended
	isRetry      bool // retry by the client, as marked or as inferred from its timeout
	queued       bool
	answered     bool
	streaming    bool
	timerDue     time.Duration // clock time of its pending timer; 0: none
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	request  *request
	endpoint *endpoints.Endpoint
	number   int // from 0
	sent     time.Duration
	zone     string // zone of the endpoint when the attempt was sent
	cell     int
	ended    bool
	neverRan bool // known not to have run
	notSent  bool // known not to have reached an endpoint
}

// newRequest returns a request that arrives now.
func newRequest(now time.Duration, e Request, class *class) *request {
	return &request{
		id: e.ID, class: class, arrived: now, deadline: e.Deadline, isRetry: e.Retry,
		expectedWork: max(0, float64(e.ExpectedWork)),
	}
}

// inferFirstAttempt estimates when the client's first attempt started. Most attempts of a class use the same
// timeout, a share of the class's deadline. An attempt with another timeout is a retry that has the time left
// by earlier attempts: less than the usual timeout, or more if it is the last. If the clients of a class used
// different timeouts, this would treat those in the minority unfairly. A timeout is measured from the first
// byte (0: now), so that a request that is written slowly does not appear to have an unusual one.
func (req *request) inferFirstAttempt(now, firstByte time.Duration) {
	started := now
	if firstByte > 0 {
		started = min(now, firstByte)
	}
	c := req.class
	if c.timeout.Observe(float64(req.deadline - started)) {
		return
	}
	req.arrived = min(now, req.deadline-c.Deadline)
	req.isRetry = req.isRetry || started-req.arrived > c.LatencyObjective/2
}

// startAttempt adds an attempt that is sent to an endpoint now.
func (req *request) startAttempt(now time.Duration, ep *endpoints.Endpoint) *attempt {
	a := &attempt{
		request: req, endpoint: ep, number: len(req.attempts), sent: now, zone: ep.Zone, cell: ep.Cell,
	}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	return a
}

// end records the result of the attempt.
func (a *attempt) end(result AttemptResult) {
	a.ended = true
	a.neverRan = result == Rejected || result == ConnectFailed || result == NotSent
	a.notSent = result == NotSent
	a.request.inFlight--
}

// inFlightAttempt returns the attempt with this number, or nil if it is not in flight.
func (req *request) inFlightAttempt(number int) *attempt {
	if number < 0 || number >= len(req.attempts) || req.attempts[number].ended {
		return nil
	}
	return req.attempts[number]
}

// isComplete reports whether the request is answered and all its attempts have ended.
func (req *request) isComplete() bool { return req.answered && req.inFlight == 0 }

// allAttemptsFailed reports whether the request is not answered although all its attempts have ended.
func (req *request) allAttemptsFailed() bool { return !req.answered && req.inFlight == 0 }

// mayHaveRun reports whether any attempt may have run.
func (req *request) mayHaveRun() bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.neverRan })
}

// harmlessToRetry reports whether a retry by the client is harmless, whichever endpoint receives it.
func (req *request) harmlessToRetry() bool {
	effect, scope := req.class.Effect, req.class.Scope
	harmful := effect == NonIdempotent || effect == IdempotentByKey && scope != ScopeAll
	return !harmful || !req.mayHaveRun()
}

// mayRetry reports whether the effect of the request's class, its deduplication window and the limit on
// attempts allow one more attempt.
func (req *request) mayRetry(now time.Duration, settings *Settings) bool {
	if req.answered || req.streaming || len(req.attempts) >= max(1, settings.MaxAttempts) {
		return false
	}
	if until := req.dedupDeadline(settings.Tick); until > 0 && now >= until {
		return false
	}
	return req.class.Effect != NonIdempotent || !req.mayHaveRun()
}

// retryCost returns the retry budget that a retry consumes. It is lower the less load the last attempt can
// have put on an endpoint.
func (req *request) retryCost() float64 {
	last := req.attempts[len(req.attempts)-1]
	switch {
	case last.notSent:
		return retrybudget.NotSentCost
	case last.neverRan:
		return retrybudget.NeverRanCost
	}
	return retrybudget.FullCost
}

// wasSentTo reports whether an earlier attempt was sent to the endpoint.
func (req *request) wasSentTo(ep *endpoints.Endpoint) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.endpoint == ep })
}

// inDedupScope reports whether the endpoint discards duplicates of all attempts that may have run, for a
// request with an idempotency key; it is true for every other request.
func (req *request) inDedupScope(ep *endpoints.Endpoint) bool {
	if req.class.Effect != IdempotentByKey {
		return true
	}
	return !slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		inCell := a.cell == ep.Cell || req.class.Scope == ScopeZone
		return !a.neverRan && req.class.Scope != ScopeAll && (a.zone != ep.Zone || !inCell)
	})
}

// dedupDeadline returns the earliest time at which endpoints stop discarding duplicates of an attempt that
// may have run, less two ticks. 0: no attempt may have run, or the class has no idempotency keys. The
// Balancer checks this time before the send and, as a connection may take time to establish, the host checks
// it again.
func (req *request) dedupDeadline(tick time.Duration) (until time.Duration) {
	for _, a := range req.attempts {
		windowEnd := a.sent + req.class.DedupWindow - 2*tick
		if req.class.Effect == IdempotentByKey && !a.neverRan && (until == 0 || windowEnd < until) {
			until = max(windowEnd, 1)
		}
	}
	return until
}

// attemptTimeout returns the timeout of the attempt that has just been added. An endpoint that hangs uses up
// all the remaining time. While many attempts of its class fail, an idempotent request that may be retried
// therefore gets half of the remaining time per attempt, if nearly all responses arrive within that. This is
// a disadvantage for requests that are slow by nature. It does not apply in the first tier, where the work
// already done by the tiers below would be lost with the attempt.
func (req *request) attemptTimeout(now time.Duration, settings *Settings, retryInBudget bool) time.Duration {
	c, left := req.class, req.responseDeadline(settings)-now
	retryLikely := c.Effect == Idempotent && len(req.attempts) < settings.MaxAttempts && retryInBudget
	if retryLikely && settings.Tier > 0 && c.failureRate.Share() > halfTimeoutFailureRate &&
		left/2 > c.latency.SlowThreshold() {
		return left / 2
	}
	return left
}

// responseDeadline returns the time from which a response has no value: work that continues after it takes
// capacity from responses that are in time. Below the first tier only the request's deadline is known.
func (req *request) responseDeadline(settings *Settings) time.Duration {
	if settings.Tier > 0 || req.class.LateValue > 0 || req.isRetry {
		return req.deadline
	}
	return min(req.deadline, req.arrived+req.class.LatencyObjective-2*settings.Tick)
}

// queueDeadline returns the time until which the request may stay in the queue: until its response would
// probably miss the latency objective, since late responses take capacity from those in time. If no endpoint
// is ready, a late response is the best possible outcome, so the request may wait almost until its deadline.
func (req *request) queueDeadline(settings *Settings, endpointsReady int) time.Duration {
	last := req.deadline - 2*settings.Tick
	if endpointsReady == 0 {
		return last
	}
	objective := req.class.LatencyObjective
	slack := max(objective/4, objective-req.class.latency.TypicalMax())
	return min(last, req.arrived+slack)
}

// scheduleTimer records a timer at this time and reports whether the host must be asked for it. It is not
// needed if another timer of the request is due earlier.
func (req *request) scheduleTimer(now, at time.Duration) bool {
	if req.timerDue > now && req.timerDue <= at {
		return false
	}
	req.timerDue = at
	return true
}

// clearTimer records that a timer of the request has fired, unless the pending one is due later.
func (req *request) clearTimer(now, tick time.Duration) {
	if now+tick >= req.timerDue {
		req.timerDue = 0
	}
}
