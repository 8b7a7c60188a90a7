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

// maxDescriptors returns how many descriptors a node may use. Downstream and upstream connections leave 24 descriptors
// free, of which the node uses six for itself (listener, poller, log) and at most eight for connections to discovery.
func maxDescriptors(sockets int) int { return sockets - 24 + 6 + 8 }

// minFreeDescriptors returns how many of these are free while the node has no upstream connection: the quota of
// upstream connections, a quarter of all descriptors but 48.
func minFreeDescriptors(sockets int) int { return (sockets - 48) / 4 }

// A node with too many connections may close maxUnreadCloses connections of a client without reading the request before
// it serves the client, which waits for retryDelay after each. A node that evicts idle clients closes connections for
// 0.2 s at most, which is how long it spares a partial request. The delays add up to more than that, and to even more
// on a busy machine. A node that waits for its idle clients to time out needs 2.5 s.
const (
	maxUnreadCloses = 100
	retryDelay      = 10 * time.Millisecond
)

// TestIdleClientsDoNotExhaustDescriptors fills a node's descriptors with idle clients while discovery is down.
// Descriptors for a server and for discovery remain free throughout. Once discovery has recovered and its list is in
// use, the first request that gets a response is served by the server in that list.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	build(t)
	old, next := newNamedServer(t, "old"), newNamedServer(t, "next")
	// The list that the node has when discovery fails. Without a list, no keep_alive client can have been served.
	lists := []listSource{fromRegistry, fromConfiguration, noList}
	row := 0
	for _, sockets := range []int{64, 256, 1024} {
		for _, kind := range []string{"no_request", "partial_request", "keep_alive", "mixed"} {
			for _, mode := range []string{"pushed", "on_request"} {
				for _, down := range []registryState{unresponsive, refusing} {
					c := idleClientsCase{sockets, kind, mode, down, lists[row%len(lists)], old, next}
					if row++; c.list == noList && kind == "keep_alive" {
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

// listSource is the source of the list that a node has when discovery fails.
type listSource string

const (
	fromRegistry      listSource = "from the registry"
	fromConfiguration listSource = "from the configuration"
	noList            listSource = "none"
)

// idleClientsCase is one case of TestIdleClientsDoNotExhaustDescriptors.
type idleClientsCase struct {
	sockets   int
	kind      string // of idle clients
	mode      string // of discovery: pushed or on_request
	down      registryState
	list      listSource
	old, next string // entries of the server before and after the failure
}

// descriptorMonitor samples how many descriptors a node uses while idle clients fill them.
type descriptorMonitor struct {
	t       *testing.T
	process *process
	sockets int
	maxOpen int
}

func (m *descriptorMonitor) sample() {
	m.maxOpen = max(m.maxOpen, openDescriptors(m.t, m.process.cmd.Process.Pid))
}

// sampleFor samples the number of open descriptors for a period. It can't wait for an event, as none tells when the
// node would open the next descriptor.
func (m *descriptorMonitor) sampleFor(period time.Duration) {
	m.t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		m.sample()
	}
}

// fill connects more idle clients than the node has descriptors for, and waits until the node has closed as many
// connections as are in excess.
func (m *descriptorMonitor) fill(address, kind string) *idleClients {
	m.t.Helper()
	const excess = 100
	idle := newIdleClients(m.t, address, kind, m.sockets+excess)
	m.eventually("the node to evict the excess clients", func() bool { return idle.closed.Load() >= excess })
	return idle
}

// eventually samples the number of open descriptors while it polls a condition.
func (m *descriptorMonitor) eventually(what string, condition func() bool) {
	m.t.Helper()
	eventually(m.t, what, func() bool {
		m.sample()
		return condition()
	})
}

// checkReserve checks that the upstream quota was free while the node knew no server.
func (m *descriptorMonitor) checkReserve() {
	m.t.Helper()
	if m.maxOpen > maxDescriptors(m.sockets)-minFreeDescriptors(m.sockets) {
		m.t.Errorf("%d of %d descriptors were in use before a server was known; want the upstream quota free",
			m.maxOpen, m.sockets)
	}
}

// check checks that the node never used more descriptors than it may, and that it is still running.
func (m *descriptorMonitor) check() {
	m.t.Helper()
	m.sample()
	if m.maxOpen > maxDescriptors(m.sockets) {
		m.t.Errorf("%d of %d descriptors were in use, more than the node may use", m.maxOpen, m.sockets)
	}
	if log := m.process.logText(); !m.process.alive() || strings.Contains(log, "too many open files") {
		m.t.Errorf("node is running: %v, want true and no descriptor error in its log:\n%s", m.process.alive(), log)
	}
}

func (c idleClientsCase) check(t *testing.T) {
	t.Helper()
	registry, p := c.launch(t)
	m := &descriptorMonitor{t: t, process: p, sockets: c.sockets}
	address := p.address(t)
	if c.list != noList {
		if status, body, err := getOnce(address); status != http.StatusOK || body != "old" {
			t.Fatalf("request before the outage: got %d %q, error %v; want 200 \"old\"", status, body, err)
		}
	}
	if c.list == fromRegistry {
		waitFor(t, registry.fetched(5), "the first list to be in use")
		registry.set(t, 5, c.old, c.down)
	}
	idle := m.fill(address, c.kind)
	idle.requestsStopped.Store(true)
	eventually(t, "the idle clients' responses", func() bool { return idle.inFlight.Load() == 0 || c.list == noList })
	if c.list == noList {
		m.checkReserve()
	}
	fetched, recovered := registry.fetched(6), time.Now()
	registry.set(t, 6, c.next, available)
	m.eventually("the next list to be in use", func() bool { return isClosed(fetched) })
	elapsed := time.Since(recovered)
	// The queued requests have been answered, so that they no longer fill the node.
	eventually(t, "the idle clients' responses", func() bool { return idle.inFlight.Load() == 0 })
	closed := getFromFullNode(t, address)
	m.check()
	t.Logf("list in use after %v, %d connections closed unread, at most %d of %d descriptors",
		elapsed, closed, m.maxOpen, c.sockets)
}

// launch starts the registry and the node of the case.
func (c idleClientsCase) launch(t *testing.T) (*registry, *process) {
	t.Helper()
	state, cachedEntries := c.down, ""
	switch c.list {
	case fromRegistry:
		state = available
	case fromConfiguration:
		cachedEntries = c.old
	case noList:
	}
	r := newRegistry(t, 5, c.old, state)
	return r, launch(t, nodeConfig("127.0.0.1:0", r.addr, cachedEntries, c.mode, c.sockets), c.sockets)
}

// isClosed reports, without waiting, whether a channel is closed. Nothing must be sent on the channel.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// getFromFullNode retries a request until it gets a response, which must be from the server next, and returns how many
// connections the node closed unread before that.
func getFromFullNode(t *testing.T, address string) (closed int) {
	t.Helper()
	for ; ; closed++ {
		if closed > 0 {
			time.Sleep(retryDelay)
		}
		status, body, err := getOnce(address)
		if err == nil {
			if status != http.StatusOK || body != "next" {
				t.Errorf("after %d closed connections: got %d %q, want 200 \"next\"", closed, status, body)
			}
			return closed
		}
		if closed == maxUnreadCloses {
			t.Errorf("no response: %d connections were closed unread, the last with %v", closed, err)
			return closed
		}
	}
}

// TestQueuedRequestsLeaveDescriptors makes a node queue as many requests as it may while it knows no server and idle
// clients fill the rest of its descriptors. Then a list arrives, and the node forwards all queued requests at once to a
// server that responds only after each request has arrived or has been rejected. Descriptors must be free throughout,
// and at least as many requests as the upstream quota must arrive.
func TestQueuedRequestsLeaveDescriptors(t *testing.T) {
	build(t)
	for _, sockets := range []int{64, 256, 1024} {
		for _, kind := range []string{"no_request", "partial_request"} {
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
	r := newRegistry(t, 5, "", refusing)
	p := launch(t, nodeConfig("127.0.0.1:0", r.addr, "", mode, sockets), sockets)
	m := &descriptorMonitor{t: t, process: p, sockets: sockets}
	address := p.address(t)
	requests := (sockets - 48) / 2
	queued := newIdleClients(t, address, "keep_alive", requests)
	eventually(t, "the requests to be sent", func() bool { return queued.inFlight.Load() == int64(requests) })
	queued.requestsStopped.Store(true)
	m.fill(address, kind)
	m.checkReserve()
	var entries []string // of so many servers that the node admits all requests at once
	for i := range requests {
		entries = append(entries, listEntry(fmt.Sprint("next-", i), strings.TrimPrefix(s.URL, "http://")))
	}
	r.set(t, 6, strings.Join(entries, ","), available)
	quota := int64(minFreeDescriptors(sockets))
	m.eventually("the server to receive its quota of requests", func() bool {
		return s.requests.Load() >= quota || queued.inFlight.Load() == 0
	})
	if got := s.requests.Load(); got < quota {
		t.Errorf("%d of %d requests reached the server, fewer than its quota; the others were rejected", got, requests)
	}
	// The node decides on the other requests at the same time. On a busy machine fewer are seen, and the test passes.
	m.sampleFor(400 * time.Millisecond)
	release()
	m.eventually("a response to each request", func() bool { return queued.inFlight.Load() == 0 })
	m.check()
	t.Logf("%d of %d requests arrived, at most %d of %d descriptors", s.requests.Load(), requests, m.maxOpen, sockets)
}

// countingServer counts the requests that arrive, and responds to them once it is released.
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
	t.Cleanup(release) // before the server's cleanup, which waits for its requests
	return s, release
}
