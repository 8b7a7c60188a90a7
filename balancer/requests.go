// The life cycle of a request: accepted, queued or sent, retried, answered and removed.

package balancer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/retrybudget"
)

// requestTokenPrefix is the prefix of a request's timer token, before its ID.
const requestTokenPrefix = "r:"

// accept handles a new request.
func (b *Balancer) accept(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	req := newRequest(b.now, e, b.classes.get(e.Class))
	b.requests[e.ID] = req
	b.endpoints.observeRequest(b.now, req.expectedWork)
	if b.settings.Tier == 0 {
		req.inferFirstAttempt(b.now, e.FirstByte)
	}
	b.admission.ObserveArrival(&req.class.admission)
	if b.shuttingDown {
		b.rejectOrFail(req)
		return
	}
	b.dispatch(req)
}

// dispatch sends a request, or queues it if it can't be sent now.
func (b *Balancer) dispatch(req *request) {
	if !b.atCapacity(req) {
		if ep := b.chooseEndpoint(req); ep != nil {
			b.send(req, ep)
			return
		}
	}
	b.enqueue(req)
}

// atCapacity reports whether the request can't be sent now because no endpoint is ready or because the
// concurrency limit is reached: as many requests are in flight as the tiers below answer in time. Only the
// first tier limits concurrency, as a request rejected further down wastes the work done above it.
func (b *Balancer) atCapacity(req *request) bool {
	if b.endpoints.ReadyCount() == 0 {
		return true
	}
	return b.settings.Tier == 0 && !b.admission.Admits(&req.class.admission, req.isRetry)
}

func (b *Balancer) priority(req *request) float64 {
	return b.admission.Priority(&req.class.admission, req.isRetry)
}

// chooseEndpoint chooses the endpoint of a request's next attempt, or returns nil if none is eligible.
func (b *Balancer) chooseEndpoint(req *request) *endpoints.Endpoint {
	return b.endpoints.choose(b.now, req, replicaLoad{
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

// send starts the next attempt of a request.
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

// enqueue queues a request until its queue deadline. A timer ensures that it is answered by then.
func (b *Balancer) enqueue(req *request) {
	deadline := req.queueDeadline(&b.settings, b.endpoints.ReadyCount())
	if b.now >= deadline {
		b.rejectOrFail(req)
		return
	}
	b.queue.add(req)
	b.setTimer(req, min(deadline, b.endpoints.nextCheck(b.now)))
}

// setTimer requests a timer for a request, unless one is due by then already.
func (b *Balancer) setTimer(req *request, at time.Duration) {
	at = max(at, b.now+1)
	if req.scheduleTimer(b.now, at) {
		b.emit(SetTimer{At: at, Token: requestTokenPrefix + req.id})
	}
}

// reviewQueued checks the request whose timer has fired, and then the rest of the queue.
func (b *Balancer) reviewQueued(token string) {
	req := b.requests[strings.TrimPrefix(token, requestTokenPrefix)]
	if req == nil {
		return
	}
	req.clearTimer(b.now, b.settings.Tick)
	if req.queued {
		b.enqueue(req)
		b.dispatchQueued()
	}
}

// endAttempt handles the end of an attempt.
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
	case req.allAttemptsFailed():
		b.retryOrReject(req)
	}
	b.removeIfComplete(req)
	b.dispatchQueued()
}

// recordAttemptEnd updates the counters and reports the result of the attempt to the mechanisms. The result
// of an attempt that the host itself delayed affects neither the concurrency limit, the retry budget nor the
// statistics of endpoints and classes.
func (b *Balancer) recordAttemptEnd(a *attempt, e AttemptEnded) {
	a.end(e.Result)
	b.admission.EndAttempt()
	// Waiting for an unresponsive endpoint tells nothing about the load of the others.
	if !e.DelayedByHost && !b.endpoints.suspects(b.now, a.endpoint) {
		b.adjustLimit(a, e.Result)
	}
	if !e.DelayedByHost && e.Result == Success {
		b.retryBudget.Deposit()
	}
	b.endpoints.endAttempt(b.now, a, e.Result, e.DelayedByHost)
}

// adjustLimit adjusts the concurrency limit of the first tier by the result of an attempt.
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
	default: // tells nothing about the load
	}
}

// retryOrReject continues a request that has no attempt in flight. It retries if that is allowed, within the
// retry budget and likely to be answered in time, and if an endpoint is eligible; otherwise it rejects or
// fails the request. Requests are never hedged: an attempt starts only when the previous one has ended.
func (b *Balancer) retryOrReject(req *request) {
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
	b.rejectOrFail(req)
}

// rejectOrFail answers a request without a response from an endpoint: with a rejection if a retry by the
// client is known to be harmless, otherwise with a failure.
func (b *Balancer) rejectOrFail(req *request) {
	if req.answered || req.streaming {
		return
	}
	if len(req.attempts) == 0 {
		b.admission.ObserveShed()
	}
	if req.harmlessToRetry() {
		// RetryAfter is kept short: a client that waits long returns when most of its latency objective is
		// used up, and its late response takes capacity from one in time. The load is held off by the
		// concurrency limit, not by waiting clients.
		b.emit(Reject{ID: req.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: req.id})
	}
	b.finish(req)
}

// startStream records that the response has started. From then on the attempt is not retried or replaced.
func (b *Balancer) startStream(e StreamStarted) {
	if req := b.requests[e.ID]; req != nil {
		req.streaming = true
	}
}

// abandon ends a request whose client has disconnected.
func (b *Balancer) abandon(e ClientGone) {
	if req := b.requests[e.ID]; req != nil {
		b.finish(req)
	}
}

// answerNow answers a request whose response is due before its deadline.
func (b *Balancer) answerNow(e ResponseDue) {
	if req := b.requests[e.ID]; req != nil {
		b.rejectOrFail(req)
	}
}

// shutdown answers all requests, sorted by ID so that the order is deterministic.
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
		b.rejectOrFail(req)
	}
}

// finish marks a request as answered and cancels its attempts in flight if the host can do so.
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
	b.removeIfComplete(req)
}

// removeIfComplete removes a request once it is answered and all its attempts have ended.
func (b *Balancer) removeIfComplete(req *request) {
	if req.isComplete() {
		delete(b.requests, req.id)
	}
}
