package node

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/discovery"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
)

// Answer says how a call that was made on a Hollow node ended.
type Answer int

// The answers of a Hollow node.
const (
	Served   Answer = iota // by an endpoint
	Rejected               // not forwarded
	Failed                 // forwarded, and no answer came back
)

// String names the answer for logs.
func (a Answer) String() string {
	switch a {
	case Served:
		return "served"
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	}
	return fmt.Sprintf("Answer(%d)", int(a))
}

// Hollow is a node without sockets to clients and endpoints: the real module, the real event loop and the real
// discovery client. The program that it is part of makes its calls, and its attempts end in memory. Many fit into
// one process, so that the cost of a fleet's control plane can be measured on one machine, as Kubernetes does with
// the hollow nodes of kubemark.
type Hollow struct {
	loop        *loop
	discovery   *discovery.Client
	listsPushed bool
	serve       ServeFunc
	onList      func(version int64, at time.Time)
	ended       chan struct{} // closed once the loop has ended

	mu    sync.Mutex
	lists []postedList // posted to the loop and not yet applied, the oldest first
	calls int64        // how many were made; the last one's id
}

// ServeFunc draws the outcome of an attempt at an endpoint, and the time that it takes. It must not block.
type ServeFunc func(endpoint string) (time.Duration, balancer.AttemptResult)

// postedList remembers the version of a list that was posted. The loop passes on the entries alone, so the list is
// recognised by the address of its first entry.
type postedList struct {
	first   *endpointlist.Entry
	version int64
}

// NewHollow sets up a hollow node; cfg.Listen is not used. The loop's goroutine calls serve for each attempt, and
// onList just before the module gets a list that changes something; neither may block.
func NewHollow(cfg Config, log *slog.Logger, serve ServeFunc, onList func(version int64, at time.Time)) (*Hollow, error) {
	set := moduleSettings(cfg)
	module, err := balancer.New(set, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("hollow node: %w", err)
	}
	h := &Hollow{listsPushed: !set.PollDiscovery, serve: serve, onList: onList, ended: make(chan struct{})}
	h.loop = newLoop(module, monotime.New(), log)
	h.loop.rules.Store(newRequestRules(1, set))
	h.loop.start, h.loop.updateEndpoints, h.loop.listsPushed = h.start, h.listApplied, h.listsPushed
	h.discovery = discovery.New(
		discovery.Config{Address: cfg.Discovery, Polled: set.PollDiscovery, Version: discovery.NoVersion},
		discoveryHandler{h.post}, log,
	)
	h.loop.subscribe = h.discovery.Subscribe
	h.loop.cachedList = endpointlist.List{Complete: true}
	if !h.listsPushed {
		h.loop.useCachedList() // the module subscribes for a newer list
	}
	return h, nil
}

// Run follows discovery and answers calls until ctx ends. Calls that are pending then are never answered.
func (h *Hollow) Run(ctx context.Context) {
	go func() {
		defer close(h.ended)
		h.loop.run(ctx)
	}()
	h.discovery.Run(ctx)
	<-h.ended
	h.discovery.CloseIdleConnections()
}

// Ready reports whether a listed endpoint is ready.
func (h *Hollow) Ready() bool { return h.loop.ready.Load() }

// Call makes a call whose client waits until the deadline, counted from now. It blocks only while the loop's queue
// is full. done is called once, from another goroutine, unless the node ends first.
func (h *Hollow) Call(class string, deadline time.Duration, done func(Answer)) {
	h.mu.Lock()
	h.calls++
	id := strconv.FormatInt(h.calls, 10)
	h.mu.Unlock()
	now := h.loop.clock.Now()
	r := &request{
		id: id, class: class, receivedAt: now, deadline: now + deadline, revision: 1,
		response: make(chan response, 1),
	}
	h.post(requestReceived{r})
	go func() {
		select {
		case answer := <-r.response:
			done(answerOf(answer.kind))
		case <-h.ended:
		}
	}()
}

// answerOf returns the answer that a response stands for.
func answerOf(kind responseKind) Answer {
	switch kind {
	case responseServed:
		return Served
	case responseRejected:
		return Rejected
	default:
		return Failed
	}
}

// post queues an event for the loop, unless the loop has ended.
func (h *Hollow) post(e event) {
	if received, ok := e.(listReceived); ok && len(received.list.Entries) > 0 {
		h.mu.Lock()
		h.lists = append(h.lists, postedList{&received.list.Entries[0], received.list.Version})
		h.mu.Unlock()
	}
	select {
	case h.loop.events <- e:
	case <-h.ended:
	}
}

// listApplied reports the version of a list that the loop applies. Lists that were posted before it and changed
// nothing are dropped.
func (h *Hollow) listApplied(entries []endpointlist.Entry, _ bool) {
	if len(entries) == 0 {
		return
	}
	if version, found := h.takePosted(&entries[0]); found {
		h.onList(version, time.Now())
	}
}

// takePosted removes a list from those that were posted, together with the older ones, and returns its version.
func (h *Hollow) takePosted(first *endpointlist.Entry) (version int64, found bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.lists) > 0 {
		posted := h.lists[0]
		h.lists = h.lists[1:]
		if posted.first == first {
			return posted.version, true
		}
	}
	return 0, false
}

// start runs an attempt in memory: it ends after the time drawn for it, at its deadline, or when it is cancelled.
func (h *Hollow) start(a *attempt) {
	delay, result := h.serve(a.instance.UID)
	if left := h.loop.clock.Until(a.deadline); delay > left {
		delay, result = left, balancer.TimedOut
	}
	go func() {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-a.ctx.Done():
			result = balancer.Cancelled
		case <-h.ended:
		}
		a.cancel()
		h.post(attemptEnded{a, attemptOutcome{result: result, endedAt: h.loop.clock.Now()}})
	}()
}
