package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// maxDescriptors is how many descriptors a node may use: downstream and upstream connections leave it 24, of which
// it uses six of its own (listener, poller, log) and at most eight for connections to discovery.
func maxDescriptors(sockets int) int { return sockets - 24 + 6 + 8 }

// minFreeDescriptors of these are free while the node has no upstream connection: their quota, a quarter of all
// but 48.
func minFreeDescriptors(sockets int) int { return (sockets - 48) / 4 }

// A client may have so many connections closed unread by a node with too many connections before it is served,
// and pauses after each. A node that evicts idle clients needs a fifth of a second of these pauses at most, which is
// how long it spares a partial request; their sum is longer, and on a busy machine longer still. A node that waits
// for its idle clients to time out needs 2.5 s.
const (
	maxClosed = 100
	pause     = 10 * time.Millisecond
)

// TestIdleClientsDoNotExhaustDescriptors fills a node's descriptors with idle clients while discovery is down.
// Descriptors for a server and for discovery are free throughout. Once discovery is back and its list is in use,
// the first request that is answered is served by the server that the list names.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	build(t)
	old, next := newNamingServer(t, "old"), newNamingServer(t, "next")
	// The list that the node has when discovery fails. Without one, no client can have been served and rest.
	lists := []listSource{fromRegistry, fromConfiguration, noList}
	row := 0
	for _, sockets := range []int{64, 256, 1024} {
		for _, kind := range []string{"silent", "partial", "resting", "mixed"} {
			for _, mode := range []string{"pushed", "on_request"} {
				for _, down := range []registryState{unresponsive, refusing} {
					c := idleClientsCase{sockets, kind, mode, down, lists[row%len(lists)], old, next}
					if row++; c.list == noList && kind == "resting" {
						c.list = fromConfiguration
					}
					t.Run(fmt.Sprintf("%d/%s/%s/%v/%s", sockets, kind, mode, down, c.list), func(t *testing.T) {
						t.Parallel()
						c.check(t)
					})
				}
			}
		}
	}
}

// listSource is where the list comes from that a node has when discovery fails.
type listSource string

const (
	fromRegistry      listSource = "from the registry"
	fromConfiguration listSource = "from the configuration"
	noList            listSource = "none"
)

// idleClientsCase is a row of TestIdleClientsDoNotExhaustDescriptors.
type idleClientsCase struct {
	sockets   int
	kind      string // of idle clients
	mode      string // of discovery: pushed or on_request
	down      registryState
	list      listSource
	old, next string // entries of the server before and after the failure
}

// descriptorWatch follows how many descriptors a node uses while idle clients fill them.
type descriptorWatch struct {
	t       *testing.T
	process *process
	sockets int
	most    int
}

func (w *descriptorWatch) look() {
	w.most = max(w.most, openDescriptors(w.t, w.process.cmd.Process.Pid))
}

// lookFor looks at the descriptors over and over for a while: time is the subject, since nothing tells when the node
// would open the next one.
func (w *descriptorWatch) lookFor(period time.Duration) {
	w.t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		w.look()
	}
}

// fill has many idle clients connect, and waits until the node has closed some of their connections.
func (w *descriptorWatch) fill(address, kind string) *idleClients {
	w.t.Helper()
	const beyond = 100
	idle := newIdleClients(w.t, address, kind, w.sockets+beyond)
	w.eventually("the node to evict the excess", func() bool { return idle.ended.Load() >= beyond })
	return idle
}

// eventually looks at the descriptors while it polls a condition.
func (w *descriptorWatch) eventually(what string, holds func() bool) {
	w.t.Helper()
	eventually(w.t, what, func() bool {
		w.look()
		return holds()
	})
}

// checkReserve checks that the upstream quota was free before the node knew a server.
func (w *descriptorWatch) checkReserve() {
	w.t.Helper()
	if w.most > maxDescriptors(w.sockets)-minFreeDescriptors(w.sockets) {
		w.t.Errorf("%d of %d descriptors were in use before the first server was known", w.most, w.sockets)
	}
}

// check checks that the node never used more descriptors than it may, and is running.
func (w *descriptorWatch) check() {
	w.t.Helper()
	w.look()
	if w.most > maxDescriptors(w.sockets) {
		w.t.Errorf("%d of %d descriptors were in use", w.most, w.sockets)
	}
	if log := w.process.logText(); !w.process.alive() || strings.Contains(log, "too many open files") {
		w.t.Errorf("running: %v, log:\n%s", w.process.alive(), log)
	}
}

func (c idleClientsCase) check(t *testing.T) {
	t.Helper()
	registry, p := c.launch(t)
	w := &descriptorWatch{t: t, process: p, sockets: c.sockets}
	address := p.address(t)
	if c.list != noList {
		if status, body, err := getOnce(address); status != http.StatusOK || body != "old" {
			t.Fatalf("before: %d %q, %v", status, body, err)
		}
	}
	if c.list == fromRegistry {
		waitFor(t, registry.fetched(5), "the first list to be in use")
		registry.set(t, 5, c.old, c.down)
	}
	idle := w.fill(address, c.kind)
	idle.resting.Store(true)
	eventually(t, "the idle clients to rest", func() bool { return idle.inFlight.Load() == 0 || c.list == noList })
	if c.list == noList {
		w.checkReserve()
	}
	fetched, since := registry.fetched(6), time.Now()
	registry.set(t, 6, c.next, available)
	w.eventually("the next list to be in use", func() bool { return isClosed(fetched) })
	elapsed := time.Since(since)
	// What was queued is answered, and the node is not full of requests any more.
	eventually(t, "the idle clients to rest", func() bool { return idle.inFlight.Load() == 0 })
	closed := getFromFullNode(t, address)
	w.check()
	t.Logf("list in use after %v, %d closed, at most %d of %d descriptors", elapsed, closed, w.most, c.sockets)
}

// launch starts the row's registry and its node.
func (c idleClientsCase) launch(t *testing.T) (*registry, *process) {
	t.Helper()
	state, known := c.down, ""
	switch c.list {
	case fromRegistry:
		state = available
	case fromConfiguration:
		known = c.old
	case noList:
	}
	d := newRegistry(t, 5, c.old, state)
	return d, launch(t, nodeConfig("127.0.0.1:0", d.addr, known, c.mode, c.sockets), c.sockets)
}

// isClosed reports, without waiting, whether a channel that is only ever closed has been closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// getFromFullNode sends a request until it is answered, by the server next, and returns how many connections were
// closed unread before.
func getFromFullNode(t *testing.T, address string) (closed int) {
	t.Helper()
	for ; ; closed++ {
		if closed > 0 {
			time.Sleep(pause)
		}
		status, body, err := getOnce(address)
		if err == nil {
			if status != http.StatusOK || body != "next" {
				t.Errorf("after the list was taken, and %d connections closed: %d %q", closed, status, body)
			}
			return closed
		}
		if closed == maxClosed {
			t.Errorf("%d connections were closed unread: %v", closed, err)
			return closed
		}
	}
}

// TestQueuedRequestsLeaveDescriptors has a node queue as many requests as it may while it knows no server and idle
// clients fill the rest of its descriptors. The list that comes then forwards all of them at once, to a server
// that answers none until each has arrived or has been rejected: descriptors are free all the while, and the
// server gets its quota at least.
func TestQueuedRequestsLeaveDescriptors(t *testing.T) {
	build(t)
	for _, sockets := range []int{64, 256, 1024} {
		for _, kind := range []string{"silent", "partial"} {
			for _, mode := range []string{"pushed", "on_request"} {
				t.Run(fmt.Sprintf("%d/%s/%s", sockets, kind, mode), func(t *testing.T) {
					t.Parallel()
					checkQueuedRequests(t, sockets, kind, mode)
				})
			}
		}
	}
}

func checkQueuedRequests(t *testing.T, sockets int, kind, mode string) {
	t.Helper()
	s, release := newCountingServer(t)
	d := newRegistry(t, 5, "", refusing)
	p := launch(t, nodeConfig("127.0.0.1:0", d.addr, "", mode, sockets), sockets)
	w := &descriptorWatch{t: t, process: p, sockets: sockets}
	address := p.address(t)
	requests := (sockets - 48) / 2
	queued := newIdleClients(t, address, "resting", requests)
	eventually(t, "the requests to be sent", func() bool { return queued.inFlight.Load() == int64(requests) })
	queued.resting.Store(true)
	w.fill(address, kind)
	w.checkReserve()
	var list []string // so many servers that the node admits all requests at once
	for i := range requests {
		list = append(list, listEntry(fmt.Sprint("next-", i), strings.TrimPrefix(s.URL, "http://")))
	}
	d.set(t, 6, strings.Join(list, ","), available)
	quota := int64(minFreeDescriptors(sockets))
	w.eventually("the server to get its quota", func() bool {
		return s.requests.Load() >= quota || queued.inFlight.Load() == 0
	})
	if got := s.requests.Load(); got < quota {
		t.Errorf("%d of %d requests came to the server; the others were rejected", got, requests)
	}
	// All others have been decided on with these. A busy machine sees less, and passes.
	w.lookFor(400 * time.Millisecond)
	release()
	w.eventually("each request to be answered", func() bool { return queued.inFlight.Load() == 0 })
	w.check()
	t.Logf("%d of %d came, at most %d of %d descriptors", s.requests.Load(), requests, w.most, sockets)
}

// countingServer counts the requests that come, and answers them once it is released.
type countingServer struct {
	*httptest.Server
	requests atomic.Int64
}

func newCountingServer(t *testing.T) (s *countingServer, release func()) {
	t.Helper()
	hold := make(chan struct{})
	release = sync.OnceFunc(func() { close(hold) })
	s = &countingServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		s.requests.Add(1)
		<-hold
	}))
	t.Cleanup(s.Close)
	t.Cleanup(release) // before the server closes, which waits for its requests
	return s, release
}
