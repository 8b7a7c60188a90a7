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
	return clock{elapsed: func() time.Duration { return time.Since(start) },
		unix: func() time.Duration { return time.Duration(time.Now().UnixNano()) }}
}

func (c clock) now() time.Duration { return processStart + c.elapsed() }

// until is how long it is to a clock time.
func (c clock) until(at time.Duration) time.Duration { return at - c.now() }

// call is a caller's request, as it came.
type call struct {
	id, class, method, target, key string
	contentType                    string
	body                           []byte
	firstByte                      time.Duration // clock time when its first byte was read; 0: at
	at                             time.Duration // clock time when it was complete
	deadline                       time.Duration // clock time until which the client waits
	effort                         time.Duration // hinted; 0: not told
	revision                       int           // of the rules that it was checked against
	answer                         chan answer   // takes one answer without blocking

	mu       sync.Mutex
	departed bool // its caller has left, or may have: no attempt of it is to begin any more
	begun    bool // one has begun
}

// begin notes that the first byte of an attempt is written next, unless its caller has departed.
func (c *call) begin(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.departed {
		return false
	}
	a.begun, c.begun = true, true
	return true
}

// depart keeps further attempts from beginning, and tells whether one has begun.
func (c *call) depart() (begun bool) {
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
type answer struct {
	kind       answerKind
	body       []byte // for served
	header     string // for served: the Content-Type
	retryAfter time.Duration
	reason     *rejected // for unfit
}

type answerKind int

const (
	served answerKind = iota
	refused
	failed
	duplicate // the id is in use
	unfit     // new rules came between its check and the module
)

// event is what the other parts tell the loop: one of the types below.
type event interface{}

type (
	arrived    struct{ call *call }
	callerGone struct {
		call   *call
		how    departure
		at     time.Duration
		advice time.Duration // when to come back, for a refusal
	}
	ended struct {
		attempt *attempt
		result  result
	}
	listNews        struct{ list list }
	listConfirmed   struct{} // discovery has answered that nothing has changed
	listFailed      struct{}
	discoverySilent struct{} // discovery says nothing: the list that the node last had must do
	newSettings     struct {
		settings balancer.Settings
		rules    *rules
		inForce  func(at time.Duration)
	}
	lastCall struct{} // the node ends: what is unanswered is answered now
)

// pending is a call that the module still knows: unanswered, or with attempts out.
type pending struct {
	call     *call
	attempts []*attempt
	out      int
	answered bool
	departed departure     // to the module its client has gone, unless this is present
	advice   time.Duration // for a refusal then
	ran      bool          // an attempt that has ended may have run
}

// alarm is a Wake to come.
type alarm struct {
	at    time.Duration
	token string
}

type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)        { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// stats count what happened, for the log.
type stats struct {
	Requests, Served, Refused, Failed, Gone, Sends int
	Endings                                        [8]int
	LagMax, LagSum                                 time.Duration
	Events                                         int
}

// loop is the only goroutine that touches the Balancer. It never blocks on I/O: answers go to
// channels with room, and attempts run in goroutines of their own.
type loop struct {
	clock     clock
	balancer  *balancer.Balancer
	events    chan event
	start     func(*attempt) // begins an attempt; must not block
	subscribe func()
	servers   func([]target, bool) // tells the backend of the list; must not block
	push      bool                 // lists are pushed
	sockets   func() []any         // more for the log's report
	log       *slog.Logger
	rules     atomic.Pointer[rules] // as the module has them; set by the loop alone once it runs

	now     time.Duration
	pending map[string]*pending
	alarms  alarms
	listed  map[string]target
	boots   *bootClock
	known   list        // as the node last had it; of use, and kept, only until a list is heard
	heard   bool        // the list is as new as it can be had
	ready   atomic.Bool // a listed server may be sent to
	stats   stats

	readyServers int // how many of listed are ready
}

func newLoop(b *balancer.Balancer, c clock, log *slog.Logger) *loop {
	return &loop{clock: c, balancer: b, sockets: func() []any { return nil }, events: make(chan event, 1024), log: log,
		pending: map[string]*pending{}, listed: map[string]target{}, boots: newBootClock(c)}
}

func (l *loop) post(e event) { l.events <- e }

// statsEvery is how often the log tells what happened, when anything did.
const statsEvery = 10 * time.Second

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	report := time.NewTicker(statsEvery)
	defer report.Stop()
	defer l.report()
	for {
		l.ring()
		if len(l.alarms) > 0 {
			timer.Reset(max(0, l.clock.until(l.alarms[0].at)))
		}
		select {
		case e := <-l.events:
			l.take(e)
		case <-timer.C:
		case <-report.C:
			l.report()
		case <-ctx.Done():
			return
		}
	}
}

// ring handles the alarms that are due.
func (l *loop) ring() {
	for len(l.alarms) > 0 {
		now := l.clock.now()
		if l.alarms[0].at > now {
			return
		}
		a := heap.Pop(&l.alarms).(alarm)
		l.handle(now, balancer.Timer{Token: a.token})
	}
}

// take hands one event to the module, at the time when it happened rather than when the loop got to it.
func (l *loop) take(e event) {
	switch e := e.(type) {
	case arrived:
		l.lag(e.call.at)
		if l.pending[e.call.id] != nil {
			// The module ignores a second request with an id that it knows, so nobody would answer.
			e.call.answer <- answer{kind: duplicate}
			return
		}
		// Callers' goroutines check by the rules that they find; the module knows only those in force now.
		if rules := l.rules.Load(); e.call.revision != rules.revision {
			if no := rules.admit(e.call); no != nil {
				e.call.answer <- answer{kind: unfit, reason: no}
				return
			}
		}
		l.stats.Requests++
		l.pending[e.call.id] = &pending{call: e.call}
		l.handle(e.call.at, balancer.Request{ID: e.call.id, Class: e.call.class, FirstByte: e.call.firstByte,
			Deadline: e.call.deadline, ExpectedWork: e.call.effort})
	case callerGone:
		l.lag(e.at)
		if p := l.pending[e.call.id]; p != nil && p.call == e.call && !p.answered {
			l.depart(p, e)
		}
	case ended:
		l.lag(e.result.at)
		l.end(e.attempt, e.result)
	case newSettings:
		l.handle(l.clock.now(), balancer.Reconfigure{Settings: e.settings})
		l.rules.Store(e.rules)
		e.inForce(l.clock.now())
	case lastCall:
		l.handle(l.clock.now(), balancer.Shutdown{})
		for _, p := range l.pending { // to the module these are answered
			if p.departed != present && !p.answered {
				l.answerDeparted(p)
			}
		}
	case listNews:
		if !e.list.full {
			l.useCachedList()
		}
		l.takeList(e.list, false)
	case listConfirmed:
		l.boots.confirm()
	case listFailed:
		l.handle(l.clock.now(), balancer.SubscriptionFailed{})
	case discoverySilent:
		l.useCachedList()
	}
}

// depart has no further attempt made for a caller that has left, or whose leaving can't be seen: to the
// module its client has gone. One that has only stopped sending gets the answer of an attempt that has
// begun, which goes on unless the caller is known to be gone.
func (l *loop) depart(p *pending, e callerGone) {
	first := p.departed == present
	p.departed, p.advice = e.how, e.advice
	if first {
		l.stats.Gone++
		l.handle(e.at, balancer.ClientGone{ID: e.call.id})
	}
	if e.how == gone {
		p.answered = true // nobody reads one
		l.cancelKept(p)
		l.forget(p)
		return
	}
	l.answerUnlessBegun(p)
}

// answerUnlessBegun answers a departed caller unless an attempt may still bring an answer that it reads.
func (l *loop) answerUnlessBegun(p *pending) {
	if p.answered {
		return
	}
	for _, a := range p.attempts {
		if p.departed == halfClosed && !a.ended && a.hasBegun() {
			return
		}
	}
	l.answerDeparted(p)
}

// answerDeparted gives a departed caller the final answer that the module leaves out: a refusal unless an attempt
// may have run.
func (l *loop) answerDeparted(p *pending) {
	ran := p.ran
	for _, a := range p.attempts {
		ran = ran || !a.ended && a.hasBegun()
	}
	if ran {
		l.finish(p.call.id, answer{kind: failed})
	} else {
		l.finish(p.call.id, answer{kind: refused, retryAfter: p.advice})
	}
}

// cancelKept calls off the attempts that went on for a caller that had only stopped sending.
func (l *loop) cancelKept(p *pending) {
	for _, a := range p.attempts {
		if a.kept {
			a.cancel()
		}
	}
}

// end passes on how an attempt ended. The first success is the caller's answer.
func (l *loop) end(a *attempt, r result) {
	p := l.pending[a.call.id]
	l.stats.Endings[r.ending]++
	p.out--
	a.ended = true
	switch r.ending {
	case balancer.ConnectFailed, balancer.Rejected, balancer.NotSent:
	default:
		p.ran = p.ran || a.hasBegun()
	}
	if r.ending == balancer.Success && !p.answered {
		l.stats.Served++
		l.answer(p, answer{kind: served, body: r.body, header: r.contentType})
	}
	l.handle(r.at, balancer.AttemptEnded{ID: a.call.id, Attempt: a.n, Endpoint: a.to.server, Result: r.ending,
		Latency: r.at - a.sent, Answered: p.answered, HeldUp: a.heldUp})
	if p.departed != present {
		l.answerUnlessBegun(p)
	}
	l.forget(p)
}

func (l *loop) answer(p *pending, a answer) {
	p.answered = true
	p.call.answer <- a
	l.cancelKept(p)
}

// forget drops a call once nothing of it is left, as the module does.
func (l *loop) forget(p *pending) {
	if p.answered && p.out == 0 {
		delete(l.pending, p.call.id)
	}
}

// useCachedList begins with the list that the node last had, unless a newer one has been heard. What the agent
// holds counts as told from a process's first moment: until it is known, or can't be had, no server may be
// sent to by an old list, and what callers ask for is held.
func (l *loop) useCachedList() {
	if !l.heard {
		l.takeList(l.known, true)
	}
}

// takeList keeps where the servers listen, and passes the list on. A list that changes nothing, as after
// discovery has moved, is not passed on where lists are pushed: the module takes each list for a change
// and cuts its pool anew, so telling it of nothing would move requests and open connections for nothing.
func (l *loop) takeList(news list, cached bool) {
	l.heard, l.known = true, list{}
	l.convertBoots(news.targets)
	if !cached {
		defer l.boots.confirm()
	}
	if !cached && l.push && l.holds(news) {
		return
	}
	e := balancer.EndpointUpdate{Complete: news.full, Cached: cached, Endpoints: l.apply(news)}
	l.servers(news.targets, news.full)
	l.handle(l.clock.now(), e)
	l.ready.Store(l.readyServers > 0)
}

// convertBoots sets the clock time of each entry's start, as it was converted when its boot_ms was first seen.
func (l *loop) convertBoots(targets []target) {
	l.boots.observe()
	for i := range targets {
		t := &targets[i]
		held, isHeld := l.listed[t.ID]
		t.StartedAt = l.boots.started(t.bootMS, held, isHeld)
	}
}

// apply takes over the entries of a list, and returns them as the module is to be told of them.
func (l *loop) apply(news list) []balancer.Endpoint {
	if news.full {
		clear(l.listed)
		l.readyServers = 0
	}
	servers := make([]balancer.Endpoint, len(news.targets))
	for i, t := range news.targets {
		servers[i] = t.Endpoint
		l.applyEntry(t)
	}
	return servers
}

// applyEntry takes over an entry of a list.
func (l *loop) applyEntry(t target) {
	if old, ok := l.listed[t.ID]; ok && old.State == balancer.Ready {
		l.readyServers--
	}
	if t.State == balancer.Removed {
		delete(l.listed, t.ID)
		return
	}
	l.listed[t.ID] = t
	if t.State == balancer.Ready {
		l.readyServers++
	}
}

// holds says that a list tells nothing new.
func (l *loop) holds(news list) bool {
	for _, t := range news.targets {
		if held, ok := l.listed[t.ID]; ok && held != t || !ok && t.State != balancer.Removed {
			return false
		}
	}
	return !news.full || len(news.targets) == len(l.listed)
}

// handle feeds the module and carries out what it decides.
func (l *loop) handle(at time.Duration, e balancer.Event) {
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
			l.finish(a.ID, answer{kind: refused, retryAfter: a.RetryAfter})
		case balancer.Fail:
			l.finish(a.ID, answer{kind: failed})
		case balancer.SetTimer:
			heap.Push(&l.alarms, alarm{a.At, a.Token})
		case balancer.Subscribe:
			l.subscribe()
		}
	}
}

// cancel calls an attempt off, or later if its caller may still read what it brings.
func (l *loop) cancel(p *pending, a *attempt) {
	if a.kept = p.departed == halfClosed && a.hasBegun(); !a.kept {
		a.cancel()
	}
}

func (l *loop) send(s balancer.Send) {
	p := l.pending[s.ID]
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{ctx: ctx, cancel: cancel, call: p.call, n: len(p.attempts),
		to: l.listed[s.Endpoint].host(), sent: l.now, deadline: min(l.now+s.Timeout, p.call.deadline), before: s.NotAfter}
	p.attempts = append(p.attempts, a)
	p.out++
	l.stats.Sends++
	l.start(a)
}

func (l *loop) finish(id string, a answer) {
	p := l.pending[id]
	if p == nil || p.answered {
		return
	}
	if a.kind == refused {
		l.stats.Refused++
	} else {
		l.stats.Failed++
	}
	l.answer(p, a)
	l.forget(p)
}

// lag notes how long after an event the loop got to it.
func (l *loop) lag(at time.Duration) {
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
	e := s.Endings
	l.log.With(l.sockets()...).Info("traffic", "requests", s.Requests, "served", s.Served, "refused", s.Refused,
		"failed", s.Failed, "gone", s.Gone, "sends", s.Sends, "success", e[balancer.Success],
		"failure", e[balancer.ServerError], "overloaded", e[balancer.Rejected],
		"timed_out", e[balancer.TimedOut], "unreachable", e[balancer.ConnectFailed],
		"broken", e[balancer.ConnectionLost], "withdrawn", e[balancer.Cancelled], "void", e[balancer.NotSent],
		"pending", len(l.pending), "lag_max", s.LagMax, "lag_mean", s.LagSum/time.Duration(s.Events))
}
