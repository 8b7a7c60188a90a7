// The life cycle of a request: accepted, queued or sent, attempts ended, answered, forgotten.

package balancer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"basaltdrum/balancer/internal/endpoints"
)

// requestTokenPrefix stands before a request's id in the token of its timer.
const requestTokenPrefix = "r:"

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id        string
	class     *class
	arrived   time.Duration // when the client's first attempt arrived, as far as it is known
	deadline  time.Duration
	work      float64 // that the client expects, in ns; 0: unknown
	attempts  []*attempt
	inFlight  int  // attempts that have not ended
	retry     bool // the client's, by its mark or its timeout
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

// accept takes a new request.
func (b *Balancer) accept(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	req := &request{
		id: e.ID, class: b.classes.get(e.Class), arrived: b.now, deadline: e.Deadline, retry: e.Retry,
		work: max(0, float64(e.ExpectedWork)),
	}
	b.requests[e.ID] = req
	b.slowStart.ObserveRequest(b.now, req.work)
	b.inferFirstAttempt(req, e.FirstByte)
	b.priorities.ObserveArrival(&req.class.admission)
	if b.shuttingDown {
		b.answer(req)
		return
	}
	b.dispatch(req)
}

// inferFirstAttempt finds when the client's first attempt began. Most attempts of a class have the same
// timeout, a share of its deadline. One with another timeout has all that earlier attempts left: less than
// the share, or more where it is the last. This would hurt the clients in the minority if those of one class
// used different timeouts. A timeout runs from the first byte (0: now), so that a request that is written
// slowly does not look unusual.
func (b *Balancer) inferFirstAttempt(req *request, firstByte time.Duration) {
	if b.settings.Tier > 0 {
		return
	}
	began := b.now
	if firstByte > 0 {
		began = min(b.now, firstByte)
	}
	c := req.class
	if c.timeout.Vote(float64(req.deadline - began)) {
		return
	}
	req.arrived = min(b.now, req.deadline-c.Deadline)
	req.retry = req.retry || began-req.arrived > c.LatencyObjective/2
}

// dispatch sends a request, or queues it while no endpoint may take it.
func (b *Balancer) dispatch(req *request) {
	if !b.atCapacity(req) {
		if ep := b.choose(req); ep != nil {
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
	if b.endpoints.Ready() == 0 {
		return true
	}
	return b.settings.Tier == 0 && !b.admission.Admits(b.limitShare(req), req.retry)
}

// limitShare returns the part of the concurrency limit that a request may use.
func (b *Balancer) limitShare(req *request) float64 {
	return b.priorities.LimitShare(&req.class.admission, req.retry, b.admission.ShedShare())
}

func (b *Balancer) priority(req *request) float64 {
	return b.priorities.Of(&req.class.admission, req.retry)
}

// dispatchQueued sends requests from the queue while there is capacity, the highest priority first.
func (b *Balancer) dispatchQueued() {
	for tries := len(b.queue); tries > 0 && len(b.queue) > 0; tries-- {
		best := b.queue[0]
		for _, req := range b.queue[1:] {
			if b.priority(req) >= b.priority(best) { // equal: the youngest has most time left
				best = req
			}
		}
		if b.atCapacity(best) {
			return
		}
		ep := b.choose(best)
		if ep == nil {
			return
		}
		b.send(best, ep)
	}
}

// send begins the next attempt of a request.
func (b *Balancer) send(req *request, ep *endpoints.Endpoint) {
	notAfter := b.dedupDeadline(req)
	a := &attempt{
		request: req, endpoint: ep, number: len(req.attempts), sent: b.now, zone: ep.Zone, cell: ep.Cell,
	}
	if a.number == 0 {
		b.admission.ObserveAdmitted()
	}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	b.dequeue(req)
	b.slowStart.Spend(&ep.SlowStart, b.now, req.work)
	ep.Attempts.Begin(b.now, &req.class.latency)
	b.admission.Begin()
	timeout := max(b.attemptTimeout(req), b.settings.Tick)
	b.emit(Send{ID: req.id, Endpoint: ep.ID, Timeout: timeout, NotAfter: notAfter})
}

// enqueue keeps a request in the queue as long as that makes sense. Its timer makes sure that it is answered.
func (b *Balancer) enqueue(req *request) {
	if b.now >= b.queueDeadline(req) {
		b.answer(req)
		return
	}
	if !req.queued {
		req.queued = true
		b.queue = append(b.queue, req)
	}
	b.setTimer(req, min(b.queueDeadline(req), b.nextFillCheck()))
}

func (b *Balancer) dequeue(req *request) {
	req.queued = false
	b.queue = slices.DeleteFunc(b.queue, func(queued *request) bool { return queued == req })
}

// setTimer asks for a review of a request, unless one is due by then already.
func (b *Balancer) setTimer(req *request, at time.Duration) {
	at = max(at, b.now+1)
	if req.timerAt > b.now && req.timerAt <= at {
		return
	}
	req.timerAt = at
	b.emit(SetTimer{At: at, Token: requestTokenPrefix + req.id})
}

// reviewQueued looks again at a request, by the token of its timer, and then at the queue.
func (b *Balancer) reviewQueued(token string) {
	req := b.requests[strings.TrimPrefix(token, requestTokenPrefix)]
	if req == nil {
		return
	}
	if b.now+b.settings.Tick >= req.timerAt {
		req.timerAt = 0
	}
	if req.queued {
		b.enqueue(req)
		b.dispatchQueued()
	}
}

// endAttempt takes in the result of an attempt. Where the host itself delayed it, it shows nothing.
func (b *Balancer) endAttempt(e AttemptEnded) {
	req := b.requests[e.ID]
	if req == nil || e.Attempt < 0 || e.Attempt >= len(req.attempts) || req.attempts[e.Attempt].ended {
		return
	}
	a := req.attempts[e.Attempt]
	b.closeAttempt(a, e)
	switch {
	case e.Answered:
		if e.Result == Success && !req.answered && b.now <= req.arrived+req.class.LatencyObjective {
			req.class.traffic.ObserveServed()
		}
		b.finish(req)
	case !req.answered && req.inFlight == 0:
		b.retryOrAnswer(req)
	}
	b.forget(req)
	b.dispatchQueued()
}

// closeAttempt takes an attempt off the counts and lets the mechanisms learn from it.
func (b *Balancer) closeAttempt(a *attempt, e AttemptEnded) {
	ep := a.endpoint
	a.ended = true
	a.neverRan = e.Result == Rejected || e.Result == ConnectFailed || e.Result == NotSent
	a.notSent = e.Result == NotSent
	a.request.inFlight--
	b.admission.End()
	// The waits of an unresponsive endpoint say nothing of how loaded the others are.
	if !e.HeldUp && !b.responses.Suspects(&ep.Attempts, b.now) {
		b.adjustLimit(a, e.Result)
	}
	ep.Attempts.End(a.sent, &a.request.class.latency)
	if !e.HeldUp {
		b.observeAttempt(a, e.Result)
	}
	b.endpoints.Release(ep)
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
		// A client that is told to wait long comes back when its latency objective is mostly used up, and its
		// late answer takes capacity from one in time; the concurrency limit, not the clients' absence, holds
		// the load off.
		b.emit(Reject{ID: req.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: req.id})
	}
	b.finish(req)
}

// harmlessToRetry says that a retry by the client does no harm, whatever endpoint it comes to.
func (req *request) harmlessToRetry() bool {
	effect, scope := req.class.Effect, req.class.Scope
	harmful := effect == NonIdempotent || effect == IdempotentByKey && scope != ScopeAll
	return !harmful || !slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.neverRan })
}

// startStream takes in that the answer has begun: the attempt is the client's from here on.
func (b *Balancer) startStream(e StreamStarted) {
	if req := b.requests[e.ID]; req != nil {
		req.streaming = true
	}
}

// abandon ends a request whose client is gone.
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
	b.dequeue(req)
	for _, a := range req.attempts {
		if !a.ended && b.settings.AllowCancel {
			b.emit(Cancel{ID: req.id, Attempt: a.number})
		}
	}
	b.forget(req)
}

// forget drops a request once it is answered and its attempts have ended.
func (b *Balancer) forget(req *request) {
	if req.answered && req.inFlight == 0 {
		delete(b.requests, req.id)
	}
}
