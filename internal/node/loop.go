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

// eventQueueCapacity is how many events may wait for the loop before post blocks.
const eventQueueCapacity = 1024

// Loop is the node's event loop: a single goroutine that feeds events to the decision module and carries out the
// actions that the module returns (the reactor pattern). It alone touches the Balancer and all fields that are
// not marked otherwise. It never blocks on I/O: answers go to buffered channels, and each attempt runs in a
// goroutine of its own.
type Loop struct {
	clock       monotime.Clock
	balancer    *balancer.Balancer
	events      chan Event
	hooks       LoopHooks
	listsPushed bool // discovery pushes lists; otherwise they are polled

	// rules are those of the settings that the module has. Other goroutines read them; once the loop runs, it
	// alone sets them.
	rules atomic.Pointer[requestRules]
	ready atomic.Bool // whether a listed endpoint is ready; read by the front end

	now     time.Duration              // clock time of the latest event that the module was given; it never goes back
	pending map[string]*pendingRequest // by the request's id
	timers  timerQueue
	traffic trafficLog

	endpoints  *endpointlist.Table
	cachedList endpointlist.List // as the node last had it; dropped once listKnown
	listApplied  bool              // a list has been applied: discovery's, or the cached one in its place
}

// LoopHooks are the functions by which a Loop carries out what the module decides. The loop's goroutine calls them, and
// they must not block.
type LoopHooks struct {
	// StartAttempt starts an attempt. Its outcome is due as an event; see Attempt.Ended.
	StartAttempt func(*Attempt)
	// UpdateEndpoints is called with the entries of a list that changes something, before the module has them.
	UpdateEndpoints func(entries []endpointlist.Entry, complete bool)
	// Subscribe starts a poll of discovery, where lists are polled.
	Subscribe func()
}

// NewLoop returns the loop of a node with a configuration. It needs hooks and a list to begin with before it runs.
func NewLoop(cfg Config, clock monotime.Clock, log *slog.Logger) (*Loop, error) {
	set := moduleSettings(cfg)
	module, err := balancer.New(set, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l := newLoop(module, clock, log)
	l.rules.Store(newRequestRules(initialRevision, set))
	l.listsPushed = !set.PollDiscovery
	return l, nil
}

func newLoop(b *balancer.Balancer, c monotime.Clock, log *slog.Logger) *Loop {
	return &Loop{
		clock: c, balancer: b, events: make(chan Event, eventQueueCapacity),
		pending: map[string]*pendingRequest{}, endpoints: endpointlist.NewTable(c),
		traffic: trafficLog{log: log, connectionStats: func() []any { return nil }},
	}
}

// SetHooks sets the functions that the loop calls. It is called before Run.
func (l *Loop) SetHooks(hooks LoopHooks) { l.hooks = hooks }

// SetCachedList has the loop begin with the list that the node last had. Where lists are polled it is in use at once,
// and the module subscribes for a newer one. It is called before Run, after SetHooks.
func (l *Loop) SetCachedList(cached endpointlist.List) {
	l.cachedList = cached
	if !l.listsPushed {
		l.useCachedList()
	}
}

// Queue returns the queue of the loop's events. Sending to it blocks while it is full, and for good once Run has
// returned.
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
		if at, ok := l.timers.next(); ok {
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

// fireTimers passes the timers that are due to the module. It reads the clock anew before each, since the
// events before it take time too.
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

// recordLag measures how long after it happened an event is handled.
func (l *Loop) recordLag(at time.Duration) { l.traffic.recordLag(-l.clock.Until(at)) }

// handleEvent handles one event.
func (l *Loop) handleEvent(e Event) {
	switch e := e.(type) {
	case requestReceived:
		l.handleRequest(e.request)
	case clientDeparted:
		l.handleDeparture(e)
	case attemptEnded:
		l.endAttempt(e.attempt, e.result)
	case settingsChanged:
		l.passToModule(l.clock.Now(), balancer.Reconfigure{Settings: e.settings})
		l.rules.Store(e.rules)
		e.onApplied(l.clock.Now())
	case shutdownDeadline:
		l.answerAll()
	case listReceived:
		if !e.list.Complete {
			l.useCachedList() // it holds what these changes are changes to
		}
		l.applyList(e.list, false)
	case listConfirmed:
		l.endpoints.Confirm()
	case subscriptionFailed:
		l.passToModule(l.clock.Now(), balancer.SubscriptionFailed{})
	case discoveryUnresponsive:
		l.useCachedList()
	}
}

// useCachedList starts with the list that the node last had, unless a newer one has been applied. The agent's
// list is binding from the first moment of the process. So until that list has come, or discovery counts as
// unresponsive, no request is sent by the cached list, and the module queues what clients send.
func (l *Loop) useCachedList() {
	if !l.listApplied {
		l.applyList(l.cachedList, true)
	}
}

// applyList applies a list, or changes to it, and passes it to the upstream pool and to the module. Where
// lists are pushed, one that changes nothing, as it comes after discovery has moved to another address, is not
// passed on: the module treats every list as a change and selects its subset anew, which would move requests
// and open connections without need.
func (l *Loop) applyList(update endpointlist.List, cached bool) {
	l.listApplied, l.cachedList = true, endpointlist.List{}
	l.endpoints.SetStartTimes(update.Entries)
	if !cached {
		defer l.endpoints.Confirm()
	}
	if !cached && l.listsPushed && l.endpoints.IsUnchangedBy(update) {
		return
	}
	e := balancer.EndpointUpdate{Complete: update.Complete, Cached: cached, Endpoints: l.endpoints.Apply(update)}
	l.hooks.UpdateEndpoints(update.Entries, update.Complete)
	l.passToModule(l.clock.Now(), e)
	l.ready.Store(l.endpoints.HasReady())
}

// handleRequest passes a request to the module, as of the time when it was received rather than when the loop
// came to it.
func (l *Loop) handleRequest(r *request) {
	l.recordLag(r.receivedAt)
	if l.pending[r.ID] != nil {
		// The module ignores a request with an id that is pending, so nothing else would answer this one.
		r.response <- Response{Kind: ResponseDuplicateID}
		return
	}
	// The front end checked the request by the rules of that moment; the module only knows the present ones.
	if rules := l.rules.Load(); r.revision != rules.revision {
		if invalid := rules.validateClass(r); invalid != nil {
			r.response <- Response{Kind: ResponseInvalid, reason: invalid}
			return
		}
	}
	l.traffic.Requests++
	l.pending[r.ID] = &pendingRequest{request: r}
	l.passToModule(r.receivedAt, balancer.Request{
		ID: r.ID, Class: r.class, FirstByte: r.firstByte, Deadline: r.deadline, ExpectedWork: r.expectedWork,
	})
}

// handleDeparture stops retries for a client that has closed its connection, or may have; the module is notified
// of it once. A client that has only closed its sending side may still read the answer of an
// attempt that has begun, so such an attempt continues until the client is known to have disconnected.
func (l *Loop) handleDeparture(e clientDeparted) {
	l.recordLag(e.at)
	p := l.pending[e.request.ID]
	if p == nil || p.request != e.request || p.answered {
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

// answerDeparted answers the request of a departed client, unless an attempt may still bring an answer that the
// client reads.
func (l *Loop) answerDeparted(p *pendingRequest) {
	if !p.answered && !p.canBeServed() {
		l.respondUnserved(p, p.departedResponse())
	}
}

// answerAll answers every request that is not answered, at the end of draining. To the module, the requests of
// departed clients are answered already, so it returns no action for them.
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
		Latency: outcome.EndedAt - a.sentAt, Answered: p.answered, HeldUp: outcome.HeldUp,
	})
	if p.hasDeparted() {
		l.answerDeparted(p)
	}
	l.removeIfDone(p)
}

// passToModule gives the module an event and carries out the actions that it returns. The module's time must not go
// back, so an event that happened before the last one counts as simultaneous with it.
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

// startAttempt starts the attempt that the module has decided on.
func (l *Loop) startAttempt(s balancer.Send) {
	p := l.pending[s.ID]
	ctx, cancel := context.WithCancel(context.Background())
	a := &Attempt{
		Attempt: upstream.Attempt{
			Request: &p.request.Request, Instance: l.endpoints.Instance(s.Endpoint),
			Deadline: min(l.now+s.Timeout, p.request.deadline), NotAfter: s.NotAfter,
		},
		ctx: ctx, cancel: cancel, request: p.request, number: len(p.attempts), sentAt: l.now,
	}
	p.addAttempt(a)
	l.traffic.AttemptsStarted++
	l.hooks.StartAttempt(a)
}

// respondUnserved answers a request, unless it is answered or unknown, without an endpoint's answer.
func (l *Loop) respondUnserved(p *pendingRequest, final Response) {
	if p == nil || p.answered {
		return
	}
	l.traffic.countUnserved(final.Kind)
	p.answer(final)
	l.removeIfDone(p)
}

// removeIfDone drops a request that is over.
func (l *Loop) removeIfDone(p *pendingRequest) {
	if p.isDone() {
		delete(l.pending, p.request.ID)
	}
}
