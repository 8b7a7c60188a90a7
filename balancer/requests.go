// The life cycle of a request: accepted, queued or sent, attempts ended, retried, answered, forgotten.

package balancer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/retrybudget"
)

// requestTokenPrefix stands before a request's id in the token of its timer.
const requestTokenPrefix = "r:"

// accept takes a new request.
func (b *Balancer) accept(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	req := newRequest(b.now, e, b.classes.get(e.Class))
	b.requests[e.ID] = req
	b.endpoints.observeRequest(b.now, req.work)
	if b.settings.Tier == 0 {
		req.inferFirstAttempt(b.now, e.FirstByte)
	}
	b.admission.ObserveArrival(&req.class.admission)
	if b.shuttingDown {
		b.answer(req)
		return
	}
	b.dispatch(req)
}

// dispatch sends a request, or queues it while no endpoint may take it.
func (b *Balancer) dispatch(req *request) {
	if !b.atCapacity(req) {
		if ep := b.chooseEndpoint(req); ep != nil {
			b.send(req, ep)
			return
		}
	}
	b.enqueue(req)
}

// atCapacity says that this request can't be sent now: no endpoint is ready, or as many requests are in
// flight as the tiers below answer in time. Only the first tier limits them: a request rejected further down
// wastes the work done above it.
func (b *Balancer) atCapacity(req *request) bool {
	if b.endpoints.ReadyCount() == 0 {
		return true
	}
	return b.settings.Tier == 0 && !b.admission.Admits(&req.class.admission, req.isRetry)
}

func (b *Balancer) priority(req *request) float64 {
	return b.admission.Priority(&req.class.admission, req.isRetry)
}

// chooseEndpoint picks an endpoint for the next attempt of a request; nil: none is eligible.
func (b *Balancer) chooseEndpoint(req *request) *endpoints.Endpoint {
	return b.endpoints.choose(b.now, req, load{
		inFlight: b.admission.InFlight(), meanInFlight: b.admission.MeanInFlight(),
		shedShare: b.admission.ShedShare(),
	})
}

// dispatchQueued sends requests from the queue while there is capacity, the highest priority first.
func (b *Balancer) dispatchQueued() {
	for tries := b.queue.len(); tries > 0 && b.queue.len() > 0; tries-- {
		best := b.queue.highestPriority(b.priority)
		if b.atCapacity(best) {
			return
		}
		ep := b.chooseEndpoint(best)
		if ep == nil {
			return
		}
		b.send(best, ep)
	}
}

// send begins the next attempt of a request.
func (b *Balancer) send(req *request, ep *endpoints.Endpoint) {
	notAfter := req.dedupDeadline(b.settings.Tick)
	a := req.startAttempt(b.now, ep)
	if a.number == 0 {
		b.admission.ObserveAdmitted()
	}
	b.queue.remove(req)
	b.endpoints.startAttempt(b.now, a)
	b.admission.StartAttempt()
	timeout := req.attemptTimeout(b.now, &b.settings, b.retryBudget.CanWithdraw(retrybudget.FullCost))
	b.emit(Send{ID: req.id, Endpoint: ep.ID, Timeout: max(timeout, b.settings.Tick), NotAfter: notAfter})
}

// enqueue keeps a request in the queue as long as that makes sense. Its timer makes sure that it is answered.
func (b *Balancer) enqueue(req *request) {
	deadline := req.queueDeadline(&b.settings, b.endpoints.ReadyCount())
	if b.now >= deadline {
		b.answer(req)
		return
	}
	b.queue.add(req)
	b.setTimer(req, min(deadline, b.endpoints.nextCheck(b.now)))
}

// setTimer asks for a review of a request, unless one is due by then already.
func (b *Balancer) setTimer(req *request, at time.Duration) {
	at = max(at, b.now+1)
	if req.needsTimer(b.now, at) {
		b.emit(SetTimer{At: at, Token: requestTokenPrefix + req.id})
	}
}

// reviewQueued looks again at a request, by the token of its timer, and then at the queue.
func (b *Balancer) reviewQueued(token string) {
	req := b.requests[strings.TrimPrefix(token, requestTokenPrefix)]
	if req == nil {
		return
	}
	req.endTimer(b.now, b.settings.Tick)
	if req.queued {
		b.enqueue(req)
		b.dispatchQueued()
	}
}

// endAttempt handles the result of an attempt. Where the host itself delayed it, it shows nothing.
func (b *Balancer) endAttempt(e AttemptEnded) {
	req := b.requests[e.ID]
	if req == nil {
		return
	}
	a := req.inFlightAttempt(e.Attempt)
	if a == nil {
		return
	}
	b.recordAttemptEnd(a, e)
	switch {
	case e.Answered:
		if e.Result == Success && !req.answered && b.now <= req.arrived+req.class.LatencyObjective {
			req.class.traffic.ObserveOnTime()
		}
		b.finish(req)
	case req.hasFailed():
		b.retryOrAnswer(req)
	}
	b.forget(req)
	b.dispatchQueued()
}

// recordAttemptEnd takes an attempt off the counts and lets the mechanisms learn from it.
func (b *Balancer) recordAttemptEnd(a *attempt, e AttemptEnded) {
	a.end(e.Result)
	b.admission.EndAttempt()
	// The waits of an unresponsive endpoint say nothing of how loaded the others are.
	if !e.HeldUp && !b.endpoints.suspects(b.now, a.endpoint) {
		b.adjustLimit(a, e.Result)
	}
	if !e.HeldUp && e.Result == Success {
		b.retryBudget.Deposit()
	}
	b.endpoints.end(b.now, a, e.Result, e.HeldUp)
}

// adjustLimit moves the concurrency limit of the first tier by the result of an attempt.
func (b *Balancer) adjustLimit(a *attempt, result AttemptResult) {
	if b.settings.Tier > 0 {
		return
	}
	class := &a.request.class.admission
	switch result {
	case Success:
		b.admission.ObserveSuccess(class, float64(b.now-a.sent), b.endpoints.PerReplica())
	case TimedOut, ConnectFailed:
		b.admission.ObserveFailure(b.endpoints.PerReplica())
	case Rejected:
		b.admission.ObserveRejection(b.now, class, b.endpoints.PerReplica())
	default: // shows nothing of the load
	}
}

// retryOrAnswer decides what follows when a request has no attempt in flight: a retry, if it is allowed, paid
// for, likely to be answered in time and an endpoint is eligible; else the final answer. Requests are never
// hedged: a second attempt begins only when the first one has ended.
func (b *Balancer) retryOrAnswer(req *request) {
	left := float64(req.responseDeadline(&b.settings) - b.now)
	cost := req.retryCost()
	if req.mayRetry(b.now, &b.settings) && b.retryBudget.CanWithdraw(cost) &&
		left >= req.class.latency.Mean()/2 {
		if ep := b.chooseEndpoint(req); ep != nil {
			b.retryBudget.Withdraw(cost)
			b.send(req, ep)
			return
		}
	}
	b.answer(req)
}

// answer gives the final answer: a rejection where the rules let it promise that a retry does no harm, else a
// failure.
func (b *Balancer) answer(req *request) {
	if req.answered || req.streaming {
		return
	}
	if len(req.attempts) == 0 {
		b.admission.ObserveShed()
	}
	if req.harmlessToRetry() {
		// A client that waits long comes back when its latency objective is mostly used up, and its
		// late answer takes capacity from one in time; the concurrency limit, not the clients' absence, holds
		// the load off.
		b.emit(Reject{ID: req.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: req.id})
	}
	b.finish(req)
}

// startStream records that the answer has begun: the attempt is the client's from here on.
func (b *Balancer) startStream(e StreamStarted) {
	if req := b.requests[e.ID]; req != nil {
		req.streaming = true
	}
}

// abandon ends a request whose client has left.
func (b *Balancer) abandon(e ClientGone) {
	if req := b.requests[e.ID]; req != nil {
		b.finish(req)
	}
}

// shutdown answers all requests, in an order that is the same each time.
func (b *Balancer) shutdown() {
	b.shuttingDown = true
	var unanswered []*request
	for _, req := range b.requests {
		if !req.answered {
			unanswered = append(unanswered, req)
		}
	}
	slices.SortFunc(unanswered, func(p, q *request) int { return cmp.Compare(p.id, q.id) })
	for _, req := range unanswered {
		b.answer(req)
	}
}

// finish ends a request and cancels its attempts in flight.
func (b *Balancer) finish(req *request) {
	if req.answered {
		return
	}
	req.answered = true
	b.queue.remove(req)
	for _, a := range req.attempts {
		if !a.ended && b.settings.AllowCancel {
			b.emit(Cancel{ID: req.id, Attempt: a.number})
		}
	}
	b.forget(req)
}

// forget drops a request once it is answered and its attempts have ended.
func (b *Balancer) forget(req *request) {
	if req.isOver() {
		delete(b.requests, req.id)
	}
}
