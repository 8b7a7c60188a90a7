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

// A good client may have so many connections shut unread by a crowded node before it is served, and pauses
// after each. A node that makes room needs a fifth of a second of these pauses at most, for that long half a
// request is spared; their sum is longer, and on a busy machine longer still. One that waits for its idle
// clients to time out needs 2.5 s.
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
	// What the node knows of servers when its discovery goes down: what it was notified of, its configuration's
	// list, or nothing. Where it knows none, nobody can have been served and rest.
	beginnings := []string{"told", "known", "nothing"}
	row := 0
	for _, sockets := range []int{64, 256, 1024} {
		for _, kind := range []string{"silent", "half", "resting", "mixed"} {
			for _, mode := range []string{"pushed", "on_request"} {
				for _, down := range []registryState{unresponsive, refusing} {
					begin := beginnings[row%len(beginnings)]
					if row++; begin == "nothing" && kind == "resting" {
						begin = "known"
					}
					t.Run(fmt.Sprintf("%d/%s/%s/%v/%s", sockets, kind, mode, down, begin), func(t *testing.T) {
						t.Parallel()
						checkIdleClients(t, sockets, kind, mode, down, begin, old, next)
					})
				}
			}
		}
	}
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

// fill has many idle clients connect, and waits until the node has closed some of their connections.
func (w *descriptorWatch) fill(address, kind string) *crowd {
	w.t.Helper()
	const beyond = 100
	idle := newCrowd(w.t, address, kind, w.sockets+beyond)
	w.eventually("the node to hold as many as it will", func() bool { return idle.ended.Load() >= beyond })
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

func checkIdleClients(t *testing.T, sockets int, kind, mode string, down registryState, begin, old, next string) {
	d := newRegistry(t, 5, old, map[bool]registryState{true: available, false: down}[begin == "told"])
	known := map[bool]string{true: old}[begin == "known"]
	p := launch(t, nodeConfig("127.0.0.1:0", d.addr, known, mode, sockets), sockets)
	w := &descriptorWatch{t: t, process: p, sockets: sockets}
	address := p.address(t)
	if begin != "nothing" { // its list is in use
		if status, body, err := getOnce(address); status != http.StatusOK || body != "old" {
			t.Fatalf("before: %d %q, %v", status, body, err)
		}
	}
	if begin == "told" {
		waitFor(t, d.fetched(5), "the first list to be taken")
		d.set(t, 5, old, down)
	}
	idle := w.fill(address, kind)
	idle.resting.Store(true)
	eventually(t, "the idle clients to rest", func() bool { return idle.inFlight.Load() == 0 || begin == "nothing" })
	if begin == "nothing" {
		w.checkReserve()
	}
	back := d.fetched(6)
	since := time.Now()
	d.set(t, 6, next, available)
	w.eventually("the list to be taken", func() bool {
		select {
		case <-back:
			return true
		default:
			return false
		}
	})
	took := time.Since(since)
	// What was queued is answered, and the node is not full of requests any more.
	eventually(t, "the idle clients to rest", func() bool { return idle.inFlight.Load() == 0 })
	closed := getFromFullNode(t, address)
	w.check()
	t.Logf("list taken after %v, %d closed, at most %d of %d descriptors", took, closed, w.most, sockets)
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
		for _, c := range [][2]string{{"silent", "pushed"}, {"silent", "on_request"}, {"half", "pushed"}, {"half", "on_request"}} {
			kind, mode := c[0], c[1]
			t.Run(fmt.Sprintf("%d/%s/%s", sockets, kind, mode), func(t *testing.T) {
				t.Parallel()
				checkQueuedRequests(t, sockets, kind, mode)
			})
		}
	}
}

func checkQueuedRequests(t *testing.T, sockets int, kind, mode string) {
	var came atomic.Int64
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		came.Add(1)
		<-hold
	}))
	defer s.Close()
	defer release()
	d := newRegistry(t, 5, "", refusing)
	p := launch(t, nodeConfig("127.0.0.1:0", d.addr, "", mode, sockets), sockets)
	w := &descriptorWatch{t: t, process: p, sockets: sockets}
	address := p.address(t)
	requests := (sockets - 48) / 2
	queued := newCrowd(t, address, "resting", requests)
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
	w.eventually("the server to get its quota", func() bool { return came.Load() >= quota || queued.inFlight.Load() == 0 })
	if got := came.Load(); got < quota {
		t.Errorf("%d of %d requests came to the server; the others were rejected", got, requests)
	}
	for range 200 { // all others have been decided on with these; a busy machine sees less, and passes
		w.look()
		time.Sleep(2 * time.Millisecond)
	}
	release()
	w.eventually("each request to be answered", func() bool { return queued.inFlight.Load() == 0 })
	w.check()
	t.Logf("%d of %d came, at most %d of %d descriptors", came.Load(), requests, w.most, sockets)
}
