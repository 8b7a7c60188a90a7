package node

import (
	"container/heap"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"balancer"
)

// processStart is the clock time of the process's start. Servers that started up to that long before it have
// positive times, too.
const processStart = 365 * 24 * time.Hour

// clock tells the node's time, which is monotonic: setting the machine's clock does not move it.
type clock struct {
	elapsed func() time.Duration // monotonic time since the process's start
	unix    func() time.Duration // Unix time by the machine's clock, which may be set at any moment
}

func newClock() clock {
	start := time.Now()
	return clock{
		elapsed: func() time.Duration { return time.Since(start) },
		unix:    func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	}
}

func (c clock) now() time.Duration { return processStart + c.elapsed() }

// until is how long it is to a clock time.
func (c clock) until(at time.Duration) time.Duration { return at - c.now() }

// call is a caller's request, as it came.
type request struct {
	id, class, method, target, key string
	contentType                    string
	body                           []byte
	firstByte                      time.Duration // clock time when its first byte was read; 0: at
	receivedAt                     time.Duration // clock time when it was complete
	deadline                       time.Duration // clock time until which the client waits
	expectedWork                   time.Duration // hinted; 0: not told
	revision                       int           // of the rules that it was checked against
	response                       chan response // takes one answer without blocking

	mu       sync.Mutex
	departed bool // its caller has left, or may have: no attempt of it is to begin any more
	begun    bool // one has begun
}

// begin notes that the first byte of an attempt is written next, unless its caller has departed.
func (c *request) beginAttempt(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.departed {
		return false
	}
	a.begun, c.begun = true, true
	return true
}

// depart keeps further attempts from beginning, and tells whether one has begun.
func (c *request) markDeparted() (begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departed = true
	return c.begun
}

// hasBegun says that a byte of an attempt may have been written.
func (a *attempt) hasBegun() bool {
	a.call.mu.Lock()
	defer a.call.mu.Unlock()
	return a.begun
}

// answer is the one final answer to a call.
type response struct {
	kind        responseKind
	body        []byte // for served
	contentType string // for served: the Content-Type
	retryAfter  time.Duration
	reason      *requestError // for unfit
}

type responseKind int

const (
	responseServed responseKind = iota
	responseRejected
	responseFailed
	responseDuplicateID // the id is in use
	responseInvalid     // new rules came between its check and the module
)

// event is what the other parts tell the loop: one of the types below.
type event interface{}

type (
	requestReceived struct{ call *request }
	clientDeparted  struct {
		call       *request
		how        departure
		at         time.Duration
		retryAfter time.Duration // when to come back, for a refusal
	}
	attemptEnded struct {
		attempt *attempt
		result  attemptOutcome
	}
	listReceived          struct{ list endpointList }
	listConfirmed         struct{} // discovery has answered that nothing has changed
	subscriptionFailed    struct{}
	discoveryUnresponsive struct{} // discovery says nothing: the list that the node last had must do
	settingsChanged       struct {
		settings balancer.Settings
		rules    *requestRules
		inForce  func(at time.Duration)
	}
	shutdownDeadline struct{} // the node ends: what is unanswered is answered now
)

// pending is a call that the module still knows: unanswered, or with attempts out.
type requestState struct {
	call       *request
	attempts   []*attempt
	inFlight   int
	answered   bool
	departed   departure     // to the module its client has gone, unless this is present
	retryAfter time.Duration // for a refusal then
	mayHaveRun bool          // an attempt that has ended may have run
}

// alarm is a Wake to come.
type timerEntry struct {
	at    time.Duration
	token string
}

type timerHeap []timerEntry

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a timerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *timerHeap) Push(x any)        { *a = append(*a, x.(timerEntry)) }
func (a *timerHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// stats count what happened, for the log.
type stats struct {
	Requests, Served, Rejected, Failed, Departed, Sends int
	Results                                             [8]int
	LagMax, LagSum                                      time.Duration
	Events                                              int
}

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
	boots      *bootClock
	cachedList endpointList // as the node last had it; of use, and kept, only until a list is heard
	listHeard  bool         // the list is as new as it can be had
	ready      atomic.Bool  // a listed server may be sent to
	stats      stats

	readyServers int // how many of listed are ready
}

func newLoop(b *balancer.Balancer, c clock, log *slog.Logger) *loop {
	return &loop{
		clock: c, balancer: b, connectionStats: func() []any { return nil }, events: make(chan event, 1024), log: log,
		pending: map[string]*requestState{}, endpoints: map[string]listEntry{}, boots: newBootClock(c),
	}
}

func (l *loop) post(e event) { l.events <- e }

// statsEvery is how often the log tells what happened, when anything did.
const statsInterval = 10 * time.Second

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	report := time.NewTicker(statsInterval)
	defer report.Stop()
	defer l.report()
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
			l.report()
		case <-ctx.Done():
			return
		}
	}
}

// ring handles the alarms that are due.
func (l *loop) fireTimers() {
	for len(l.timers) > 0 {
		now := l.clock.now()
		if l.timers[0].at > now {
			return
		}
		a := heap.Pop(&l.timers).(timerEntry)
		l.decide(now, balancer.Timer{Token: a.token})
	}
}

// take hands one event to the module, at the time when it happened rather than when the loop got to it.
func (l *loop) handleEvent(e event) {
	switch e := e.(type) {
	case requestReceived:
		l.noteLag(e.call.receivedAt)
		if l.pending[e.call.id] != nil {
			// The module ignores a second request with an id that it knows, so nobody would answer.
			e.call.response <- response{kind: responseDuplicateID}
			return
		}
		// Callers' goroutines check by the rules that they find; the module knows only those in force now.
		if rules := l.rules.Load(); e.call.revision != rules.revision {
			if no := rules.validate(e.call); no != nil {
				e.call.response <- response{kind: responseInvalid, reason: no}
				return
			}
		}
		l.stats.Requests++
		l.pending[e.call.id] = &requestState{call: e.call}
		l.decide(e.call.receivedAt, balancer.Request{
			ID: e.call.id, Class: e.call.class, FirstByte: e.call.firstByte,
			Deadline: e.call.deadline, ExpectedWork: e.call.expectedWork,
		})
	case clientDeparted:
		l.noteLag(e.at)
		if p := l.pending[e.call.id]; p != nil && p.call == e.call && !p.answered {
			l.clientDeparted(p, e)
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
		l.boots.confirm()
	case subscriptionFailed:
		l.decide(l.clock.now(), balancer.SubscriptionFailed{})
	case discoveryUnresponsive:
		l.useCachedList()
	}
}

// depart has no further attempt made for a caller that has left, or whose leaving can't be seen: to the
// module its client has gone. One that has only stopped sending gets the answer of an attempt that has
// begun, which goes on unless the caller is known to be gone.
func (l *loop) clientDeparted(p *requestState, e clientDeparted) {
	first := p.departed == present
	p.departed, p.retryAfter = e.how, e.retryAfter
	if first {
		l.stats.Departed++
		l.decide(e.at, balancer.ClientGone{ID: e.call.id})
	}
	if e.how == disconnected {
		p.answered = true // nobody reads one
		l.cancelAttempts(p)
		l.forget(p)
		return
	}
	l.respondUnlessBegun(p)
}

// answerUnlessBegun answers a departed caller unless an attempt may still bring an answer that it reads.
func (l *loop) respondUnlessBegun(p *requestState) {
	if p.answered {
		return
	}
	for _, a := range p.attempts {
		if p.departed == halfClosed && !a.ended && a.hasBegun() {
			return
		}
	}
	l.respondToDeparted(p)
}

// answerDeparted gives a departed caller the final answer that the module leaves out: a refusal unless an attempt
// may have run.
func (l *loop) respondToDeparted(p *requestState) {
	ran := p.mayHaveRun
	for _, a := range p.attempts {
		ran = ran || !a.ended && a.hasBegun()
	}
	if ran {
		l.finish(p.call.id, response{kind: responseFailed})
	} else {
		l.finish(p.call.id, response{kind: responseRejected, retryAfter: p.retryAfter})
	}
}

// cancelKept calls off the attempts that went on for a caller that had only stopped sending.
func (l *loop) cancelAttempts(p *requestState) {
	for _, a := range p.attempts {
		if a.outlivesHalfClose {
			a.cancel()
		}
	}
}

// end passes on how an attempt ended. The first success is the caller's answer.
func (l *loop) endAttempt(a *attempt, r attemptOutcome) {
	p := l.pending[a.call.id]
	l.stats.Results[r.result]++
	p.inFlight--
	a.ended = true
	switch r.result {
	case balancer.ConnectFailed, balancer.Rejected, balancer.NotSent:
	default:
		p.mayHaveRun = p.mayHaveRun || a.hasBegun()
	}
	if r.result == balancer.Success && !p.answered {
		l.stats.Served++
		l.respond(p, response{kind: responseServed, body: r.body, contentType: r.contentType})
	}
	l.decide(r.endedAt, balancer.AttemptEnded{
		ID: a.call.id, Attempt: a.number, Endpoint: a.to.uid, Result: r.result,
		Latency: r.endedAt - a.sent, Answered: p.answered, HeldUp: a.heldUp,
	})
	if p.departed != present {
		l.respondUnlessBegun(p)
	}
	l.forget(p)
}

func (l *loop) respond(p *requestState, a response) {
	p.answered = true
	p.call.response <- a
	l.cancelAttempts(p)
}

// forget drops a call once nothing of it is left, as the module does.
func (l *loop) forget(p *requestState) {
	if p.answered && p.inFlight == 0 {
		delete(l.pending, p.call.id)
	}
}

// useCachedList begins with the list that the node last had, unless a newer one has been heard. What the agent
// holds counts as told from a process's first moment: until it is known, or can't be had, no server may be
// sent to by an old list, and what callers ask for is held.
func (l *loop) useCachedList() {
	if !l.listHeard {
		l.applyList(l.cachedList, true)
	}
}

// takeList keeps where the servers listen, and passes the list on. A list that changes nothing, as after
// discovery has moved, is not passed on where lists are pushed: the module takes each list for a change
// and cuts its pool anew, so telling it of nothing would move requests and open connections for nothing.
func (l *loop) applyList(news endpointList, cached bool) {
	l.listHeard, l.cachedList = true, endpointList{}
	l.convertBoots(news.entries)
	if !cached {
		defer l.boots.confirm()
	}
	if !cached && l.listsPushed && l.isUnchanged(news) {
		return
	}
	e := balancer.EndpointUpdate{Complete: news.complete, Cached: cached, Endpoints: l.apply(news)}
	l.updateEndpoints(news.entries, news.complete)
	l.decide(l.clock.now(), e)
	l.ready.Store(l.readyServers > 0)
}

// convertBoots sets the clock time of each entry's start, as it was converted when its boot_ms was first seen.
func (l *loop) convertBoots(targets []listEntry) {
	l.boots.observe()
	for i := range targets {
		t := &targets[i]
		held, isHeld := l.endpoints[t.ID]
		t.StartedAt = l.boots.started(t.bootMS, held, isHeld)
	}
}

// apply takes over the entries of a list, and returns them as the module is to be told of them.
func (l *loop) apply(news endpointList) []balancer.Endpoint {
	if news.complete {
		clear(l.endpoints)
		l.readyServers = 0
	}
	servers := make([]balancer.Endpoint, len(news.entries))
	for i, t := range news.entries {
		servers[i] = t.Endpoint
		l.applyEntry(t)
	}
	return servers
}

// applyEntry takes over an entry of a list.
func (l *loop) applyEntry(t listEntry) {
	if old, ok := l.endpoints[t.ID]; ok && old.State == balancer.Ready {
		l.readyServers--
	}
	if t.State == balancer.Removed {
		delete(l.endpoints, t.ID)
		return
	}
	l.endpoints[t.ID] = t
	if t.State == balancer.Ready {
		l.readyServers++
	}
}

// holds says that a list tells nothing new.
func (l *loop) isUnchanged(news endpointList) bool {
	for _, t := range news.entries {
		if held, ok := l.endpoints[t.ID]; ok && held != t || !ok && t.State != balancer.Removed {
			return false
		}
	}
	return !news.complete || len(news.entries) == len(l.endpoints)
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

// cancel calls an attempt off, or later if its caller may still read what it brings.
func (l *loop) cancel(p *requestState, a *attempt) {
	if a.outlivesHalfClose = p.departed == halfClosed && a.hasBegun(); !a.outlivesHalfClose {
		a.cancel()
	}
}

func (l *loop) send(s balancer.Send) {
	p := l.pending[s.ID]
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{
		ctx: ctx, cancel: cancel, call: p.call, number: len(p.attempts),
		to: l.endpoints[s.Endpoint].instance(), sent: l.now, deadline: min(l.now+s.Timeout, p.call.deadline), notAfter: s.NotAfter,
	}
	p.attempts = append(p.attempts, a)
	p.inFlight++
	l.stats.Sends++
	l.start(a)
}

func (l *loop) finish(id string, a response) {
	p := l.pending[id]
	if p == nil || p.answered {
		return
	}
	if a.kind == responseRejected {
		l.stats.Rejected++
	} else {
		l.stats.Failed++
	}
	l.respond(p, a)
	l.forget(p)
}

// lag notes how long after an event the loop got to it.
func (l *loop) noteLag(at time.Duration) {
	d := -l.clock.until(at)
	l.stats.LagMax = max(l.stats.LagMax, d)
	l.stats.LagSum += d
	l.stats.Events++
}

// report logs what happened since the last report.
func (l *loop) report() {
	s := l.stats
	l.stats = stats{}
	if s.Events == 0 {
		return
	}
	e := s.Results
	l.log.With(l.connectionStats()...).Info("traffic", "requests", s.Requests, "served", s.Served, "refused", s.Rejected,
		"failed", s.Failed, "gone", s.Departed, "sends", s.Sends, "success", e[balancer.Success],
		"failure", e[balancer.ServerError], "overloaded", e[balancer.Rejected],
		"timed_out", e[balancer.TimedOut], "unreachable", e[balancer.ConnectFailed],
		"broken", e[balancer.ConnectionLost], "withdrawn", e[balancer.Cancelled], "void", e[balancer.NotSent],
		"pending", len(l.pending), "lag_max", s.LagMax, "lag_mean", s.LagSum/time.Duration(s.Events))
}
