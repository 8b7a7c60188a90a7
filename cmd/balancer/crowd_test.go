package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// crowd is idle clients: each connects, does what its kind does, and stays until the node ends the
// connection; then it comes again.
type crowd struct {
	address string
	kind    string
	turns   chan struct{} // one for each connection to be made
	stop    chan struct{}
	wg      sync.WaitGroup
	ended   atomic.Int64 // connections that the node has ended
	asking  atomic.Int64 // requests that are not answered
	quiet   atomic.Bool  // no request is sent any more

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Connections of a crowd: all at once at first, then one each time, and no more than so many in all.
const (
	comeAgain = 2 * time.Millisecond
	mostTurns = 20_000
)

// gather has many idle clients come at once, and come again for as long as the test runs.
func gather(t *testing.T, address, kind string, many int) *crowd {
	c := &crowd{
		address: address, kind: kind, turns: make(chan struct{}, many), stop: make(chan struct{}),
		conns: map[net.Conn]struct{}{},
	}
	for i := range many {
		c.turns <- struct{}{}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for n := i; ; n++ {
				select {
				case <-c.stop:
					return
				case <-c.turns:
					c.come(n)
				}
			}
		}()
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		again := time.NewTicker(comeAgain)
		defer again.Stop()
		for range mostTurns - many {
			select {
			case <-c.stop:
				return
			case <-again.C:
			}
			select {
			case c.turns <- struct{}{}:
			default: // all are there
			}
		}
	}()
	t.Cleanup(func() {
		c.mu.Lock()
		close(c.stop)
		for nc := range c.conns {
			nc.Close()
		}
		c.mu.Unlock()
		c.wg.Wait()
	})
	return c
}

// come is one connection of a client.
func (c *crowd) come(n int) {
	nc, err := net.Dial("tcp", c.address)
	if err != nil {
		return
	}
	defer nc.Close()
	c.mu.Lock()
	select {
	case <-c.stop:
		c.mu.Unlock()
		return
	default:
	}
	c.conns[nc] = struct{}{}
	c.mu.Unlock()
	kind := c.kind
	if kind == "mixed" {
		kind = []string{"silent", "half", "resting"}[n%3]
	}
	switch kind {
	case "half":
		io.WriteString(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Req")
	case "resting":
		c.asking.Add(1) // before the look at quiet: whoever finds no one asking after it was set can rely on that
		if !c.quiet.Load() {
			fmt.Fprintf(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: idle-%p-%d\r\nX-Deadline: 40\r\n\r\n", nc, n)
			nc.Read(make([]byte, 1))
		}
		c.asking.Add(-1)
	}
	io.Copy(io.Discard, nc) // until the node ends it
	c.mu.Lock()
	delete(c.conns, nc)
	c.mu.Unlock()
	c.ended.Add(1)
}

// descriptors is how many a process holds.
func descriptors(t *testing.T, pid int) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}

// mostUsed is how many descriptors a node may use: callers and servers leave it 24, of which it has six of its
// own (listener, poller, log) and at most eight connections to discovery.
func mostUsed(sockets int) int { return sockets - 24 + 6 + 8 }

// leastFree of these are free while the node has no connection to a server: their share, a quarter of all but 48.
func leastFree(sockets int) int { return (sockets - 48) / 4 }

// A good client may have so many connections shut unread by a crowded node before it is served, and pauses
// after each. A node that makes room needs a fifth of a second of these pauses at most, for that long half a
// request is spared; their sum is longer, and on a busy machine longer still. One that waits for its idle
// clients to time out needs 2.5 s.
const (
	mostShut = 100
	pause    = 10 * time.Millisecond
)

// TestIdleClientsKeepNobodyOut fills a node's descriptors with idle clients while discovery is down.
// Descriptors for a server and for discovery are free throughout. Once discovery is back and its list is
// taken, the first request that is answered is served by the server that the list names.
func TestIdleClientsKeepNobodyOut(t *testing.T) {
	buildOnce(t)
	serve := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, name) }))
		t.Cleanup(s.Close)
		return target(name, strings.TrimPrefix(s.URL, "http://"))
	}
	old, next := serve("old"), serve("next")
	// What the node knows of servers when its discovery goes down: what it was told, its configuration's
	// list, or nothing. Where it knows none, nobody can have been served and rest.
	beginnings := []string{"told", "known", "nothing"}
	row := 0
	for _, sockets := range []int{64, 256, 1024} {
		for _, kind := range []string{"silent", "half", "resting", "mixed"} {
			for _, mode := range []string{"pushed", "on_request"} {
				for _, down := range []outage{mute, refusing} {
					begin := beginnings[row%len(beginnings)]
					if row++; begin == "nothing" && kind == "resting" {
						begin = "known"
					}
					t.Run(fmt.Sprintf("%d/%s/%s/%v/%s", sockets, kind, mode, down, begin), func(t *testing.T) {
						t.Parallel()
						keepsNobodyOut(t, sockets, kind, mode, down, begin, old, next)
					})
				}
			}
		}
	}
}

func keepsNobodyOut(t *testing.T, sockets int, kind, mode string, down outage, begin, old, next string) {
	d := newRegistry(t, 5, old, map[bool]outage{true: none, false: down}[begin == "told"])
	known := map[bool]string{true: old}[begin == "known"]
	p := launch(t, nodeConfig("127.0.0.1:0", d.addr, known, mode, sockets), sockets)
	address := p.address(t)
	if begin != "nothing" { // its list is in use
		if status, body, err := askOnce(address); status != http.StatusOK || body != "old" {
			t.Fatalf("before: %d %q, %v", status, body, err)
		}
	}
	if begin == "told" {
		waitFor(t, d.tells(5), "the first list to be taken")
		d.is(t, 5, old, down)
	}
	const beyond = 100
	idle := gather(t, address, kind, sockets+beyond)
	most := 0
	watch := func() {
		most = max(most, descriptors(t, p.cmd.Process.Pid))
	}
	eventually(t, "the node to hold as many as it will", func() bool {
		watch()
		return idle.ended.Load() >= beyond
	})
	idle.quiet.Store(true)
	eventually(t, "the idle clients to rest", func() bool { return idle.asking.Load() == 0 || begin == "nothing" })
	if begin == "nothing" && most > mostUsed(sockets)-leastFree(sockets) {
		t.Errorf("%d of %d descriptors were in use before the first server was known", most, sockets)
	}
	back := d.tells(6)
	since := time.Now()
	d.is(t, 6, next, none)
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
	eventually(t, "the idle clients to rest", func() bool { return idle.asking.Load() == 0 })
	shut := 0
	for ; ; shut++ {
		if shut > 0 {
			time.Sleep(pause)
		}
		status, body, err := askOnce(address)
		if err == nil {
			if status != http.StatusOK || body != "next" {
				t.Errorf("after the list was taken, and %d connections shut: %d %q", shut, status, body)
			}
			break
		}
		if shut == mostShut {
			t.Errorf("%d connections were shut unread: %v", shut, err)
			break
		}
	}
	watch()
	if most > mostUsed(sockets) {
		t.Errorf("%d of %d descriptors were in use", most, sockets)
	}
	if log := p.said(); !p.alive() || strings.Contains(log, "too many open files") {
		t.Errorf("running: %v, log:\n%s", p.alive(), log)
	}
	t.Logf("list taken after %v, %d shut, at most %d of %d descriptors", took, shut, most, sockets)
}

// waitFor waits for what must come.
func waitFor(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(limit):
		t.Fatalf("waited in vain for %s", what)
	}
}

// askOnce makes a request on a connection of its own. The error says that it was ended with no answer.
func askOnce(address string) (status int, body string, err error) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(limit))
	io.WriteString(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: good\r\nX-Deadline: 40\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, "no answer", nil
	}
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// TestHeldRequestsLeaveDescriptors has a node hold as many requests as it may while it knows no server and
// idle clients fill the rest of its descriptors. The list that comes then sets off all of them at once, to
// a server that answers none until each has come to it or has been refused: descriptors are left all the
// while, and the server gets as many as its share at least.
func TestHeldRequestsLeaveDescriptors(t *testing.T) {
	buildOnce(t)
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
				held := gather(t, address, "resting", room/2)
				eventually(t, "the requests to be sent", func() bool { return held.asking.Load() == int64(room/2) })
				held.quiet.Store(true)
				idle := gather(t, address, kind, sockets+100)
				most := 0
				look := func() { most = max(most, descriptors(t, p.cmd.Process.Pid)) }
				eventually(t, "the node to hold as many as it will", func() bool {
					look()
					return idle.ended.Load() >= 100
				})
				if most > mostUsed(sockets)-leastFree(sockets) {
					t.Errorf("%d of %d descriptors were in use before the first server was known", most, sockets)
				}
				var list []string // so many servers that the node admits all requests at once
				for i := range room / 2 {
					list = append(list, target(fmt.Sprint("next-", i), strings.TrimPrefix(s.URL, "http://")))
				}
				d.is(t, 6, strings.Join(list, ","), none)
				eventually(t, "the server to get its share", func() bool {
					look()
					return came.Load() >= int64(leastFree(sockets)) || held.asking.Load() == 0
				})
				if got := came.Load(); got < int64(leastFree(sockets)) {
					t.Errorf("%d of %d requests came to the server; the others were refused", got, room/2)
				}
				for range 200 { // all others have been decided on with these; a busy machine sees less, and passes
					look()
					time.Sleep(2 * time.Millisecond)
				}
				release()
				eventually(t, "each request to be answered", func() bool {
					look()
					return held.asking.Load() == 0
				})
				if most > mostUsed(sockets) {
					t.Errorf("%d of %d descriptors were in use", most, sockets)
				}
				if log := p.said(); !p.alive() || strings.Contains(log, "too many open files") {
					t.Errorf("running: %v, log:\n%s", p.alive(), log)
				}
				t.Logf("%d of %d came, at most %d of %d descriptors", came.Load(), room/2, most, sockets)
			})
		}
	}
}
