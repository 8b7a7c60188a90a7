package node

import (
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"balancer"
)

// loop is the only goroutine that touches the Balancer. It never blocks on I/O: answers go to
// channels with room, and attempts run in goroutines of their own.
type loop struct {
	clock           clock
	balancer        *balancer.Balancer
	events          chan event
	start           func(*attempt) // begins an attempt; must not block
	subscribe       func()
	updateEndpoints func([]listEntry, bool) // tells the backend of the list; must not block
	listsPushed     bool                    // lists are pushed
	connectionStats func() []any            // more for the log's report
	log             *slog.Logger
	rules           atomic.Pointer[requestRules] // as the module has them; set by the loop alone once it runs

	now        time.Duration
	pending    map[string]*requestState
	timers     timerHeap
	endpoints  map[string]listEntry
	bootClock  *bootClock
	cachedList endpointList // as the node last had it; of use, and kept, only until a list is heard
	listKnown  bool         // the list is as new as it can be had
	ready      atomic.Bool  // a listed server may be sent to
	traffic    trafficCounts

	readyServers int // how many of listed are ready
}

func newLoop(b *balancer.Balancer, c clock, log *slog.Logger) *loop {
	return &loop{
		clock: c, balancer: b, connectionStats: func() []any { return nil }, events: make(chan event, 1024), log: log,
		pending: map[string]*requestState{}, endpoints: map[string]listEntry{}, bootClock: newBootClock(c),
	}
}

func (l *loop) post(e event) { l.events <- e }

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	report := time.NewTicker(statsInterval)
	defer report.Stop()
	defer l.logTraffic()
	for {
		l.fireTimers()
		if len(l.timers) > 0 {
			timer.Reset(max(0, l.clock.until(l.timers[0].at)))
		}
		select {
		case e := <-l.events:
			l.handleEvent(e)
		case <-timer.C:
		case <-report.C:
			l.logTraffic()
		case <-ctx.Done():
			return
		}
	}
}

// take hands one event to the module, at the time when it happened rather than when the loop got to it.
func (l *loop) handleEvent(e event) {
	switch e := e.(type) {
	case requestReceived:
		l.noteLag(e.request.receivedAt)
		if l.pending[e.request.id] != nil {
			// The module ignores a second request with an id that it knows, so nobody would answer.
			e.request.response <- response{kind: responseDuplicateID}
			return
		}
		// Callers' goroutines check by the rules that they find; the module knows only those in force now.
		if rules := l.rules.Load(); e.request.revision != rules.revision {
			if no := rules.validate(e.request); no != nil {
				e.request.response <- response{kind: responseInvalid, reason: no}
				return
			}
		}
		l.traffic.Requests++
		l.pending[e.request.id] = &requestState{request: e.request}
		l.decide(e.request.receivedAt, balancer.Request{
			ID: e.request.id, Class: e.request.class, FirstByte: e.request.firstByte,
			Deadline: e.request.deadline, ExpectedWork: e.request.expectedWork,
		})
	case clientDeparted:
		l.noteLag(e.at)
		if p := l.pending[e.request.id]; p != nil && p.request == e.request && !p.answered {
			l.handleDeparture(p, e)
		}
	case attemptEnded:
		l.noteLag(e.result.endedAt)
		l.endAttempt(e.attempt, e.result)
	case settingsChanged:
		l.decide(l.clock.now(), balancer.Reconfigure{Settings: e.settings})
		l.rules.Store(e.rules)
		e.inForce(l.clock.now())
	case shutdownDeadline:
		l.decide(l.clock.now(), balancer.Shutdown{})
		for _, p := range l.pending { // to the module these are answered
			if p.departed != present && !p.answered {
				l.respondToDeparted(p)
			}
		}
	case listReceived:
		if !e.list.complete {
			l.useCachedList()
		}
		l.applyList(e.list, false)
	case listConfirmed:
		l.bootClock.confirm()
	case subscriptionFailed:
		l.decide(l.clock.now(), balancer.SubscriptionFailed{})
	case discoveryUnresponsive:
		l.useCachedList()
	}
}

// end passes on how an attempt ended. The first success is the caller's answer.
func (l *loop) endAttempt(a *attempt, r attemptOutcome) {
	p := l.pending[a.request.id]
	l.traffic.Results[r.result]++
	p.inFlight--
	a.ended = true
	switch r.result {
	case balancer.ConnectFailed, balancer.Rejected, balancer.NotSent:
	default:
		p.mayHaveRun = p.mayHaveRun || a.hasBegun()
	}
	if r.result == balancer.Success && !p.answered {
		l.traffic.Served++
		l.respond(p, response{kind: responseServed, body: r.body, contentType: r.contentType})
	}
	l.decide(r.endedAt, balancer.AttemptEnded{
		ID: a.request.id, Attempt: a.number, Endpoint: a.instance.uid, Result: r.result,
		Latency: r.endedAt - a.sentAt, Answered: p.answered, HeldUp: a.heldUp,
	})
	if p.departed != present {
		l.respondUnlessBegun(p)
	}
	l.forget(p)
}

// handle feeds the module and carries out what it decides.
func (l *loop) decide(at time.Duration, e balancer.Event) {
	l.now = max(l.now, at)
	for _, a := range l.balancer.Handle(l.now, e) {
		switch a := a.(type) {
		case balancer.Send:
			l.send(a)
		case balancer.Cancel:
			if p := l.pending[a.ID]; p != nil && a.Attempt < len(p.attempts) {
				l.cancel(p, p.attempts[a.Attempt])
			}
		case balancer.Reject:
			l.finish(a.ID, response{kind: responseRejected, retryAfter: a.RetryAfter})
		case balancer.Fail:
			l.finish(a.ID, response{kind: responseFailed})
		case balancer.SetTimer:
			heap.Push(&l.timers, timerEntry{a.At, a.Token})
		case balancer.Subscribe:
			l.subscribe()
		}
	}
}

func (l *loop) send(s balancer.Send) {
	p := l.pending[s.ID]
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{
		ctx: ctx, cancel: cancel, request: p.request, number: len(p.attempts),
		instance: l.endpoints[s.Endpoint].instance(), sentAt: l.now, deadline: min(l.now+s.Timeout, p.request.deadline), notAfter: s.NotAfter,
	}
	p.attempts = append(p.attempts, a)
	p.inFlight++
	l.traffic.Sends++
	l.start(a)
}
