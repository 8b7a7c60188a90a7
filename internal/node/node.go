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
	"basaltdrum/internal/membudget"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/upstream"
)

// reservedDescriptors is the number of file descriptors reserved for the listener, discovery, the log, the Go runtime,
// and clients whose requests are read only to be rejected.
const reservedDescriptors = 48

// readAheadMemoryDivisor divides the memory limit of the node; the read-ahead buffers of all downstream connections
// together may use the result.
const readAheadMemoryDivisor = 16

// Node is a load balancer on real sockets. Run serves until its context ends, and Reload applies another configuration
// in the meantime.
type Node struct {
	loop      *Loop
	frontend  *frontend
	upstream  *upstream.Pool
	discovery *discovery.Client
	listener  net.Listener
	log       *slog.Logger

	mu            sync.Mutex // guards the fields below, which Reload changes
	cfg           Config
	revision      int // of the configuration; starts at initialRevision
	drainSchedule drainSchedule
	drainLimit    time.Duration
}

// initialRevision is the revision of the configuration that a node starts with.
const initialRevision = 1

// LimitResources limits the process to one core, and sets the memory limit of the Go runtime.
func LimitResources(cfg Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(heapLimit(cfg.MemoryMB))
}

// New sets up a node and starts to listen. Nothing is served before Run.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	clock := monotime.New()
	loop, err := NewLoop(cfg, clock, log)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	n := &Node{
		loop: loop, log: log,
		upstream: upstream.NewPool(clock, (cfg.Sockets-reservedDescriptors)/2, upstreamTimeouts(cfg)),
		cfg:      cfg, revision: initialRevision, drainSchedule: newDrainSchedule(cfg), drainLimit: drainLimit(cfg),
	}
	conns := downstream.NewConns(clock, downstreamLimits(cfg), n.upstream.Connections)
	n.upstream.Allowance = conns.UpstreamAllowance
	memory := membudget.New(memoryLimits(cfg), n.connections)
	n.frontend = newFrontend(clock, conns, memory, &loop.rules, loop.post, loop.Ready, log)
	loop.traffic.connectionStats = n.connectionStats
	cached := n.setUpDiscovery(cfg)
	loop.SetHooks(LoopHooks{
		StartAttempt: n.startAttempt, UpdateEndpoints: n.upstream.UpdateEndpoints, Subscribe: n.discovery.Subscribe,
	})
	loop.SetCachedList(cached)
	if n.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return n, nil
}

// downstreamLimits returns the limits on downstream connections for a configuration.
func downstreamLimits(cfg Config) downstream.Limits {
	descriptors := cfg.Sockets - reservedDescriptors
	return downstream.Limits{
		Descriptors: descriptors, UpstreamReserve: descriptors / 4, RejectReserve: reservedDescriptors / 2,
		MaxConns:     maxDownstreamConns(cfg),
		ReadAhead:    int64(cfg.MemoryMB) << 20 / readAheadMemoryDivisor,
		HeadMemory:   memoryLimits(cfg).RequestBytes / headMemoryDivisor,
		GracePeriods: downstream.DefaultGracePeriods(),
	}
}

// setUpDiscovery creates the discovery client and returns the cached list. If that list is invalid, it logs a warning
// and returns an empty one.
func (n *Node) setUpDiscovery(cfg Config) (cached endpointlist.List) {
	cached, err := endpointlist.Parse(cfg.CachedList)
	version := cached.Version
	if err != nil {
		n.log.Warn("cached endpoint list is not usable", "error", err)
		cached, version = endpointlist.List{Complete: true}, discovery.NoVersion
	}
	n.cfg.CachedList = nil // large, and used only at the start
	n.discovery = discovery.New(
		discovery.Config{Address: cfg.Discovery, Polled: cfg.Settings.PollDiscovery, Version: version},
		DiscoveryHandler{n.loop.post}, n.log,
	)
	return cached
}

// startAttempt runs an attempt in its own goroutine, which posts the outcome.
func (n *Node) startAttempt(a *Attempt) {
	go func() {
		n.loop.post(a.EndedEvent(n.upstream.Do(a.ctx, &a.Attempt)))
	}()
}

// connectionStats returns the attributes of the traffic line about connections and memory, and resets their counters.
func (n *Node) connectionStats() []any {
	counts, open, evicting := n.frontend.conns.TakeCounts()
	memory := n.frontend.memory.TakeStats()
	return []any{
		slog.Group("downstream", "open", open, "being_evicted", evicting, "accepted", counts.Accepted,
			"accept_failed", counts.AcceptFailed, "evicted", counts.Evicted, "over_capacity", counts.Rejected,
			"accept_delayed", counts.AcceptDelayed, "closed_unread", counts.ClosedUnread),
		slog.Group("upstream", "open", n.upstream.Stats().Open),
		slog.Group("memory", "requests", memory.Requests, "bytes", memory.Bytes, "responses", memory.Responses,
			"rejected", memory.Rejected),
	}
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Run serves until ctx ends, and then drains until all received requests are answered or the drain limit has passed. It
// returns once the goroutines that it waits for have ended; the package comment lists them.
func (n *Node) Run(ctx context.Context) error {
	stop := n.startBackground(context.WithoutCancel(ctx))
	defer stop()
	var serveErr error
	serveDone := make(chan struct{})
	ln := downstream.NewListener(n.listener, n.frontend.conns, n.frontend.server.ReadTimeout, n.log)
	go func() {
		defer close(serveDone)
		serveErr = n.frontend.server.Serve(ln)
	}()
	select {
	case <-serveDone:
		return fmt.Errorf("node: %w", serveErr)
	case <-ctx.Done():
	}
	n.log.Info("draining")
	n.mu.Lock()
	limit, schedule := n.drainLimit, n.drainSchedule
	n.mu.Unlock()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	if err := n.frontend.drain.run(drainCtx, ln, serveDone, schedule); err != nil {
		return fmt.Errorf("node: drain: %w", err)
	}
	return nil
}

// startBackground starts the loop, the discovery client and the goroutine that closes expired idle connections. The
// returned function stops them and waits for them. The loop is stopped last, because post would block without it.
func (n *Node) startBackground(ctx context.Context) (stop func()) {
	loopCtx, stopLoop := context.WithCancel(ctx)
	producerCtx, stopProducers := context.WithCancel(ctx)
	var loop, producers sync.WaitGroup
	start := func(group *sync.WaitGroup, ctx context.Context, run func(context.Context)) {
		group.Add(1)
		go func() {
			defer group.Done()
			run(ctx)
		}()
	}
	start(&loop, loopCtx, n.loop.Run)
	start(&producers, producerCtx, n.upstream.CloseExpired)
	start(&producers, producerCtx, n.discovery.Run)
	return func() {
		stopProducers()
		producers.Wait()
		stopLoop()
		loop.Wait()
	}
}
