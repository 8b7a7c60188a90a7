package node

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"balancer"
)

// Answer says how a call that was made on a Hollow ended.
type Answer int

// Answers.
const (
	Served Answer = iota
	Refused
	Failed
)

// Hollow is a node without sockets to callers and servers: the real module, the real event loop and the
// real discovery client. Its calls come from the program it is in, and its attempts end in memory. Many fit
// one process, which is how the cost of a fleet's control is measured on one machine.
type Hollow struct {
	loop      *loop
	discovery *discovery
	push      bool
	serve     func(server string) (time.Duration, balancer.AttemptResult)
	onList    func(rev int64, at time.Time)
	over      chan struct{} // closed once the loop takes no more events

	mu    sync.Mutex
	lists []heardList // posted, and not yet taken over; the oldest first
	calls int64
}

// heardList tells by its first entry which version a list is that the loop takes over.
type heardList struct {
	first *listEntry
	rev   int64
}

// NewHollow puts a hollow node together; cfg.Listen is not used. serve draws how an attempt at a server ends
// and after how long. onList is called, from the goroutine of the loop, as the module is about to be told of a
// list that changes something; neither may block.
func NewHollow(cfg Config, log *slog.Logger, serve func(server string) (time.Duration, balancer.AttemptResult),
	onList func(rev int64, at time.Time),
) (*Hollow, error) {
	set := moduleSettings(cfg)
	balancer, err := balancer.New(set, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("hollow node: %w", err)
	}
	h := &Hollow{push: !set.PollDiscovery, serve: serve, onList: onList, over: make(chan struct{})}
	h.loop = newLoop(balancer, newClock(), log)
	h.loop.rules.Store(newRequestRules(1, set))
	h.loop.start, h.loop.updateEndpoints, h.loop.listsPushed = h.start, h.taken, h.push
	h.discovery = newDiscovery(cfg, -1, h.post, log)
	h.loop.subscribe = h.discovery.subscribe
	if h.loop.cachedList = (endpointList{complete: true}); !h.push {
		h.loop.useCachedList() // the module asks for more
	}
	return h, nil
}

// Run follows discovery and answers calls until ctx ends; calls that are out then are never answered.
func (h *Hollow) Run(ctx context.Context) {
	go func() {
		defer close(h.over)
		h.loop.run(ctx)
	}()
	if h.push {
		h.discovery.runPushed(ctx)
	} else {
		h.discovery.runPolled(ctx)
	}
	<-h.over
	h.discovery.address().client.CloseIdleConnections()
}

// Ready says whether a listed server may be sent to.
func (h *Hollow) Ready() bool { return h.loop.ready.Load() }

// Call makes a call that its caller gives up on after deadline. It blocks only while the loop's queue is
// full; done is called once, from another goroutine, unless the node ends first.
func (h *Hollow) Call(class string, deadline time.Duration, done func(Answer)) {
	h.mu.Lock()
	h.calls++
	id := strconv.FormatInt(h.calls, 10)
	h.mu.Unlock()
	now := h.loop.clock.now()
	c := &request{id: id, class: class, receivedAt: now, deadline: now + deadline, revision: 1, response: make(chan response, 1)}
	h.post(requestReceived{c})
	go func() {
		select {
		case a := <-c.response:
			switch a.kind {
			case responseServed:
				done(Served)
			case responseRejected:
				done(Refused)
			default:
				done(Failed)
			}
		case <-h.over:
		}
	}()
}

// post hands the loop an event, unless it has ended.
func (h *Hollow) post(e event) {
	if news, ok := e.(listReceived); ok && len(news.list.entries) > 0 {
		h.mu.Lock()
		h.lists = append(h.lists, heardList{&news.list.entries[0], news.list.version})
		h.mu.Unlock()
	}
	select {
	case h.loop.events <- e:
	case <-h.over:
	}
}

// taken tells of a list that the loop takes over. One that changed nothing is passed over.
func (h *Hollow) taken(targets []listEntry, _ bool) {
	if len(targets) == 0 {
		return
	}
	h.mu.Lock()
	for len(h.lists) > 0 {
		l := h.lists[0]
		h.lists = h.lists[1:]
		if l.first == &targets[0] {
			h.mu.Unlock()
			h.onList(l.rev, time.Now())
			return
		}
	}
	h.mu.Unlock()
}

// start ends an attempt in memory after the time drawn for it, or when it times out or is withdrawn.
func (h *Hollow) start(a *attempt) {
	delay, ending := h.serve(a.to.uid)
	if left := h.loop.clock.until(a.deadline); delay > left {
		delay, ending = left, balancer.TimedOut
	}
	go func() {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-a.ctx.Done():
			ending = balancer.Cancelled
		case <-h.over:
		}
		a.cancel()
		h.post(attemptEnded{a, attemptOutcome{result: ending, endedAt: h.loop.clock.now()}})
	}()
}
