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
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.hold, n.discovery.first = 100*limit, 100*limit })
	wait(t, ag.asked, "the call that is lost")
	wait(t, ag.asked, "a call beside it")
	ag.tell(false, `{"rev":%d,"all":true,"targets":[`+entry("s1", old.addr(), "terminating")+","+entry("s2", s.addr(), "in_service")+`]}`)
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
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.first = 100 * limit })
	if q := wait(t, ag.asked, "the first call"); q != "" {
		t.Errorf("asked %q, want the whole list", q)
	}
	if isReady(t, n) {
		t.Error("ready with a list that may be old")
	}
	ag.tell(false, whole(entry("s1", s.addr(), "in_service"))) // nothing new in it
	until(t, "readiness", func() bool { return isReady(t, n) })

	ag.tell(true, "")
	n, _ = startNode(t, cfg, func(n *Node) { n.discovery.first = time.Millisecond })
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
					n.discovery.first = 100 * limit
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
	cfg.Settings.AskDiscovery = true
	d := newDiscovery(cfg, 7, func(e event) { events <- e }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.ask(ctx)
	d.move(ag.Addr().String())
	if q := wait(t, ag.asked, "a call"); q != "" {
		t.Errorf("asked %q, want the whole list", q)
	}
	if e, ok := wait(t, events, "the list").(listNews); !ok || len(e.list.targets) != 1 {
		t.Errorf("got %v", e)
	}
}
