package nodes

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/discovery"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/node"
	"basaltdrum/internal/upstream"
)

// hollow is a node without sockets to clients and endpoints: the real module, the real event loop and the real
// discovery client. The scale run makes its calls, and its attempts end in memory. Many fit into one process, so that
// the cost of a fleet's control plane can be measured on one machine, as Kubernetes does with the hollow nodes of
// kubemark.
type hollow struct {
	clock     monotime.Clock
	loop      *node.Loop
	discovery *discovery.Client
	serve     serveFunc
	ended     chan struct{} // closed once the loop has ended

	mu      sync.Mutex
	lists   []postedList     // posted to the loop and not yet applied, the oldest first
	applied []appliedVersion // the oldest first
	calls   int64            // how many were made; the last one's id
}

// serveFunc draws the outcome of an attempt at an endpoint, and the time that it takes. It must not block.
type serveFunc func(endpoint string) (time.Duration, balancer.AttemptResult)

// postedList remembers the version of a list that was posted. The loop passes on the entries alone, so the list is
// recognised by the address of its first entry.
type postedList struct {
	first   *endpointlist.Entry
	version int64
}

// appliedVersion is a version of a list, and when the node has applied it.
type appliedVersion struct {
	rev int64
	at  time.Time
}

// newHollow sets up a hollow node; cfg.Listen and cfg.Known are not used. The loop's goroutine calls serve for each
// attempt.
func newHollow(cfg node.Config, serve serveFunc, log *slog.Logger) (*hollow, error) {
	h := &hollow{clock: monotime.New(), serve: serve, ended: make(chan struct{})}
	var err error
	if h.loop, err = node.NewLoop(cfg, h.clock, log); err != nil {
		return nil, fmt.Errorf("hollow node: %w", err)
	}
	h.discovery = discovery.New(
		discovery.Config{Address: cfg.Discovery, Polled: cfg.Settings.PollDiscovery, Version: discovery.NoVersion},
		listObserver{node.DiscoveryHandler{Post: h.post}, h}, log,
	)
	h.loop.SetHooks(node.LoopHooks{
		StartAttempt: h.startAttempt, UpdateEndpoints: h.listApplied, Subscribe: h.discovery.Subscribe,
	})
	h.loop.SetCachedList(endpointlist.List{Complete: true})
	return h, nil
}

// newSpecifiedHollow sets up a hollow node by its specification. Its attempts all succeed, after times that are drawn
// with the mean given.
func newSpecifiedHollow(spec NodeSpec, mean time.Duration, draws *rand.Rand, log *slog.Logger) (*hollow, error) {
	text, err := spec.Configuration()
	if err != nil {
		return nil, err
	}
	cfg, err := node.ParseConfig(text)
	if err != nil {
		return nil, err
	}
	// The loop's goroutine alone calls it, as draws needs.
	serve := func(string) (time.Duration, balancer.AttemptResult) {
		return time.Duration(draws.ExpFloat64() * float64(mean)), balancer.Success
	}
	return newHollow(cfg, serve, log)
}

// run follows discovery and answers calls until ctx ends. Calls that are pending then are never answered.
func (h *hollow) run(ctx context.Context) {
	go func() {
		defer close(h.ended)
		h.loop.Run(ctx)
	}()
	h.discovery.Run(ctx)
	<-h.ended
	h.discovery.CloseIdleConnections()
}

// ready reports whether a listed endpoint is ready.
func (h *hollow) ready() bool { return h.loop.Ready() }

// call makes a call whose client waits until the deadline, counted from now. It blocks only while the loop's queue
// is full. done is called once, from another goroutine, unless the node ends first.
func (h *hollow) call(class string, deadline time.Duration, done func(node.ResponseKind)) {
	h.mu.Lock()
	h.calls++
	id := strconv.FormatInt(h.calls, 10)
	h.mu.Unlock()
	now := h.clock.Now()
	event, answered := node.NewRequestEvent(id, class, now, now+deadline)
	h.post(event)
	go func() {
		select {
		case response := <-answered:
			done(response.Kind)
		case <-h.ended:
		}
	}()
}

// post queues an event for the loop, unless the loop has ended.
func (h *hollow) post(e node.Event) {
	select {
	case h.loop.Queue() <- e:
	case <-h.ended:
	}
}

// startAttempt runs an attempt in memory: it ends after the time drawn for it, at its deadline, or when it is
// cancelled.
func (h *hollow) startAttempt(a *node.Attempt) {
	delay, result := h.serve(a.Instance.UID)
	if left := h.clock.Until(a.Deadline); delay > left {
		delay, result = left, balancer.TimedOut
	}
	go func() {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-a.Done():
			result = balancer.Cancelled
		case <-h.ended:
		}
		h.post(a.EndedEvent(upstream.Outcome{Result: result, EndedAt: h.clock.Now()}))
	}()
}

// listObserver is the discovery.Handler of a hollow node. It records the versions of lists on their way to the loop.
type listObserver struct {
	node.DiscoveryHandler
	node *hollow
}

// ListReceived records the version of a list, and posts it.
func (o listObserver) ListReceived(list endpointlist.List) {
	if len(list.Entries) > 0 {
		o.node.mu.Lock()
		o.node.lists = append(o.node.lists, postedList{&list.Entries[0], list.Version})
		o.node.mu.Unlock()
	}
	o.DiscoveryHandler.ListReceived(list)
}

// listApplied records that the loop applies a list that changes something. Lists that were posted before it and
// changed nothing are dropped.
func (h *hollow) listApplied(entries []endpointlist.Entry, _ bool) {
	if len(entries) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.lists) > 0 {
		posted := h.lists[0]
		h.lists = h.lists[1:]
		if posted.first == &entries[0] {
			h.applied = append(h.applied, appliedVersion{posted.version, time.Now()})
			return
		}
	}
}

// appliedAt returns when the node has applied a version or a newer one, if it has.
func (h *hollow) appliedAt(rev int64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := sort.Search(len(h.applied), func(i int) bool { return h.applied[i].rev >= rev })
	if i == len(h.applied) {
		return time.Time{}, false
	}
	return h.applied[i].at, true
}
