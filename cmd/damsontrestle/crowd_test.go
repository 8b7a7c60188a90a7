package main

import (
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
	c := &crowd{address: address, kind: kind, turns: make(chan struct{}, many), stop: make(chan struct{}),
		conns: map[net.Conn]struct{}{}}
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
	switch {
	case kind == "half":
		io.WriteString(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Req")
	case kind == "resting" && !c.quiet.Load():
		c.asking.Add(1)
		fmt.Fprintf(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: idle-%p-%d\r\nX-Deadline: 40\r\n\r\n", nc, n)
		nc.Read(make([]byte, 1))
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
