package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/downstream"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/http1"
	"basaltdrum/internal/testutil"
)

// readAheadPerConn is the number of bytes that a client may pipeline after a request that has no response yet.
const readAheadPerConn = http1.MaxHeaderBytes + http1.MaxBodyBytes

// testConfig returns a configuration with a class of each effect and long limits. known is the cached endpoint list.
func testConfig(known string) Config {
	class := func(name string, effect balancer.Effect) balancer.Class {
		return balancer.Class{
			Name: name, Effect: effect, Scope: balancer.ScopeAll, DedupWindow: testutil.Timeout,
			LatencyObjective: testutil.Timeout, Deadline: 2 * testutil.Timeout, PriorityWeight: 1,
		}
	}
	return Config{
		Name: "n", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Seed: 1, MemoryMB: 192,
		Sockets: 1024, ConnIdle: time.Minute, ConnectTimeout: testutil.Timeout,
		CachedList: []byte(strings.Replace(known, "%d", "1", 1)),
		Settings: balancer.Settings{
			Replicas: 1, MaxAttempts: 4, AllowCancel: true,
			Tick: time.Millisecond, MaxRetryAfter: 2 * time.Second, SlowStartFloor: 1, TotalWeight: 1,
			Classes: []balancer.Class{
				class("view", balancer.Idempotent), class("note", balancer.NonIdempotent),
				class("keyed", balancer.IdempotentByKey),
			},
		},
	}
}

// configWithServers returns testConfig with a cached list of servers, whose UIDs are s1, s2 and so on.
func configWithServers(servers ...*testutil.Server) Config {
	var entries []string
	for i, server := range servers {
		entries = append(entries, testutil.ListEntry(fmt.Sprint("s", i+1), server.Address(), "in_service"))
	}
	return testConfig(testutil.CompleteList(entries...))
}

// withLongObjectives returns a configuration whose attempts do not time out while a test waits for something else to
// end them.
func withLongObjectives(cfg Config) Config { return withObjectives(cfg, 2*testutil.Timeout) }

// withObjectives returns a configuration in which all classes have the same latency objective.
func withObjectives(cfg Config, objective time.Duration) Config {
	return withClasses(cfg, func(classes []balancer.Class) []balancer.Class {
		for i := range classes {
			classes[i].LatencyObjective = objective
		}
		return classes
	})
}

// evictNothing are grace periods that do not end while a test runs.
var evictNothing = downstream.GracePeriods{
	Lingering: testutil.Timeout, New: testutil.Timeout, PartialRequest: testutil.Timeout, Idle: testutil.Timeout,
}

// withClasses returns a configuration with changed classes.
func withClasses(cfg Config, change func(classes []balancer.Class) []balancer.Class) Config {
	cfg.Settings.Classes = change(slices.Clone(cfg.Settings.Classes))
	return cfg
}

// startNode runs a node until the test ends or the returned function is called. The function drains the node by its
// drain schedule. At the end of the test, the node answers all pending requests at once instead.
func startNode(t *testing.T, cfg Config, change func(*Node)) (n *Node, stop func() error) {
	t.Helper()
	n, err := New(cfg, testutil.DiscardLog())
	if err != nil {
		t.Fatal(err)
	}
	n.discovery.StartupWait = 0 // without an agent, the cached list is used at once
	if change != nil {
		change(n)
	}
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- n.Run(ctx) }()
	var once sync.Once
	stop = func() (err error) {
		once.Do(func() { cancel(); err = testutil.Wait(t, runErr, "the end of Run") })
		return err
	}
	t.Cleanup(func() {
		n.mu.Lock()
		n.drainSchedule, n.drainLimit = drainSchedule{}, testutil.Timeout // no request has to be served any more
		n.mu.Unlock()
		stop()
	})
	return n, stop
}

// isReady sends a readiness check to a node and reports whether the node is ready.
func isReady(t *testing.T, n *Node) bool {
	t.Helper()
	client := dial(t, n)
	defer client.Close()
	fmt.Fprint(client, "GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	response, _ := client.Response(t)
	return response.StatusCode == http.StatusOK
}

// reload reloads the configuration of a node, and waits until the settings are in force.
func reload(t *testing.T, n *Node, cfg Config) {
	t.Helper()
	n.Reload(cfg)
	n.mu.Lock()
	revision := n.revision
	n.mu.Unlock()
	testutil.Until(t, "the new settings in force", func() bool { return n.loop.rules.Load().revision == revision })
}

// watchStalls measures stalls of the test process until the test ends. It returns a function for the sum of the delays
// of a periodic timer that exceed tolerance. Tests allow for these stalls, which the machine causes and not the node.
func watchStalls(t *testing.T, tolerance time.Duration) (sum func() time.Duration) {
	const interval = 5 * time.Millisecond
	var total atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for t.Context().Err() == nil {
			start := time.Now()
			time.Sleep(interval)
			if late := time.Since(start) - interval; late > tolerance {
				total.Add(int64(late))
			}
		}
	}()
	t.Cleanup(func() { <-done })
	return func() time.Duration { return time.Duration(total.Load()) }
}

// parseList parses an endpoint list.
func parseList(t testing.TB, text string) endpointlist.List {
	t.Helper()
	list, err := endpointlist.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// listOf returns a complete endpoint list or a list of changes.
func listOf(t testing.TB, complete bool, entries ...string) endpointlist.List {
	t.Helper()
	return parseList(t, fmt.Sprintf(`{"rev":9,"all":%v,"targets":[%s]}`, complete, strings.Join(entries, ",")))
}

// readAheadBytes returns the number of bytes that are buffered from clients whose requests have no response yet.
func readAheadBytes(n *Node) (sum int) {
	for _, conn := range n.frontend.conns.Status() {
		sum += conn.ReadAhead
	}
	return sum
}

// untilIdle waits until a connection is idle, which it becomes shortly after the response.
func untilIdle(t *testing.T, n *Node) {
	t.Helper()
	testutil.Until(t, "a connection to be idle", func() bool {
		return countByPhase(n.frontend.conns)[downstream.PhaseIdle] > 0
	})
}

// untilActive waits until the module has a number of requests.
func untilActive(t *testing.T, n *Node, count int) {
	t.Helper()
	testutil.Until(t, "the module to have the requests", func() bool {
		return countByPhase(n.frontend.conns)[downstream.PhaseActive] == count
	})
}

// holdDials makes the dials of a node to endpoints return only when the test releases them.
func holdDials(n *Node) testutil.HoldingDialer {
	dials := testutil.NewHoldingDialer()
	n.upstream.Dial = dials.Dial
	return dials
}

// listRecorder records the entries of the lists that the loop of a node applies. An entry is recorded after the
// upstream pool has received it.
type listRecorder struct {
	mu      sync.Mutex
	entries map[string]endpointlist.Entry // by UID; removed endpoints are kept with their last entry
}

// record installs the recorder in a node. It is passed to startNode, so that no list is missed.
func (r *listRecorder) record(n *Node) {
	r.entries = map[string]endpointlist.Entry{}
	update := n.loop.hooks.UpdateEndpoints
	n.loop.hooks.UpdateEndpoints = func(entries []endpointlist.Entry, complete bool) {
		update(entries, complete)
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, entry := range entries {
			r.entries[entry.ID] = entry
		}
	}
}

// until waits until an entry of an endpoint was applied for which wanted returns true.
func (r *listRecorder) until(t *testing.T, uid string, wanted func(endpointlist.Entry) bool) {
	t.Helper()
	testutil.Until(t, "the entry of "+uid+" to be applied", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		entry, listed := r.entries[uid]
		return listed && wanted(entry)
	})
}

// untilListed waits until a list with an endpoint was applied.
func (r *listRecorder) untilListed(t *testing.T, uid string) {
	t.Helper()
	r.until(t, uid, func(endpointlist.Entry) bool { return true })
}
