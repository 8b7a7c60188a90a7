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
	"basaltdrum/internal/upstream"
)

// eventQueueCapacity is the number of events that may wait for the loop before post blocks.
const eventQueueCapacity = 1024

// Loop is the node's event loop (reactor pattern): a single goroutine passes events to the decision module and carries
// out the actions that the module returns. Only this goroutine uses the Balancer and the fields whose comment does not
// name other users. It does no I/O except for writing the traffic line: responses go to buffered channels, and each
// attempt runs in its own goroutine.
type Loop struct {
	clock       monotime.Clock
	balancer    *balancer.Balancer
	events      chan Event
	hooks       LoopHooks
	listsPushed bool // discovery pushes lists; otherwise they are polled

	// rules are derived from the settings that the module has. Any goroutine may read them; once the loop runs, only
	// its goroutine sets them.
	rules atomic.Pointer[requestRules]
	ready atomic.Bool // a listed endpoint is ready; read by the front end

	now     time.Duration              // clock time of the last event passed to the module; never decreases
	pending map[string]*pendingRequest // by request ID
	timers  timerQueue
	traffic trafficLog

	endpoints   *endpointlist.Table
	handover    *endpointlist.Handover // from one address of discovery to the next
	cachedList  endpointlist.List      // last list that the node had before its start; dropped once listApplied
	listApplied bool                   // a list from discovery or the cached list has been applied
}

// LoopHooks holds the functions with which a Loop carries out the module's decisions. The loop's goroutine calls them;
// they must not block.
type LoopHooks struct {
	// StartAttempt starts an attempt. When the attempt ends, Attempt.EndedEvent must be posted to the loop.
	StartAttempt func(*Attempt)
	// UpdateEndpoints is called with the entries of each list that changes the endpoints, before the module gets them.
	UpdateEndpoints func(entries []endpointlist.Entry, complete bool)
	// Subscribe starts a poll of discovery. It is called only if lists are polled.
	Subscribe func()
}

// NewLoop returns the event loop of a node. SetHooks and SetCachedList must be called before Run.
func NewLoop(cfg Config, clock monotime.Clock, log *slog.Logger) (*Loop, error) {
	settings := moduleSettings(cfg)
	module, err := balancer.New(settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l := newLoop(module, clock, log)
	l.rules.Store(newRequestRules(initialRevision, settings))
	l.listsPushed = !settings.PollDiscovery
	return l, nil
}

func newLoop(module *balancer.Balancer, clock monotime.Clock, log *slog.Logger) *Loop {
	endpoints := endpointlist.NewTable(clock)
	return &Loop{
		clock: clock, balancer: module, events: make(chan Event, eventQueueCapacity),
		pending: map[string]*pendingRequest{}, endpoints: endpoints, handover: endpointlist.NewHandover(endpoints),
		traffic: trafficLog{log: log, connectionStats: func() []any { return nil }},
	}
}

// SetHooks sets the functions that the loop calls. It must be called before Run.
func (l *Loop) SetHooks(hooks LoopHooks) { l.hooks = hooks }

// Queue returns the event queue of the loop. Sending blocks while the queue is full. Once Run has returned, nothing
// receives from it.
func (l *Loop) Queue() chan<- Event { return l.events }

// Ready reports whether a listed endpoint is ready.
func (l *Loop) Ready() bool { return l.ready.Load() }

// post queues an event for the loop. It blocks while the queue is full.
func (l *Loop) post(e Event) { l.events <- e }

// Run handles events and timers until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	wakeUp := time.NewTimer(time.Hour)
	defer wakeUp.Stop()
	trafficTicker := time.NewTicker(trafficLogInterval)
	defer trafficTicker.Stop()
	defer l.logTraffic()
	for {
		l.fireTimers()
		l.advanceHandover()
		if at, ok := l.nextWakeUp(); ok {
			wakeUp.Reset(max(0, l.clock.Until(at)))
		}
		select {
		case e := <-l.events:
			l.handleEvent(e)
		case <-wakeUp.C:
		case <-trafficTicker.C:
			l.logTraffic()
		case <-ctx.Done():
			return
		}
	}
}

// nextWakeUp returns the clock time at which the loop has something to do without an event, if there is one.
func (l *Loop) nextWakeUp() (at time.Duration, ok bool) {
	at, ok = l.timers.next()
	if due, inProgress := l.handover.Next(); inProgress && (!ok || due < at) {
		return due, true
	}
	return at, ok
}

// fireTimers passes the timers that are due to the module. It reads the clock again before each timer, because handling
// the previous one takes time.
func (l *Loop) fireTimers() {
	for {
		now := l.clock.Now()
		token, due := l.timers.takeDue(now)
		if !due {
			return
		}
		l.passToModule(now, balancer.Timer{Token: token})
	}
}

// logTraffic writes the traffic line.
func (l *Loop) logTraffic() { l.traffic.write(len(l.pending)) }

// recordLag records the lag of an event, which is the time from at, when it happened, until now, when it is handled.
func (l *Loop) recordLag(at time.Duration) { l.traffic.recordLag(-l.clock.Until(at)) }

// handleEvent handles one event.
func (l *Loop) handleEvent(e Event) {
	switch e := e.(type) {
	case requestReceived:
		l.handleRequest(e.request)
	case clientDeparted:
		l.handleDeparture(e)
	case responseDue:
		l.answerNow(e)
	case attemptEnded:
		l.endAttempt(e.attempt, e.result)
	case settingsChanged:
		l.passToModule(l.clock.Now(), balancer.Reconfigure{Settings: e.settings})
		l.rules.Store(e.rules)
		e.onApplied(l.clock.Now())
	case shutdownDeadline:
		l.answerAll()
	default:
		l.handleDiscoveryEvent(e)
	}
}

// handleRequest passes a request to the module. The event time is the time when the request was received, not when the
// loop handles it.
func (l *Loop) handleRequest(req *request) {
	l.recordLag(req.receivedAt)
	if l.pending[req.ID] != nil {
		// The module ignores a request whose ID is pending, so nothing else would answer this one.
		req.response <- Response{Kind: ResponseDuplicateID}
		return
	}
	// The front end validated the request against rules that may be outdated; the module knows only the current ones.
	if rules := l.rules.Load(); req.revision != rules.revision {
		if invalid := rules.validateClass(req); invalid != nil {
			req.response <- Response{Kind: ResponseInvalid, reason: invalid}
			return
		}
	}
	l.traffic.Requests++
	l.pending[req.ID] = &pendingRequest{request: req}
	l.passToModule(req.receivedAt, balancer.Request{
		ID: req.ID, Class: req.class, FirstByte: req.firstByte, Deadline: req.deadline, ExpectedWork: req.expectedWork,
	})
}

// unanswered returns what is pending of a request, or nil if it is answered or its ID belongs to another request.
func (l *Loop) unanswered(req *request) *pendingRequest {
	p := l.pending[req.ID]
	if p == nil || p.request != req || p.answered {
		return nil
	}
	return p
}

// handleDeparture stops retries for a client that has closed its connection or may have closed it. The module is told
// once per request. A half-closed client may still read the response of an attempt that may have been written, so such
// an attempt continues until the client is known to have disconnected.
func (l *Loop) handleDeparture(e clientDeparted) {
	l.recordLag(e.at)
	p := l.unanswered(e.request)
	if p == nil {
		return
	}
	if first := p.recordDeparture(e.departure, e.retryAfter); first {
		l.traffic.Departed++
		l.passToModule(e.at, balancer.ClientGone{ID: e.request.ID})
	}
	if e.departure == downstream.Disconnected {
		p.abandon()
		l.removeIfDone(p)
		return
	}
	l.answerDeparted(p)
}

// answerDeparted answers the request of a departed client, unless an attempt may still bring a response that the client
// reads.
func (l *Loop) answerDeparted(p *pendingRequest) {
	if !p.answered && !p.canBeServed() {
		l.respondUnserved(p, p.departedResponse())
	}
}

// answerNow answers a request whose response is due before its deadline. The module decides no response for a client
// that has departed.
func (l *Loop) answerNow(e responseDue) {
	l.recordLag(e.at)
	p := l.unanswered(e.request)
	switch {
	case p == nil:
	case p.hasDeparted():
		l.respondUnserved(p, p.departedResponse())
	default:
		l.traffic.AnsweredEarly++
		l.passToModule(e.at, balancer.ResponseDue{ID: e.request.ID})
	}
}

// answerAll answers every pending request at the end of draining. The module considers the requests of departed clients
// answered and returns no actions for them, so they are answered here.
func (l *Loop) answerAll() {
	l.passToModule(l.clock.Now(), balancer.Shutdown{})
	for _, p := range l.pending {
		if p.hasDeparted() {
			l.respondUnserved(p, p.departedResponse())
		}
	}
}

// endAttempt passes the outcome of an attempt to the module. The first success answers the request.
func (l *Loop) endAttempt(a *Attempt, outcome upstream.Outcome) {
	l.recordLag(outcome.EndedAt)
	l.traffic.AttemptResults[outcome.Result]++
	p := l.pending[a.request.ID]
	p.endAttempt(a, outcome.Result)
	if outcome.Result == balancer.Success && !p.answered {
		l.traffic.Served++
		p.answer(Response{Kind: ResponseServed, body: outcome.Body, contentType: outcome.ContentType})
	}
	l.passToModule(outcome.EndedAt, balancer.AttemptEnded{
		ID: a.request.ID, Attempt: a.number, Endpoint: a.Instance.UID, Result: outcome.Result,
		Latency: outcome.EndedAt - a.sentAt, Answered: p.answered, DelayedByHost: outcome.LocalFault,
	})
	if p.hasDeparted() {
		l.answerDeparted(p)
	}
	l.removeIfDone(p)
}

// passToModule passes an event to the module and carries out the actions that the module returns. The module's time
// must not decrease, so an event that happened before the last one is given the time of the last one.
func (l *Loop) passToModule(at time.Duration, e balancer.Event) {
	l.now = max(l.now, at)
	for _, action := range l.balancer.Handle(l.now, e) {
		switch action := action.(type) {
		case balancer.Send:
			l.startAttempt(action)
		case balancer.Cancel:
			if p := l.pending[action.ID]; p != nil {
				p.cancelAttempt(action.Attempt)
			}
		case balancer.Reject:
			l.respondUnserved(l.pending[action.ID], Response{Kind: ResponseRejected, retryAfter: action.RetryAfter})
		case balancer.Fail:
			l.respondUnserved(l.pending[action.ID], Response{Kind: ResponseFailed})
		case balancer.SetTimer:
			l.timers.set(action.At, action.Token)
		case balancer.Subscribe:
			l.hooks.Subscribe()
		}
	}
}

// startAttempt starts an attempt that the module has decided on.
func (l *Loop) startAttempt(send balancer.Send) {
	p := l.pending[send.ID]
	ctx, cancel := context.WithCancel(context.Background())
	a := &Attempt{
		Attempt: upstream.Attempt{
			Request: &p.request.Request, Instance: l.endpoints.Instance(send.Endpoint),
			Deadline: min(l.now+send.Timeout, p.request.deadline), NotAfter: send.NotAfter,
		},
		ctx: ctx, cancel: cancel, request: p.request, number: len(p.attempts), sentAt: l.now,
	}
	p.addAttempt(a)
	l.traffic.AttemptsStarted++
	l.hooks.StartAttempt(a)
}

// respondUnserved answers a request without the response of an endpoint. It does nothing if p is nil or answered.
func (l *Loop) respondUnserved(p *pendingRequest, final Response) {
	if p == nil || p.answered {
		return
	}
	l.traffic.countUnserved(final.Kind)
	p.answer(final)
	l.removeIfDone(p)
}

// removeIfDone removes a request from the pending ones if it is done.
func (l *Loop) removeIfDone(p *pendingRequest) {
	if p.isDone() {
		delete(l.pending, p.request.ID)
	}
}
