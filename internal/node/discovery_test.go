package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"
)

// What the agent has when discovery returns counts as notified at once. The call that was in flight when discovery
// became unresponsive is never answered, however long it may still wait.
func TestWatchEventAtTheAgentsReturnNeedsNoTimeout(t *testing.T) {
	old, s := newServer(t, echo), newServer(t, echo)
	ag := newRegistryAgent(t)
	ag.set(true, "")
	cfg := testConfig(completeList(entry("s1", old.addr(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.hold, n.discovery.startupWait = 100*limit, 100*limit })
	wait(t, ag.calls, "the call that is lost")
	wait(t, ag.calls, "a call beside it")
	early := dial(t, n) // from a client that makes no readiness check
	early.get("early")
	untilActive(t, n, 1)
	ag.set(false, `{"rev":%d,"all":true,"targets":[`+entry("s1", old.addr(), "terminating")+","+entry("s2", s.addr(), "in_service")+`]}`)
	early.want(t, 200, "for early")
	until(t, "readiness", func() bool { return isReady(t, n) })
	c := dial(t, n)
	for i := range 10 {
		c.get(fmt.Sprint("r", i))
		c.want(t, 200, "")
	}
	if old.received() != 0 {
		t.Errorf("%d requests came to the server that drains", old.received())
	}
}

// The cached list of a new process may be old, and what the agent has counts as notified from the process's first
// moment: the node is ready once it has received the complete list, or has waited long enough for an unresponsive
// agent.
func TestNewProcessIsReadyOnceItHasTheList(t *testing.T) {
	s := newServer(t, echo)
	ag := newRegistryAgent(t)
	ag.set(true, "")
	cfg := testConfig(completeList(entry("s1", s.addr(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.startupWait = 100 * limit })
	if q := wait(t, ag.calls, "the first call"); q != "" {
		t.Errorf("called with %q, want the complete list", q)
	}
	if isReady(t, n) {
		t.Error("ready with a list that may be old")
	}
	ag.set(false, completeList(entry("s1", s.addr(), "in_service"))) // nothing new in it
	until(t, "readiness", func() bool { return isReady(t, n) })

	ag.set(true, "")
	n, _ = startNode(t, cfg, func(n *Node) { n.discovery.startupWait = time.Millisecond })
	until(t, "readiness beside a silent agent", func() bool { return isReady(t, n) })
	c := dial(t, n)
	c.get("r")
	c.want(t, 200, "for r")
}

// A watch whose response stops at any byte is reopened, and the complete list is known then.
func TestWatchIsReopenedAfterATruncatedResponse(t *testing.T) {
	s := newServer(t, echo)
	news := `{"rev":9,"all":true,"targets":[` + entry("s2", s.addr(), "in_service") + `]}`
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(news), news)
	head := strings.Index(answer, "{")
	for _, stop := range []int{0, 5, head - 2, head, head + 1, len(answer) - 1} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(stop, reset), func(t *testing.T) {
				t.Parallel()
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				go func() {
					for first := true; ; first = false {
						c, err := ln.Accept()
						if err != nil {
							return
						}
						stops := first
						go func() {
							defer c.Close()
							for br := bufio.NewReader(c); ; {
								r, err := http.ReadRequest(br)
								if err != nil {
									return
								}
								switch {
								case stops:
									io.WriteString(c, answer[:stop])
									if reset {
										c.(*net.TCPConn).SetLinger(0)
										return
									}
								case r.URL.RawQuery == "":
									io.WriteString(c, answer)
								}
							}
						}()
					}
				}()
				cfg := testConfig(completeList(entry("s1", closedPort(t), "in_service")))
				cfg.Discovery = ln.Addr().String()
				n, stop := startNode(t, cfg, func(n *Node) {
					n.discovery.hold, n.discovery.grace = 200*time.Millisecond, 200*time.Millisecond
					n.discovery.startupWait = 100 * limit
				})
				defer stop()
				until(t, "readiness", func() bool { return isReady(t, n) })
				c := dial(t, n)
				c.get("r")
				c.want(t, 200, "for r")
			})
		}
	}
}

// Calls for a list that changes all the time are paced, and each change is still received.
func TestCallsForAListInConstantChangeArePaced(t *testing.T) {
	const calls = 20
	s := newServer(t, echo)
	for _, asked := range []bool{false, true} {
		t.Run(fmt.Sprint("asked ", asked), func(t *testing.T) {
			t.Parallel()
			seen := make(chan int, calls)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			rev := 0
			agent := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				rev++ // calls come one after another
				if rev > calls {
					<-r.Context().Done()
					return
				}
				fmt.Fprintf(w, `{"rev":%d,"all":%v,"targets":[%s]}`, rev, rev == 1,
					entry(fmt.Sprint("s", rev), s.addr(), "in_service"))
				seen <- rev
			})}
			go agent.Serve(ln)
			t.Cleanup(func() { agent.Close() })
			cfg := testConfig(completeList())
			cfg.Discovery, cfg.Settings.PollDiscovery = ln.Addr().String(), asked
			begun := time.Now()
			n, _ := startNode(t, cfg, func(n *Node) { n.discovery.hold, n.discovery.startupWait = 100*limit, 100*limit })
			for range calls {
				wait(t, seen, "a call")
			}
			if took := time.Since(begun); took < (calls-1)*watchInterval {
				t.Errorf("%d calls came within %v, want %v between two at least", calls, took, watchInterval)
			}
			until(t, "the last change to be known", func() bool {
				n.upstream.mu.Lock()
				defer n.upstream.mu.Unlock()
				return len(n.upstream.endpoints) == calls
			})
		})
	}
}

// An agent that was unresponsive may never answer the call that was in flight then: it must be called again.
func TestUnresponsiveDiscoveryIsCalledAgain(t *testing.T) {
	s := newServer(t, echo)
	ag := newRegistryAgent(t)
	ag.set(true, "")
	cfg := testConfig(completeList())
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) {
		n.discovery.hold, n.discovery.grace = 20*time.Millisecond, 20*time.Millisecond
	})
	for range 3 {
		if q := wait(t, ag.calls, "a watch"); q != "" {
			t.Fatalf("called with %q, want the complete list", q)
		}
	}
	c := dial(t, n)
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	c.want(t, 503, "")
	ag.set(false, completeList(entry("s1", s.addr(), "in_service")))
	until(t, "readiness", func() bool {
		fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		r, _ := c.answer(t)
		return r.StatusCode == 200
	})
	c.get("late")
	c.want(t, 200, "for late")
}

// A watch that ends without changes is no list, which the module would take for a change: it only confirms the
// list.
func TestWatchWithoutChangesOnlyConfirmsTheList(t *testing.T) {
	ag := newRegistryAgent(t)
	events := make(chan event, 10)
	cfg := testConfig("")
	cfg.Discovery = ag.Addr().String()
	d := newDiscovery(cfg, 1, func(e event) { events <- e }, testLog())
	for i, c := range []struct {
		text string
		want event
	}{
		{`{"rev":%d,"all":false,"targets":[]}`, listConfirmed{}},
		{completeList(), listReceived{}},
		{`{"rev":%d,"all":false,"targets":[` + entry("s1", "127.0.0.1:1", "in_service") + `]}`, listReceived{}},
	} {
		ag.set(false, c.text)
		if _, err := d.watchOnce(t.Context(), d.currentAddress(), false); err != nil {
			t.Fatal(err)
		}
		if len(events) != 1 || d.currentAddress().version != int64(ag.rev) {
			t.Fatalf("call %d: %d events at rev %d, want 1 at %d", i, len(events), d.currentAddress().version, ag.rev)
		}
		if got, want := reflect.TypeOf(<-events), reflect.TypeOf(c.want); got != want {
			t.Errorf("call %d: posted %v, want %v", i, got, want)
		}
	}
}

// The watch moves to a new address at once, though a call to the old address is waiting, and versions start anew
// there.
func TestReloadMovesTheWatch(t *testing.T) {
	a, b := newServer(t, echo), newServer(t, echo)
	old, next := newRegistryAgent(t), newRegistryAgent(t)
	old.rev = 1000
	old.set(false, completeList(entry("s1", a.addr(), "in_service")))
	next.set(false, completeList(entry("s2", b.addr(), "in_service")))
	cfg := testConfig(completeList(entry("s1", a.addr(), "in_service")))
	cfg.Discovery = old.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.hold = limit })
	for !strings.Contains(wait(t, old.calls, "the watch"), "from=1001&") {
	}
	c := dial(t, n)
	c.get("before")
	c.want(t, 200, "for before")
	n.Reload(cfg) // the same address: nothing moves
	cfg.Discovery = next.Addr().String()
	n.Reload(cfg)
	if q := wait(t, next.calls, "the complete list"); q != "" {
		t.Errorf("called the new address with %q, want the complete list", q)
	}
	if q := wait(t, next.calls, "the watch"); !strings.HasPrefix(q, fmt.Sprintf("from=%d&", next.rev)) {
		t.Errorf("called with %q", q)
	}
	if len(old.calls) > 0 {
		t.Errorf("the old address was called with %q after the move", <-old.calls)
	}
	before := a.received()
	for i := range 20 { // on the connection of before
		c.get(fmt.Sprint("after-", i))
		c.want(t, 200, fmt.Sprint("for after-", i))
	}
	if a.received() != before || b.received() != 20 {
		t.Errorf("%d requests came to the server that has gone, %d of 20 to the new one", a.received()-before, b.received())
	}
}
