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

func checkIdleClients(t *testing.T, sockets int, kind, mode string, down registryState, begin, old, next string) {
	d := newRegistry(t, 5, old, map[bool]registryState{true: available, false: down}[begin == "told"])
	known := map[bool]string{true: old}[begin == "known"]
	p := launch(t, nodeConfig("127.0.0.1:0", d.addr, known, mode, sockets), sockets)
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
	const beyond = 100
	idle := newCrowd(t, address, kind, sockets+beyond)
	most := 0
	watch := func() {
		most = max(most, openDescriptors(t, p.cmd.Process.Pid))
	}
	eventually(t, "the node to hold as many as it will", func() bool {
		watch()
		return idle.ended.Load() >= beyond
	})
	idle.resting.Store(true)
	eventually(t, "the idle clients to rest", func() bool { return idle.inFlight.Load() == 0 || begin == "nothing" })
	if begin == "nothing" && most > maxDescriptors(sockets)-minFreeDescriptors(sockets) {
		t.Errorf("%d of %d descriptors were in use before the first server was known", most, sockets)
	}
	back := d.fetched(6)
	since := time.Now()
	d.set(t, 6, next, available)
	eventually(t, "the list to be taken", func() bool {
		watch()
		select {
		case <-back:
			return true
		default:
			return false
		}
	})
	took := time.Since(since)
	// What was held is answered, and the node is not full of requests any more.
	eventually(t, "the idle clients to rest", func() bool { return idle.inFlight.Load() == 0 })
	shut := 0
	for ; ; shut++ {
		if shut > 0 {
			time.Sleep(pause)
		}
		status, body, err := getOnce(address)
		if err == nil {
			if status != http.StatusOK || body != "next" {
				t.Errorf("after the list was taken, and %d connections shut: %d %q", shut, status, body)
			}
			break
		}
		if shut == maxClosed {
			t.Errorf("%d connections were shut unread: %v", shut, err)
			break
		}
	}
	watch()
	if most > maxDescriptors(sockets) {
		t.Errorf("%d of %d descriptors were in use", most, sockets)
	}
	if log := p.logText(); !p.alive() || strings.Contains(log, "too many open files") {
		t.Errorf("running: %v, log:\n%s", p.alive(), log)
	}
	t.Logf("list taken after %v, %d shut, at most %d of %d descriptors", took, shut, most, sockets)
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
				address := p.address(t)
				room := sockets - 48
				held := newCrowd(t, address, "resting", room/2)
				eventually(t, "the requests to be sent", func() bool { return held.inFlight.Load() == int64(room/2) })
				held.resting.Store(true)
				idle := newCrowd(t, address, kind, sockets+100)
				most := 0
				look := func() { most = max(most, openDescriptors(t, p.cmd.Process.Pid)) }
				eventually(t, "the node to hold as many as it will", func() bool {
					look()
					return idle.ended.Load() >= 100
				})
				if most > maxDescriptors(sockets)-minFreeDescriptors(sockets) {
					t.Errorf("%d of %d descriptors were in use before the first server was known", most, sockets)
				}
				var list []string // so many servers that the node admits all requests at once
				for i := range room / 2 {
					list = append(list, listEntry(fmt.Sprint("next-", i), strings.TrimPrefix(s.URL, "http://")))
				}
				d.set(t, 6, strings.Join(list, ","), available)
				eventually(t, "the server to get its share", func() bool {
					look()
					return came.Load() >= int64(minFreeDescriptors(sockets)) || held.inFlight.Load() == 0
				})
				if got := came.Load(); got < int64(minFreeDescriptors(sockets)) {
					t.Errorf("%d of %d requests came to the server; the others were rejected", got, room/2)
				}
				for range 200 { // all others have been decided on with these; a busy machine sees less, and passes
					look()
					time.Sleep(2 * time.Millisecond)
				}
				release()
				eventually(t, "each request to be answered", func() bool {
					look()
					return held.inFlight.Load() == 0
				})
				if most > maxDescriptors(sockets) {
					t.Errorf("%d of %d descriptors were in use", most, sockets)
				}
				if log := p.logText(); !p.alive() || strings.Contains(log, "too many open files") {
					t.Errorf("running: %v, log:\n%s", p.alive(), log)
				}
				t.Logf("%d of %d came, at most %d of %d descriptors", came.Load(), room/2, most, sockets)
			})
		}
	}
}
