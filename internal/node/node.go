package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"basaltdrum/internal/discovery"
	"basaltdrum/internal/downstream"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/upstream"
)

// reservedDescriptors is how many descriptors are kept for the listener, discovery, the log and the Go runtime, and
// for clients whose requests are only read to be rejected.
const reservedDescriptors = 48

// readAheadMemoryShare is the divisor that gives the part of the node's memory limit which the read-ahead buffers of
// all downstream connections together may use.
const readAheadMemoryShare = 16

// Node is one load balancer on sockets. New makes one, Run serves until its context ends, and Reload puts another
// configuration into force meanwhile.
type Node struct {
	loop      *Loop
	frontend  *frontend
	upstream  *upstream.Pool
	discovery *discovery.Client
	listener  net.Listener
	log       *slog.Logger

	mu            sync.Mutex // guards what Reload changes
	cfg           Config
	revision      int // of the configuration; 1 is the one of the start
	drainSchedule drainSchedule
	drainLimit    time.Duration
}

// initialRevision is the revision of the configuration that a node starts with.
const initialRevision = 1

// LimitResources keeps the process within one core and within its memory.
func LimitResources(cfg Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
}

// New sets up a node and begins to listen. Nothing is served before Run.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	clock := monotime.New()
	l, err := NewLoop(cfg, clock, log)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	n := &Node{
		loop: l, log: log,
		upstream: upstream.NewPool(clock, (cfg.Sockets-reservedDescriptors)/2, upstreamTimeouts(cfg)),
		cfg:      cfg, revision: initialRevision, drainSchedule: newDrainSchedule(cfg), drainLimit: drainLimit(cfg),
	}
	conns := downstream.NewConns(clock, downstreamLimits(cfg), n.upstream.Connections)
	n.upstream.Allowance = conns.UpstreamAllowance
	n.frontend = newFrontend(clock, conns, &l.rules, l.post, l.Ready, log)
	l.traffic.connectionStats = n.connectionStats
	cached := n.setUpDiscovery(cfg)
	l.SetHooks(LoopHooks{
		StartAttempt: n.startAttempt, UpdateEndpoints: n.upstream.UpdateEndpoints, Subscribe: n.discovery.Subscribe,
	})
	l.SetCachedList(cached)
	if n.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return n, nil
}

// downstreamLimits are the limits on downstream connections that follow from a configuration.
func downstreamLimits(cfg Config) downstream.Limits {
	descriptors := cfg.Sockets - reservedDescriptors
	return downstream.Limits{
		Descriptors: descriptors, UpstreamReserve: descriptors / 4, RejectReserve: reservedDescriptors / 2,
		ReadAhead: int64(cfg.MemoryMB) << 20 / readAheadMemoryShare, GracePeriods: downstream.DefaultGracePeriods(),
	}
}

// setUpDiscovery makes the client of discovery, and returns the cached list.
func (n *Node) setUpDiscovery(cfg Config) (cached endpointlist.List) {
	cached, err := endpointlist.Parse(cfg.CachedList)
	version := cached.Version
	if err != nil {
		n.log.Warn("cached endpoint list is not usable", "error", err)
		cached, version = endpointlist.List{Complete: true}, discovery.NoVersion
	}
	n.cfg.CachedList = nil // it is long, and only counts at the start
	n.discovery = discovery.New(
		discovery.Config{Address: cfg.Discovery, Polled: cfg.Settings.PollDiscovery, Version: version},
		DiscoveryHandler{n.loop.post}, n.log,
	)
	return cached
}

// startAttempt runs an attempt in a goroutine of its own, which posts the outcome.
func (n *Node) startAttempt(a *Attempt) {
	go func() {
		n.loop.post(a.EndedEvent(n.upstream.Do(a.ctx, &a.Attempt)))
	}()
}

// connectionStats returns the attributes of the traffic line that tell of connections, and resets their counts.
func (n *Node) connectionStats() []any {
	counts, open := n.frontend.conns.TakeCounts()
	return []any{
		slog.Group("downstream", "open", open, "accepted", counts.Accepted, "accept_failed", counts.AcceptFailed,
			"evicted", counts.Evicted, "over_capacity", counts.Rejected, "closed_unread", counts.ClosedUnread),
		slog.Group("upstream", "open", n.upstream.Stats().Open),
	}
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Run serves until ctx ends, and then drains: until all requests that were received are answered, or the drain
// limit has passed. It returns once the goroutines that it started have ended; the package comment says which.
func (n *Node) Run(ctx context.Context) error {
	stop := n.startBackground(context.WithoutCancel(ctx))
	defer stop()
	var serveErr error
	served := make(chan struct{})
	ln := downstream.NewListener(n.listener, n.frontend.conns, n.frontend.server.ReadTimeout, n.log)
	go func() {
		defer close(served)
		serveErr = n.frontend.server.Serve(ln)
	}()
	select {
	case <-served:
		return fmt.Errorf("node: %w", serveErr)
	case <-ctx.Done():
	}
	n.log.Info("draining")
	n.mu.Lock()
	limit, schedule := n.drainLimit, n.drainSchedule
	n.mu.Unlock()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	if err := n.frontend.drain.run(drainCtx, ln, served, schedule); err != nil {
		return fmt.Errorf("node: drain: %w", err)
	}
	return nil
}

// startBackground starts the loop, and discovery and the sweep of idle connections, which post to it. The function
// that it returns ends them and waits for them, the loop last: post must not block for want of a reader.
func (n *Node) startBackground(ctx context.Context) (stop func()) {
	loopCtx, stopLoop := context.WithCancel(ctx)
	feederCtx, stopFeeders := context.WithCancel(ctx)
	var loop, feeders sync.WaitGroup
	start := func(group *sync.WaitGroup, ctx context.Context, run func(context.Context)) {
		group.Add(1)
		go func() {
			defer group.Done()
			run(ctx)
		}()
	}
	start(&loop, loopCtx, n.loop.Run)
	start(&feeders, feederCtx, n.upstream.CloseExpired)
	start(&feeders, feederCtx, n.discovery.Run)
	return func() {
		stopFeeders()
		feeders.Wait()
		stopLoop()
		loop.Wait()
	}
}
