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
// discovery client. The scale run makes its calls, and its attempts are simulated in memory. Many fit into one process,
// so that the cost of a fleet's control plane can be measured on one machine, like the hollow nodes of Kubernetes'
// kubemark.
type hollow struct {
	clock     monotime.Clock
	loop      *node.Loop
	discovery *discovery.Client
	simulate  attemptSimulator
	stopped   chan struct{} // closed once the loop has stopped

	mu           sync.Mutex
	pendingLists []postedList     // posted to the loop and not yet applied, the oldest first
	applied      []appliedVersion // the oldest first
	callCount    int64            // calls made so far; also the id of the last one
}

// attemptSimulator chooses the duration and the result of an attempt at an endpoint. It must not block.
type attemptSimulator func(endpoint string) (time.Duration, balancer.AttemptResult)

// postedList records the version of a list that was posted to the loop. The loop's hook gets only the entries, so the
// list is identified by the address of its first entry.
type postedList struct {
	firstEntry *endpointlist.Entry
	version    int64
}

// appliedVersion is a version of a list and the time when the node applied it.
type appliedVersion struct {
	version int64
	at      time.Time
}

// newHollow returns a hollow node that is not running yet; cfg.Listen and cfg.CachedList are not used. The loop's
// goroutine calls simulate for each attempt.
func newHollow(cfg node.Config, simulate attemptSimulator, log *slog.Logger) (*hollow, error) {
	h := &hollow{clock: monotime.New(), simulate: simulate, stopped: make(chan struct{})}
	var err error
	if h.loop, err = node.NewLoop(cfg, h.clock, log); err != nil {
		return nil, fmt.Errorf("hollow node: %w", err)
	}
	h.discovery = discovery.New(
		discovery.Config{Address: cfg.Discovery, Polled: cfg.Settings.PollDiscovery, Version: discovery.NoVersion},
		listObserver{node.DiscoveryHandler{Post: h.post}, h}, log,
	)
	h.loop.SetHooks(node.LoopHooks{
		StartAttempt: h.startAttempt, UpdateEndpoints: h.recordAppliedList, Subscribe: h.discovery.Subscribe,
	})
	h.loop.SetCachedList(endpointlist.List{Complete: true})
	return h, nil
}

// newHollowFromSpec returns a hollow node with the configuration of a NodeSpec. All its attempts succeed, after
// exponentially distributed times with the given mean.
func newHollowFromSpec(spec NodeSpec, mean time.Duration, rng *rand.Rand, log *slog.Logger) (*hollow, error) {
	text, err := spec.Configuration()
	if err != nil {
		return nil, err
	}
	cfg, err := node.ParseConfig(text)
	if err != nil {
		return nil, err
	}
	// Only the loop's goroutine calls this function, since rng is not safe for concurrent use.
	simulate := func(string) (time.Duration, balancer.AttemptResult) {
		return time.Duration(rng.ExpFloat64() * float64(mean)), balancer.Success
	}
	return newHollow(cfg, simulate, log)
}

// run runs the discovery client and the loop until ctx ends. Calls that are pending then get no response.
func (h *hollow) run(ctx context.Context) {
	go func() {
		defer close(h.stopped)
		h.loop.Run(ctx)
	}()
	h.discovery.Run(ctx)
	<-h.stopped
	h.discovery.CloseIdleConnections()
}

// ready reports whether the node is ready, which means that one of its listed endpoints is.
func (h *hollow) ready() bool { return h.loop.Ready() }

// call makes a call whose client waits for the response until the deadline, relative to now. It blocks only while the
// loop's queue is full. done is called once, from another goroutine, unless the node stops first.
func (h *hollow) call(class string, deadline time.Duration, done func(node.ResponseKind)) {
	h.mu.Lock()
	h.callCount++
	id := strconv.FormatInt(h.callCount, 10)
	h.mu.Unlock()
	now := h.clock.Now()
	event, answered := node.NewRequestEvent(id, class, now, now+deadline)
	h.post(event)
	go func() {
		select {
		case response := <-answered:
			done(response.Kind)
		case <-h.stopped:
		}
	}()
}

// post queues an event for the loop, unless the loop has stopped.
func (h *hollow) post(e node.Event) {
	select {
	case h.loop.Queue() <- e:
	case <-h.stopped:
	}
}

// startAttempt simulates an attempt: it ends after the simulated time, at its deadline, or when it is cancelled.
func (h *hollow) startAttempt(a *node.Attempt) {
	delay, result := h.simulate(a.Instance.UID)
	if remaining := h.clock.Until(a.Deadline); delay > remaining {
		delay, result = remaining, balancer.TimedOut
	}
	go func() {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-a.Done():
			result = balancer.Cancelled
		case <-h.stopped:
		}
		h.post(a.EndedEvent(upstream.Outcome{Result: result, EndedAt: h.clock.Now()}))
	}()
}

// listObserver is the discovery.Handler of a hollow node. It records the version of each list posted to the loop.
type listObserver struct {
	node.DiscoveryHandler
	node *hollow
}

// ListReceived records the version of a list, and posts the list to the loop.
func (o listObserver) ListReceived(list endpointlist.List) {
	if len(list.Entries) > 0 {
		o.node.mu.Lock()
		o.node.pendingLists = append(o.node.pendingLists, postedList{&list.Entries[0], list.Version})
		o.node.mu.Unlock()
	}
	o.DiscoveryHandler.ListReceived(list)
}

// recordAppliedList records the time at which the loop applies a list that changes something. It drops the records of
// earlier lists, which changed nothing.
func (h *hollow) recordAppliedList(entries []endpointlist.Entry, _ bool) {
	if len(entries) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.pendingLists) > 0 {
		posted := h.pendingLists[0]
		h.pendingLists = h.pendingLists[1:]
		if posted.firstEntry == &entries[0] {
			h.applied = append(h.applied, appliedVersion{posted.version, time.Now()})
			return
		}
	}
}

// appliedAt returns when the node first applied a version or a newer one, and whether it has.
func (h *hollow) appliedAt(version int64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := sort.Search(len(h.applied), func(i int) bool { return h.applied[i].version >= version })
	if i == len(h.applied) {
		return time.Time{}, false
	}
	return h.applied[i].at, true
}
