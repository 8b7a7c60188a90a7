// The life cycle of a request.

package balancer

import (
	"cmp"
	"slices"
	"time"
)

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id        string
	class     *class
	arrived   time.Duration
	deadline  time.Duration
	attempts  []*attempt
	inFlight  int
	work      float64 // hinted, in ns; 0: not told
	retry     bool    // by the client, where clients say so
	queued    bool
	answered  bool
	streaming bool
	timerAt   time.Duration
}

// attempt is one send of a request.
type attempt struct {
	request  *request
	endpoint *endpoint
	number   int
	sent     time.Duration
	zone     string
	cell     int
	ended    bool
	neverRan bool // proven never to have run
	notSent  bool // nor to have asked anything of a server
}

func (b *Balancer) accept(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := b.classes[e.Class]
	if c == nil {
		c = b.classOrder[len(b.classOrder)-1] // unknown: unsafe
	}
	req := &request{
		id: e.ID, class: c, arrived: b.now, deadline: e.Deadline, retry: e.Retry,
		work: max(0, float64(e.ExpectedWork)),
	}
	if req.work > 0 {
		b.slowStart.work.observe(req.work)
	}
	b.requests[e.ID] = req
	b.slowStart.arrivals.observe(b.now, b.settings.SlowStartDuration)
	b.inferFirstArrival(req, e.FirstByte)
	for _, k := range b.classOrder {
		k.arrivals *= 0.99
		k.served *= 0.99
	}
	c.arrivals++
	if b.shuttingDown {
		b.answer(req)
		return
	}
	b.dispatch(req)
}

// dispatch sends a request, or holds it while no server may take it.
func (b *Balancer) dispatch(req *request) {
	if !b.atCapacity(req) {
		if ep := b.choose(req); ep != nil {
			b.send(req, ep)
			return
		}
	}
	b.enqueue(req)
}

func (b *Balancer) send(req *request, ep *endpoint) {
	before := b.dedupDeadline(req)
	a := &attempt{
		request: req, endpoint: ep, number: len(req.attempts), sent: b.now, zone: ep.Zone, cell: ep.Cell,
	}
	if a.number == 0 {
		b.shedding.admitted()
	}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	b.dequeue(req)
	b.spendTokens(ep, req)
	ep.inFlight++
	ep.attempts = append(ep.attempts, a)
	b.inFlight.begin()
	timeout := max(b.attemptTimeout(req), b.settings.Tick)
	b.emit(Send{ID: req.id, Endpoint: ep.ID, Timeout: timeout, NotAfter: before})
}

// enqueue keeps a request back; its timer makes sure that it is answered.
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
	b.queue = slices.DeleteFunc(b.queue, func(h *request) bool { return h == req })
}

// setTimer asks for a review of a request, unless one is due by then already.
func (b *Balancer) setTimer(req *request, at time.Duration) {
	at = max(at, b.now+1)
	if req.timerAt > b.now && req.timerAt <= at {
		return
	}
	req.timerAt = at
	b.emit(SetTimer{At: at, Token: "r:" + req.id})
}

func (b *Balancer) endAttempt(e AttemptEnded) {
	req := b.requests[e.ID]
	if req == nil || e.Attempt < 0 || e.Attempt >= len(req.attempts) || req.attempts[e.Attempt].ended {
		return
	}
	a := req.attempts[e.Attempt]
	a.ended = true
	a.neverRan = e.Result == Rejected || e.Result == ConnectFailed || e.Result == NotSent
	a.notSent = e.Result == NotSent
	req.inFlight--
	b.inFlight.end()
	a.endpoint.inFlight--
	// A hung server's waits tell nothing of how crowded the others are.
	if !e.HeldUp && !b.isUnresponsive(a.endpoint) {
		b.adjustLimit(req, e)
	}
	a.endpoint.attempts = slices.DeleteFunc(a.endpoint.attempts, func(o *attempt) bool { return o == a })
	if !e.HeldUp {
		b.observeAttempt(a, e.Result)
	}
	if !a.endpoint.listed && a.endpoint.inFlight == 0 && b.endpoints[a.endpoint.ID] == a.endpoint {
		delete(b.endpoints, a.endpoint.ID)
	}
	switch {
	case e.Answered:
		if e.Result == Success && !req.answered && b.now <= req.arrived+req.class.LatencyObjective {
			req.class.served++
		}
		b.finish(req)
	case !req.answered && req.inFlight == 0:
		b.retryOrAnswer(req)
	}
	b.forget(req)
	b.dispatchQueued()
}

// answer gives the final answer: a refusal where the rules let it promise that a retry is
// harmless, else a failure. With an attempt still out it waits for that.
func (b *Balancer) answer(req *request) {
	if req.answered || req.streaming {
		return
	}
	harmless := !slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		effect, scope := req.class.Effect, req.class.Scope
		return !a.neverRan && (effect == NonIdempotent || effect == IdempotentByKey && scope != ScopeAll)
	})
	if len(req.attempts) == 0 {
		b.shedding.shed()
	}
	if harmless {
		// A client sent away for long comes back when its aim is mostly over, and its late answer
		// takes the room of one in time; the window, not the clients' absence, holds the load off.
		b.emit(Reject{ID: req.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: req.id})
	}
	b.finish(req)
}

// unanswered lists the requests that are owed an answer, in an order that is the same each time.
func (b *Balancer) unanswered() (list []*request) {
	for _, req := range b.requests {
		if !req.answered {
			list = append(list, req)
		}
	}
	slices.SortFunc(list, func(p, q *request) int { return cmp.Compare(p.id, q.id) })
	return list
}

// finish ends a request and calls off what is still out for it.
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

// forget drops a request once nothing of it is left.
func (b *Balancer) forget(req *request) {
	if req.answered && req.inFlight == 0 {
		delete(b.requests, req.id)
	}
}
