package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// isReady asks a node whether callers may come.
func isReady(t *testing.T, n *Node) bool {
	t.Helper()
	c := dial(t, n)
	defer c.Close()
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	r, _ := c.answer(t)
	return r.StatusCode == http.StatusOK
}

// What the agent has at discovery's return counts as told at once. The call that was out when it fell
// silent is never answered, however long it may still wait.
func TestNewsAtTheAgentsReturnNeedsNoTimeOut(t *testing.T) {
	old, s := newServer(t, echo), newServer(t, echo)
	ag := newAgent(t)
	ag.tell(true, "")
	cfg := testConfig(whole(entry("s1", old.addr(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.hold, n.discovery.startupWait = 100*limit, 100*limit })
	wait(t, ag.asked, "the call that is lost")
	wait(t, ag.asked, "a call beside it")
	early := dial(t, n) // by a caller that does not ask whether the node is ready
	early.get("early")
	until(t, "it to be with the module", func() bool {
		n.frontend.conns.mu.Lock()
		defer n.frontend.conns.mu.Unlock()
		return n.frontend.conns.active == 1
	})
	ag.tell(false, `{"rev":%d,"all":true,"targets":[`+entry("s1", old.addr(), "terminating")+","+entry("s2", s.addr(), "in_service")+`]}`)
	early.want(t, 200, "for early")
	until(t, "readiness", func() bool { return isReady(t, n) })
	c := dial(t, n)
	for i := range 10 {
		c.get(fmt.Sprint("r", i))
		c.want(t, 200, "")
	}
	if old.seen() != 0 {
		t.Errorf("%d requests came to the server that drains", old.seen())
	}
}

// What a new process knows may be old, and what the agent has counts as told from its first moment: it is
// ready once it has heard the whole list, or has waited long enough for an agent that says nothing.
func TestNewProcessIsReadyOnceItHasHeardTheList(t *testing.T) {
	s := newServer(t, echo)
	ag := newAgent(t)
	ag.tell(true, "")
	cfg := testConfig(whole(entry("s1", s.addr(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.startupWait = 100 * limit })
	if q := wait(t, ag.asked, "the first call"); q != "" {
		t.Errorf("asked %q, want the whole list", q)
	}
	if isReady(t, n) {
		t.Error("ready with a list that may be old")
	}
	ag.tell(false, whole(entry("s1", s.addr(), "in_service"))) // nothing new in it
	until(t, "readiness", func() bool { return isReady(t, n) })

	ag.tell(true, "")
	n, _ = startNode(t, cfg, func(n *Node) { n.discovery.startupWait = time.Millisecond })
	until(t, "readiness beside a silent agent", func() bool { return isReady(t, n) })
	c := dial(t, n)
	c.get("r")
	c.want(t, 200, "for r")
}

// A watch that stops at any byte is opened anew, and the whole truth is known then.
func TestWatchThatStopsAnywhereIsOpenedAnew(t *testing.T) {
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
				cfg := testConfig(whole(entry("s1", closedPort(t), "in_service")))
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

// Where lists are asked for, a new configuration opens a new watch though none is out: what discovery has
// there counts as told whether it was asked or not.
func TestMoveAsksAnewWhereListsAreAskedFor(t *testing.T) {
	ag := newAgent(t)
	ag.tell(false, whole(entry("s1", "127.0.0.1:1", "in_service")))
	events := make(chan event, 10)
	cfg := testConfig("")
	cfg.Settings.PollDiscovery = true
	d := newDiscovery(cfg, 7, func(e event) { events <- e }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.runPolled(ctx)
	d.setAddress(ag.Addr().String())
	if q := wait(t, ag.asked, "a call"); q != "" {
		t.Errorf("asked %q, want the whole list", q)
	}
	if e, ok := wait(t, events, "the list").(listReceived); !ok || len(e.list.entries) != 1 {
		t.Errorf("got %v", e)
	}
}

// However long a deployment lets a node go without asking, news counts as told 6 s after the watch fell
// silent: what the module waits between its calls is a part of that.
func TestAskingWaitsNoLongerThanNewsMay(t *testing.T) {
	for seed := range uint64(20) {
		cfg := testConfig(whole())
		cfg.Settings.PollDiscovery, cfg.Settings.PollWithin, cfg.Seed = true, time.Hour, seed
		n, err := New(cfg, testLog())
		if err != nil {
			t.Fatal(err)
		}
		n.listener.Close()
		for range 6 { // the wait doubles with each failure
			n.loop.handleEvent(subscriptionFailed{})
		}
		for _, a := range n.loop.timers {
			if left := n.loop.clock.until(a.at); left > notifiedWithin/4 {
				t.Fatalf("seed %d: asks %v from now", seed, left)
			}
		}
	}
}

// A discovery that refuses is not asked again before a least wait is over, however little the settings have a
// node wait, and at once if the watch moves meanwhile.
func TestRefusedDiscoveryIsNotAskedInAHotLoop(t *testing.T) {
	for _, within := range []time.Duration{0, time.Millisecond, time.Hour} {
		t.Run(fmt.Sprint(within), func(t *testing.T) {
			cfg := testConfig(whole())
			cfg.Discovery, cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = closedPort(t), true, within
			dials, waits := make(chan struct{}, 1000), make(chan time.Duration, 1000)
			clock := make(chan time.Time)
			n, _ := startNode(t, cfg, func(n *Node) {
				n.discovery.after = func(d time.Duration) <-chan time.Time {
					waits <- d
					return clock
				}
				n.discovery.address().client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
					dials <- struct{}{}
					return nil, syscall.ECONNREFUSED
				}
			})
			n.discovery.subscribe()
			for range 5 {
				wait(t, dials, "a call")
				if d := wait(t, waits, "the wait"); d != retryInterval {
					t.Errorf("waits for %v, want %v", d, retryInterval)
				}
				n.discovery.subscribe()
				until(t, "the failure to be taken", func() bool { return len(n.loop.events) == 0 })
				if len(dials) != 0 {
					t.Fatal("asked before the wait was over")
				}
				clock <- time.Time{}
			}
			wait(t, waits, "the wait")
			ag := newAgent(t)
			ag.tell(false, whole())
			n.discovery.setAddress(ag.Addr().String())
			wait(t, ag.asked, "the call after the move")
		})
	}
}

// Whatever a call was lost by, and whatever the settings say, the next one is made early enough for what it
// brings to be known before it counts as told.
func TestLostCallIsMadeUpForInTime(t *testing.T) {
	for _, within := range []time.Duration{
		0, 100 * time.Millisecond, 400 * time.Millisecond, time.Second,
		6 * time.Second, 10 * time.Second, time.Hour,
	} {
		for _, asked := range []bool{false, true} {
			for failures := range 6 {
				cfg := testConfig(whole())
				cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = asked, within
				n, err := New(cfg, testLog())
				if err != nil {
					t.Fatal(err)
				}
				n.listener.Close()
				d, again := n.discovery, retryInterval
				if asked {
					for range failures {
						n.loop.handleEvent(subscriptionFailed{})
					}
					before := n.loop.clock.now()
					n.loop.handleEvent(subscriptionFailed{})
					for _, a := range n.loop.timers {
						again = max(again, a.at-before)
					}
				}
				// The pace, the call that is lost, the wait, a dial that never comes up and its wait, and the next call.
				worst := watchInterval + d.hold + d.grace + again + agentDialTimeout + again + agentCheckTimeout
				if worst >= notifiedWithin {
					t.Errorf("asked %v, ask-within %v, after %d failures: %v", asked, within, failures, worst)
				}
			}
		}
	}
}

// A list that changes all the time is heard of in calls that are paced, and each change is still told.
func TestCallsForAListThatChangesAllTheTimeArePaced(t *testing.T) {
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
			cfg := testConfig(whole())
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
