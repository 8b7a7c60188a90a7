package node

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"balancer"
)

// How a node ends, as the protocol has it: new connections come for up to 400 ms more, and it is killed no
// sooner than the longest deadline, killCap at most, and killAfter later.
const (
	drainAccept = 500 * time.Millisecond // those 400 ms, and the slack of the protocol's limits twice
	drainQuiet  = 100 * time.Millisecond // from then on callers are served on, for the last to be heard
	killCap     = 3 * time.Second
	killAfter   = 700 * time.Millisecond
	killMargin  = 100 * time.Millisecond // from the end to the kill
	lastMargin  = 150 * time.Millisecond // from the last answers to the end
)

// drainMost is how long the node may take to end.
func drainLimit(cfg Config) time.Duration {
	var longest time.Duration
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, killCap) + killAfter - killMargin
}

// endingOf is how a node ends: it serves for as long as most answers, which take less than half of their
// aim, come before the end. Callers that it lets go sooner would find no node at all. Where deadlines are so
// short that there is no time for all of that, the last answers go first.
func drainScheduleOf(cfg Config) drainSchedule {
	var aim time.Duration
	for _, c := range cfg.Settings.Classes {
		aim = max(aim, c.LatencyObjective)
	}
	last := drainLimit(cfg) - lastMargin
	serve := min(max(drainAccept+drainQuiet, last-aim/2), last-drainPollInterval)
	return drainSchedule{stopAccepting: min(drainAccept, serve), closeConns: serve, answerAll: last}
}

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
func Limit(cfg Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
}

// moduleSettings are the settings as the module is told them. Its waits between calls for the list are parts of
// AskWithin; no call may wait past the time when a change counts as told whether heard or not.
func moduleSettings(cfg Config) balancer.Settings {
	set := cfg.Settings
	set.PollWithin = min(set.PollWithin, notifiedWithin)
	return set
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

// Reload puts a configuration in force in a running node: all that the module, the checks on requests, the
// connections to servers and discovery go by. Requests already taken keep what their clients were promised,
// and what was learned of servers stays. It says what has to wait for the next start, and it returns before
// the module has the new settings: the log tells when.
func (n *Node) Reload(cfg Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range []struct {
		name    string
		changed bool
	}{
		{"listen", cfg.Listen != n.cfg.Listen},
		{"limits", cfg.Sockets != n.cfg.Sockets || cfg.MemoryMB != n.cfg.MemoryMB},
		{"settings.registry-mode", cfg.Settings.PollDiscovery != n.cfg.Settings.PollDiscovery},
	} {
		if f.changed {
			n.log.Warn("a change in the configuration waits for the next start", "field", f.name)
		}
	}
	cfg.Listen, cfg.Sockets, cfg.MemoryMB = n.cfg.Listen, n.cfg.Sockets, n.cfg.MemoryMB
	cfg.Settings.PollDiscovery = n.cfg.Settings.PollDiscovery
	cfg.Known = nil // of use at a start alone
	changed, same := changes(n.cfg, cfg), reflect.DeepEqual(n.cfg.Settings, cfg.Settings)
	n.revision++
	log := n.log.With("revision", n.revision, "changed", changed)
	log.Info("the configuration is read again", "discovery", cfg.Discovery)
	since := n.loop.clock.now()
	n.cfg, n.drainSchedule, n.drainLimit = cfg, drainScheduleOf(cfg), drainLimit(cfg)
	n.upstream.configure(cfg)
	n.discovery.setAddress(cfg.Discovery)
	if !same {
		set := moduleSettings(cfg)
		n.loop.post(settingsChanged{settings: set, rules: newRequestRules(n.revision, set), inForce: func(at time.Duration) {
			log.Info("the configuration is in force", "after", at-since)
		}})
	}
}

// changes names what differs between two configurations, of all that takes force at once.
func changes(old, cfg Config) (names []string) {
	was, is := reflect.ValueOf(old.Settings), reflect.ValueOf(cfg.Settings)
	for i := range was.NumField() {
		name := was.Type().Field(i).Name
		if name != "Classes" && !reflect.DeepEqual(was.Field(i).Interface(), is.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	classes := map[string]balancer.Class{}
	for _, c := range old.Settings.Classes {
		classes[c.Name] = c
	}
	for _, c := range cfg.Settings.Classes {
		if before, had := classes[c.Name]; !had {
			names = append(names, "class "+c.Name+" comes")
		} else if before != c {
			names = append(names, "class "+c.Name)
		}
		delete(classes, c.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		names = append(names, "class "+name+" goes")
	}
	if old.ConnIdle != cfg.ConnIdle || old.ConnectTimeout != cfg.ConnectTimeout {
		names = append(names, "connections to servers")
	}
	if old.Discovery != cfg.Discovery {
		names = append(names, "discovery")
	}
	return names
}

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
