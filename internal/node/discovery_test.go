package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// What the agent has when discovery returns counts as notified at once. The call that was in flight when discovery
// became unresponsive is never answered, however long it may still wait.
func TestWatchEventAtTheAgentsReturnNeedsNoTimeout(t *testing.T) {
	old, s := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	ag := testutil.NewRegistryAgent(t)
	ag.Set(true, "")
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", old.Address(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.Hold, n.discovery.StartupWait = 100*testutil.Limit, 100*testutil.Limit })
	testutil.Wait(t, ag.Calls, "the call that is lost")
	testutil.Wait(t, ag.Calls, "a call beside it")
	early := dial(t, n) // from a client that makes no readiness check
	early.Get("early")
	untilActive(t, n, 1)
	ag.Set(false, `{"rev":%d,"all":true,"targets":[`+testutil.ListEntry("s1", old.Address(), "terminating")+","+testutil.ListEntry("s2", s.Address(), "in_service")+`]}`)
	early.Expect(t, 200, "for early")
	testutil.Until(t, "readiness", func() bool { return isReady(t, n) })
	c := dial(t, n)
	for i := range 10 {
		c.Get(fmt.Sprint("r", i))
		c.Expect(t, 200, "")
	}
	if old.Received() != 0 {
		t.Errorf("%d requests came to the server that drains", old.Received())
	}
}

// The cached list of a new process may be old, and what the agent has counts as notified from the process's first
// moment: the node is ready once it has received the complete list, or has waited long enough for an unresponsive
// agent.
func TestNewProcessIsReadyOnceItHasTheList(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	ag := testutil.NewRegistryAgent(t)
	ag.Set(true, "")
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.StartupWait = 100 * testutil.Limit })
	if q := testutil.Wait(t, ag.Calls, "the first call"); q != "" {
		t.Errorf("called with %q, want the complete list", q)
	}
	if isReady(t, n) {
		t.Error("ready with a list that may be old")
	}
	ag.Set(false, testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))) // nothing new in it
	testutil.Until(t, "readiness", func() bool { return isReady(t, n) })

	ag.Set(true, "")
	n, _ = startNode(t, cfg, func(n *Node) { n.discovery.StartupWait = time.Millisecond })
	testutil.Until(t, "readiness beside a silent agent", func() bool { return isReady(t, n) })
	c := dial(t, n)
	c.Get("r")
	c.Expect(t, 200, "for r")
}

// A watch whose response stops at any byte is reopened, and the complete list is known then.
func TestWatchIsReopenedAfterATruncatedResponse(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	news := `{"rev":9,"all":true,"targets":[` + testutil.ListEntry("s2", s.Address(), "in_service") + `]}`
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
				cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", testutil.ClosedPort(t), "in_service")))
				cfg.Discovery = ln.Addr().String()
				n, stop := startNode(t, cfg, func(n *Node) {
					n.discovery.Hold, n.discovery.Grace = 200*time.Millisecond, 200*time.Millisecond
					n.discovery.StartupWait = 100 * testutil.Limit
				})
				defer stop()
				testutil.Until(t, "readiness", func() bool { return isReady(t, n) })
				c := dial(t, n)
				c.Get("r")
				c.Expect(t, 200, "for r")
			})
		}
	}
}

// An agent that was unresponsive may never answer the call that was in flight then: it must be called again.
func TestUnresponsiveDiscoveryIsCalledAgain(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	ag := testutil.NewRegistryAgent(t)
	ag.Set(true, "")
	cfg := testConfig(testutil.CompleteList())
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) {
		n.discovery.Hold, n.discovery.Grace = 20*time.Millisecond, 20*time.Millisecond
	})
	for range 3 {
		if q := testutil.Wait(t, ag.Calls, "a watch"); q != "" {
			t.Fatalf("called with %q, want the complete list", q)
		}
	}
	c := dial(t, n)
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Expect(t, 503, "")
	ag.Set(false, testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service")))
	testutil.Until(t, "readiness", func() bool {
		fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		r, _ := c.Response(t)
		return r.StatusCode == 200
	})
	c.Get("late")
	c.Expect(t, 200, "for late")
}

// The watch moves to a new address at once, though a call to the old address is waiting, and versions start anew
// there.
func TestReloadMovesTheWatch(t *testing.T) {
	a, b := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	old, next := testutil.NewRegistryAgent(t), testutil.NewRegistryAgent(t)
	old.SetVersion(1000)
	old.Set(false, testutil.CompleteList(testutil.ListEntry("s1", a.Address(), "in_service")))
	next.Set(false, testutil.CompleteList(testutil.ListEntry("s2", b.Address(), "in_service")))
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", a.Address(), "in_service")))
	cfg.Discovery = old.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.Hold = testutil.Limit })
	for !strings.Contains(testutil.Wait(t, old.Calls, "the watch"), "from=1001&") {
	}
	c := dial(t, n)
	c.Get("before")
	c.Expect(t, 200, "for before")
	n.Reload(cfg) // the same address: nothing moves
	cfg.Discovery = next.Addr().String()
	n.Reload(cfg)
	if q := testutil.Wait(t, next.Calls, "the complete list"); q != "" {
		t.Errorf("called the new address with %q, want the complete list", q)
	}
	if q := testutil.Wait(t, next.Calls, "the watch"); !strings.HasPrefix(q, fmt.Sprintf("from=%d&", next.Version())) {
		t.Errorf("called with %q", q)
	}
	if len(old.Calls) > 0 {
		t.Errorf("the old address was called with %q after the move", <-old.Calls)
	}
	before := a.Received()
	for i := range 20 { // on the connection of before
		c.Get(fmt.Sprint("after-", i))
		c.Expect(t, 200, fmt.Sprint("for after-", i))
	}
	if a.Received() != before || b.Received() != 20 {
		t.Errorf("%d requests came to the server that has gone, %d of 20 to the new one", a.Received()-before, b.Received())
	}
}
