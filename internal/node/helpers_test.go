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

// readAheadPerConn is how many bytes a client may pipeline behind an open request.
const readAheadPerConn = http1.MaxHeaderBytes + http1.MaxBodyBytes

// testConfig is a deployment with a class of each effect and long limits.
func testConfig(known string) Config {
	class := func(name string, e balancer.Effect) balancer.Class {
		return balancer.Class{
			Name: name, Effect: e, Scope: balancer.ScopeAll, DedupWindow: testutil.Timeout,
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

// configWithServers lists servers as s1, s2 and so on.
func configWithServers(servers ...*testutil.Server) Config {
	var entries []string
	for i, server := range servers {
		entries = append(entries, testutil.ListEntry(fmt.Sprint("s", i+1), server.Address(), "in_service"))
	}
	return testConfig(testutil.CompleteList(entries...))
}

// withLongObjectives keeps the attempts of a configuration from timing out while a test waits for something else
// to end them.
func withLongObjectives(cfg Config) Config {
	return withClasses(cfg, func(classes []balancer.Class) []balancer.Class {
		for i := range classes {
			classes[i].LatencyObjective = 2 * testutil.Timeout
		}
		return classes
	})
}

// withClasses is a configuration withClasses other classes.
func withClasses(cfg Config, change func(classes []balancer.Class) []balancer.Class) Config {
	cfg.Settings.Classes = change(slices.Clone(cfg.Settings.Classes))
	return cfg
}

// startNode runs a node until the test ends, or until the returned function is called. That drains the node as its
// configuration has it; the end of the test doesn't wait for that, and has it answer what is left at once.
func startNode(t *testing.T, cfg Config, change func(*Node)) (n *Node, stop func() error) {
	t.Helper()
	n, err := New(cfg, testutil.DiscardLog())
	if err != nil {
		t.Fatal(err)
	}
	n.discovery.StartupWait = 0 // the known list will do, where a test has no agent
	if change != nil {
		change(n)
	}
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- n.Run(ctx) }()
	var once sync.Once
	stop = func() (err error) {
		once.Do(func() { cancel(); err = testutil.Wait(t, end, "the node's end") })
		return err
	}
	t.Cleanup(func() {
		n.mu.Lock()
		n.drainSchedule, n.drainLimit = drainSchedule{}, testutil.Timeout // the test is over: nobody has to be served
		n.mu.Unlock()
		stop()
	})
	return n, stop
}

// isReady makes a readiness check of a node.
func isReady(t *testing.T, n *Node) bool {
	t.Helper()
	c := dial(t, n)
	defer c.Close()
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	r, _ := c.Response(t)
	return r.StatusCode == http.StatusOK
}

// reload reloads a node's configuration, and waits until it is in force.
func reload(t *testing.T, n *Node, cfg Config) {
	t.Helper()
	n.Reload(cfg)
	n.mu.Lock()
	revision := n.revision
	n.mu.Unlock()
	testutil.Until(t, "the new settings", func() bool { return n.loop.rules.Load().revision == revision })
}

// watchStalls adds up, until the test ends, how late timers of the test's process are, where that is more than
// usual. Time that the machine takes from the process is no fault of the node.
func watchStalls(t *testing.T, usual time.Duration) (sum func() time.Duration) {
	const step = 5 * time.Millisecond
	var total atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for t.Context().Err() == nil {
			begin := time.Now()
			time.Sleep(step)
			if late := time.Since(begin) - step; late > usual {
				total.Add(int64(late))
			}
		}
	}()
	t.Cleanup(func() { <-done })
	return func() time.Duration { return time.Duration(total.Load()) }
}

// parseList is the endpoint list that a text contains.
func parseList(t testing.TB, text string) endpointlist.List {
	t.Helper()
	l, err := endpointlist.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// listOf is an endpoint list, complete or of changes.
func listOf(t testing.TB, complete bool, entries ...string) endpointlist.List {
	t.Helper()
	return parseList(t, fmt.Sprintf(`{"rev":9,"all":%v,"targets":[%s]}`, complete, strings.Join(entries, ",")))
}

// readAheadBytes is how many bytes are buffered of clients whose requests have no response yet.
func readAheadBytes(n *Node) (sum int) {
	for _, conn := range n.frontend.conns.Status() {
		sum += conn.ReadAhead
	}
	return sum
}

// untilIdle waits for a connection to be idle, which it becomes a little after the response.
func untilIdle(t *testing.T, n *Node) {
	t.Helper()
	testutil.Until(t, "a connection to be idle", func() bool {
		return countByPhase(n.frontend.conns)[downstream.PhaseIdle] > 0
	})
}

// untilActive waits for a number of requests to be with the module.
func untilActive(t *testing.T, n *Node, many int) {
	t.Helper()
	testutil.Until(t, "the requests to be with the module", func() bool {
		return countByPhase(n.frontend.conns)[downstream.PhaseActive] == many
	})
}

// holdDials has a node's connections to endpoints held back once they are established.
func holdDials(n *Node) testutil.HoldingDialer {
	dials := testutil.NewHoldingDialer()
	n.upstream.Dial = dials.Dial
	return dials
}

// listRecorder records the entries of the lists that a node's loop applies. Once it has one, the upstream pool has it.
type listRecorder struct {
	mu      sync.Mutex
	entries map[string]endpointlist.Entry // by uid; endpoints that are removed stay, with that state
}

// record is a change for startNode: it has the recorder see the lists from the start of the node on.
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

// until waits until an endpoint's entry was applied in a form that a test waits for.
func (r *listRecorder) until(t *testing.T, uid string, wanted func(endpointlist.Entry) bool) {
	t.Helper()
	testutil.Until(t, "the entry of "+uid+" to be applied", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		entry, listed := r.entries[uid]
		return listed && wanted(entry)
	})
}

// untilListed waits until an endpoint was in a list.
func (r *listRecorder) untilListed(t *testing.T, uid string) {
	t.Helper()
	r.until(t, uid, func(endpointlist.Entry) bool { return true })
}
