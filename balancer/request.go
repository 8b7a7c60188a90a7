package balancer

import (
	"slices"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/retrybudget"
)

// hangingShare is the share of a class's attempts that may fail before attempts get only half of the time
// that is left.
const hangingShare = 0.05

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id        string
	class     *class
	arrived   time.Duration // when the client's first attempt arrived, as far as it is known
	deadline  time.Duration
	work      float64 // that the client expects, in ns; 0: unknown
	attempts  []*attempt
	inFlight  int  // attempts that have not ended
	isRetry   bool // the client's, by its mark or its timeout
	queued    bool
	answered  bool
	streaming bool
	timerAt   time.Duration // when its timer is due
}

// attempt is one send of a request.
type attempt struct {
	request  *request
	endpoint *endpoints.Endpoint
	number   int // from 0
	sent     time.Duration
	zone     string // of the endpoint at that time
	cell     int
	ended    bool
	neverRan bool // proved never to have run
	notSent  bool // nor to have reached an endpoint
}

// newRequest returns a request that arrives now.
func newRequest(now time.Duration, e Request, class *class) *request {
	return &request{
		id: e.ID, class: class, arrived: now, deadline: e.Deadline, isRetry: e.Retry,
		work: max(0, float64(e.ExpectedWork)),
	}
}

// inferFirstAttempt finds when the client's first attempt began. Most attempts of a class have the same
// timeout, a share of its deadline. One with another timeout has all that earlier attempts left: less than
// the share, or more where it is the last. This would hurt the clients in the minority if those of one class
// used different timeouts. A timeout runs from the first byte (0: now), so that a request that is written
// slowly does not look unusual.
func (req *request) inferFirstAttempt(now, firstByte time.Duration) {
	began := now
	if firstByte > 0 {
		began = min(now, firstByte)
	}
	c := req.class
	if c.timeout.Observe(float64(req.deadline - began)) {
		return
	}
	req.arrived = min(now, req.deadline-c.Deadline)
	req.isRetry = req.isRetry || began-req.arrived > c.LatencyObjective/2
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

// inFlightAttempt returns the attempt with this number, or nil if there is none in flight.
func (req *request) inFlightAttempt(number int) *attempt {
	if number < 0 || number >= len(req.attempts) || req.attempts[number].ended {
		return nil
	}
	return req.attempts[number]
}

// isOver says that the request is answered and that its attempts have ended.
func (req *request) isOver() bool { return req.answered && req.inFlight == 0 }

// hasFailed says that the request is unanswered and that its attempts have ended.
func (req *request) hasFailed() bool { return !req.answered && req.inFlight == 0 }

// mayHaveRun says that some attempt may have run.
func (req *request) mayHaveRun() bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.neverRan })
}

// harmlessToRetry says that a retry by the client does no harm, whatever endpoint it comes to.
func (req *request) harmlessToRetry() bool {
	effect, scope := req.class.Effect, req.class.Scope
	harmful := effect == NonIdempotent || effect == IdempotentByKey && scope != ScopeAll
	return !harmful || !req.mayHaveRun()
}

// mayRetry says whether the effect of the request's class and the limit on attempts allow one more attempt.
func (req *request) mayRetry(now time.Duration, settings *Settings) bool {
	if req.answered || req.streaming || len(req.attempts) >= max(1, settings.MaxAttempts) {
		return false
	}
	if until := req.dedupDeadline(settings.Tick); until > 0 && now >= until {
		return false
	}
	return req.class.Effect != NonIdempotent || !req.mayHaveRun()
}

// retryCost returns what a retry costs, by the last attempt: the less that can have asked of an endpoint, the
// cheaper it is.
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

// tried says that the request has been sent to the endpoint before.
func (req *request) tried(ep *endpoints.Endpoint) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.endpoint == ep })
}

// inDedupScope says that the endpoint discards the repeat of a request with an idempotency key that may have
// run.
func (req *request) inDedupScope(ep *endpoints.Endpoint) bool {
	if req.class.Effect != IdempotentByKey {
		return true
	}
	return !slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		inCell := a.cell == ep.Cell || req.class.Scope == ScopeZone
		return !a.neverRan && req.class.Scope != ScopeAll && (a.zone != ep.Zone || !inCell)
	})
}

// dedupDeadline returns the time when the endpoints stop discarding the repeats of what may have run. 0: no
// attempt may have run, or the class has no idempotency keys. It is checked before the send here and, as a
// connection may be established late, once more by the host.
func (req *request) dedupDeadline(tick time.Duration) (until time.Duration) {
	for _, a := range req.attempts {
		end := a.sent + req.class.DedupWindow - 2*tick
		if req.class.Effect == IdempotentByKey && !a.neverRan && (until == 0 || end < until) {
			until = max(end, 1)
		}
	}
	return until
}

// attemptTimeout returns how long an attempt is waited for. An endpoint that lets a request hang takes all
// the time that is left. Where that happens, an idempotent request that may be retried gives an attempt half
// of it, if nearly all answers come within that. This hurts requests that take long by themselves; in the
// first tier the work already done further down would be lost with the attempt.
func (req *request) attemptTimeout(now time.Duration, settings *Settings, retryIsPaid bool) time.Duration {
	c, left := req.class, req.responseDeadline(settings)-now
	retryLikely := c.Effect == Idempotent && len(req.attempts) < settings.MaxAttempts && retryIsPaid
	if retryLikely && settings.Tier > 0 && c.failureRate.Share() > hangingShare &&
		left/2 > c.latency.SlowThreshold() {
		return left / 2
	}
	return left
}

// responseDeadline returns the time from which an answer is worth nothing: work that continues after it takes
// capacity from answers that come in time. Below the first tier only the deadline is known.
func (req *request) responseDeadline(settings *Settings) time.Duration {
	if settings.Tier > 0 || req.class.LateValue > 0 || req.isRetry {
		return req.deadline
	}
	return min(req.deadline, req.arrived+req.class.LatencyObjective-2*settings.Tick)
}

// queueDeadline returns the time up to which it makes sense to keep a request in the queue: until its answer
// may well miss the latency objective, since late answers take capacity from those in time. With no endpoint
// at all a late answer is the best there can be, so then almost until the deadline.
func (req *request) queueDeadline(settings *Settings, endpointsReady int) time.Duration {
	last := req.deadline - 2*settings.Tick
	if endpointsReady == 0 {
		return last
	}
	objective := req.class.LatencyObjective
	slack := max(objective/4, objective-req.class.latency.TypicalMax())
	return min(last, req.arrived+slack)
}

// needsTimer says whether the request needs a timer at this time, and records it. It needs none if one is due
// by then already.
func (req *request) needsTimer(now, at time.Duration) bool {
	if req.timerAt > now && req.timerAt <= at {
		return false
	}
	req.timerAt = at
	return true
}

// endTimer records that the request's timer has fired.
func (req *request) endTimer(now, tick time.Duration) {
	if now+tick >= req.timerAt {
		req.timerAt = 0
	}
}
