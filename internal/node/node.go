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

	"balancer"
)

// reserved descriptors are for the listener, discovery, the log, the runtime, and callers whose
// requests are read only to be refused.
const reservedDescriptors = 48

// Node is one load balancer on sockets.
type Node struct {
	loop        *loop
	frontend    *frontend
	upstream    *upstreamPool
	discovery   *discovery
	listener    net.Listener
	listsPushed bool
	log         *slog.Logger

	mu            sync.Mutex // what Reload changes
	cfg           Config
	revision      int
	drainSchedule drainSchedule
	drainLimit    time.Duration
}

// Limit keeps the process within its core and its memory.
func LimitResources(cfg Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
}

// New puts a node together and begins to listen. Nothing is served before Run.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	set := moduleSettings(cfg)
	balancer, err := balancer.New(set, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	room := cfg.Sockets - reservedDescriptors
	clock := newClock()
	l := newLoop(balancer, clock, log)
	l.rules.Store(newRequestRules(1, set))
	n := &Node{
		cfg: cfg, revision: 1, loop: l, log: log, listsPushed: !cfg.Settings.PollDiscovery, drainSchedule: drainScheduleOf(cfg), drainLimit: drainLimit(cfg),
		upstream: newUpstreamPool(cfg, clock, room/2),
	}
	callers := newDownstreamConns(clock, room, reservedDescriptors/2, int64(cfg.MemoryMB)<<20, n.upstream.connections)
	n.upstream.descriptorAllowance = callers.upstreamAllowance
	n.frontend = newFrontend(clock, callers, &l.rules, l.post, l.ready.Load, log)
	l.connectionStats = func() []any {
		c, held := callers.takeCounts()
		return []any{
			"callers", held, "accepted", c.Accepted, "accept_failed", c.AcceptFailed, "let_go", c.Evicted, "crowded", c.Rejected,
			"turned_away", c.ClosedUnread, "servers", n.upstream.connections(),
		}
	}
	l.start = func(a *attempt) {
		go func() {
			r := n.upstream.do(a)
			a.cancel()
			l.post(attemptEnded{a, r})
		}()
	}
	l.updateEndpoints, l.listsPushed = n.upstream.updateEndpoints, n.listsPushed
	known, err := parseList(cfg.Known)
	n.cfg.Known = nil // it is parsed, and long
	rev := int64(-1)
	if err != nil {
		log.Warn("the known list is dropped", "error", err)
		known = endpointList{complete: true}
	} else {
		rev = known.version
	}
	n.discovery = newDiscovery(cfg, rev, l.post, log)
	l.subscribe = n.discovery.subscribe
	if l.cachedList = known; !n.listsPushed {
		l.useCachedList() // the module asks for more
	}
	if n.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return n, nil
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Run serves until ctx ends, and then until all that was taken is answered.
func (n *Node) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	go n.loop.run(inner)
	go n.upstream.closeExpired(inner)
	if n.listsPushed {
		go n.discovery.runPushed(inner)
	} else {
		go n.discovery.runPolled(inner)
	}
	var serveErr error
	gone := make(chan struct{})
	ln := newDownstreamListener(n.listener, n.frontend.conns, n.log)
	ln.readTimeout = n.frontend.server.ReadTimeout
	go func() {
		defer close(gone)
		serveErr = n.frontend.server.Serve(ln)
	}()
	select {
	case <-gone:
		return fmt.Errorf("node: %w", serveErr)
	case <-ctx.Done():
	}
	n.log.Info("draining")
	n.mu.Lock()
	most, ending := n.drainLimit, n.drainSchedule
	n.mu.Unlock()
	limit, cancel := context.WithTimeout(inner, most)
	defer cancel()
	if err := n.frontend.drain(limit, ln, gone, ending); err != nil {
		return fmt.Errorf("node: drain: %w", err)
	}
	return nil
}
