package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/downstream"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
)

// eventQueueLength is how many events may wait for the loop before post blocks.
const eventQueueLength = 1024

// loop is the node's event loop: a single goroutine that feeds events to the decision module and carries out the
// actions that the module returns (the reactor pattern). It alone touches the Balancer and all fields that are
// not marked otherwise. It never blocks on I/O: answers go to buffered channels, and each attempt runs in a
// goroutine of its own.
type loop struct {
	clock           monotime.Clock
	balancer        *balancer.Balancer
	events          chan event
	start           func(*attempt) // starts an attempt; must not block
	subscribe       func()         // starts a poll of discovery; must not block
	updateEndpoints func(entries []endpointlist.Entry, complete bool)
	listsPushed     bool         // discovery pushes lists; otherwise they are polled
	connectionStats func() []any // further attributes for the traffic line
	log             *slog.Logger

	// rules are those of the settings that the module has. Other goroutines read them; once the loop runs, it
	// alone sets them.
	rules atomic.Pointer[requestRules]
	ready atomic.Bool // whether a listed endpoint is ready; read by the front end

	now     time.Duration // clock time of the latest event that the module was given; it never goes back
	pending map[string]*requestState
	timers  timerHeap
	traffic trafficCounts

	endpoints    map[string]endpointlist.Entry // the endpoint list by uid
	readyServers int                           // how many of endpoints are ready
	bootClock    *bootClock
	cachedList   endpointlist.List // as the node last had it; dropped once listKnown
	listKnown    bool              // a list has been applied: discovery's, or the cached one in its place
}

func newLoop(b *balancer.Balancer, c monotime.Clock, log *slog.Logger) *loop {
	return &loop{
		clock: c, balancer: b, connectionStats: func() []any { return nil }, events: make(chan event, eventQueueLength), log: log,
		pending: map[string]*requestState{}, endpoints: map[string]endpointlist.Entry{}, bootClock: newBootClock(c),
	}
}

// post queues an event for the loop. It blocks while the queue is full.
func (l *loop) post(e event) { l.events <- e }

// run handles events and timers until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	trafficTicker := time.NewTicker(statsInterval)
	defer trafficTicker.Stop()
	defer l.logTraffic()
	for {
		l.fireTimers()
		if len(l.timers) > 0 {
			timer.Reset(max(0, l.clock.Until(l.timers[0].at)))
		}
		select {
		case e := <-l.events:
			l.handleEvent(e)
		case <-timer.C:
		case <-trafficTicker.C:
			l.logTraffic()
		case <-ctx.Done():
			return
		}
	}
}

// handleEvent handles one event.
func (l *loop) handleEvent(e event) {
	switch e := e.(type) {
	case requestReceived:
		l.handleRequest(e.request)
	case clientDeparted:
		l.handleDeparture(e)
	case attemptEnded:
		l.endAttempt(e.attempt, e.result)
	case settingsChanged:
		l.decide(l.clock.Now(), balancer.Reconfigure{Settings: e.settings})
		l.rules.Store(e.rules)
		e.inForce(l.clock.Now())
	case shutdownDeadline:
		l.answerAll()
	case listReceived:
		if !e.list.Complete {
			l.useCachedList() // it holds what these changes are changes to
		}
		l.applyList(e.list, false)
	case listConfirmed:
		l.bootClock.confirm()
	case subscriptionFailed:
		l.decide(l.clock.Now(), balancer.SubscriptionFailed{})
	case discoveryUnresponsive:
		l.useCachedList()
	}
}

// handleRequest passes a request to the module, as of the time when it was received rather than when the loop
// came to it.
func (l *loop) handleRequest(r *request) {
	l.noteLag(r.receivedAt)
	if l.pending[r.id] != nil {
		// The module ignores a request with an id that is pending, so nothing else would answer this one.
		r.response <- response{kind: responseDuplicateID}
		return
	}
	// The front end checked the request by the rules of that moment; the module only knows the present ones.
	if rules := l.rules.Load(); r.revision != rules.revision {
		if invalid := rules.validate(r); invalid != nil {
			r.response <- response{kind: responseInvalid, reason: invalid}
			return
		}
	}
	l.traffic.Requests++
	l.pending[r.id] = &requestState{request: r}
	l.decide(r.receivedAt, balancer.Request{
		ID: r.id, Class: r.class, FirstByte: r.firstByte, Deadline: r.deadline, ExpectedWork: r.expectedWork,
	})
}

// answerAll answers every request that is not answered, at the end of draining. To the module, the requests of
// departed clients are answered already, so it returns no action for them.
func (l *loop) answerAll() {
	l.decide(l.clock.Now(), balancer.Shutdown{})
	for _, state := range l.pending {
		if state.departed != downstream.Present && !state.answered {
			l.respondToDeparted(state)
		}
	}
}

// endAttempt passes the outcome of an attempt to the module. The first success answers the request.
func (l *loop) endAttempt(a *attempt, outcome attemptOutcome) {
	l.noteLag(outcome.endedAt)
	state := l.pending[a.request.id]
	l.traffic.Results[outcome.result]++
	state.inFlight--
	a.ended = true
	switch outcome.result {
	case balancer.ConnectFailed, balancer.Rejected, balancer.NotSent:
	default:
		state.mayHaveRun = state.mayHaveRun || a.hasBegun()
	}
	if outcome.result == balancer.Success && !state.answered {
		l.traffic.Served++
		l.respond(state, response{kind: responseServed, body: outcome.body, contentType: outcome.contentType})
	}
	l.decide(outcome.endedAt, balancer.AttemptEnded{
		ID: a.request.id, Attempt: a.number, Endpoint: a.instance.UID, Result: outcome.result,
		Latency: outcome.endedAt - a.sentAt, Answered: state.answered, HeldUp: a.heldUp,
	})
	if state.departed != downstream.Present {
		l.respondUnlessBegun(state)
	}
	l.forget(state)
}

// decide gives the module an event and carries out the actions that it returns. The module's time must not go
// back, so an event that happened before the last one counts as simultaneous with it.
func (l *loop) decide(at time.Duration, e balancer.Event) {
	l.now = max(l.now, at)
	for _, action := range l.balancer.Handle(l.now, e) {
		switch action := action.(type) {
		case balancer.Send:
			l.send(action)
		case balancer.Cancel:
			if state := l.pending[action.ID]; state != nil && action.Attempt < len(state.attempts) {
				l.cancel(state, state.attempts[action.Attempt])
			}
		case balancer.Reject:
			l.finish(action.ID, response{kind: responseRejected, retryAfter: action.RetryAfter})
		case balancer.Fail:
			l.finish(action.ID, response{kind: responseFailed})
		case balancer.SetTimer:
			l.setTimer(action.At, action.Token)
		case balancer.Subscribe:
			l.subscribe()
		}
	}
}

// send starts the attempt that the module has decided on.
func (l *loop) send(s balancer.Send) {
	state := l.pending[s.ID]
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{
		ctx: ctx, cancel: cancel, request: state.request, number: len(state.attempts),
		instance: l.endpoints[s.Endpoint].Instance(), sentAt: l.now, notAfter: s.NotAfter,
		deadline: min(l.now+s.Timeout, state.request.deadline),
	}
	state.attempts = append(state.attempts, a)
	state.inFlight++
	l.traffic.Sends++
	l.start(a)
}
