package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// inService is the entry of a server that is ready.
func inService(uid string, s *testutil.Server) string {
	return testutil.ListEntry(uid, s.Address(), "in_service")
}

// terminating is the entry of a server that is draining.
func terminating(uid string, s *testutil.Server) string {
	return testutil.ListEntry(uid, s.Address(), "terminating")
}

// What the agent has when discovery returns counts as notified at once. The call that was in flight when discovery
// became unresponsive is never answered, however long it may still wait.
func TestWatchEventAtTheAgentsReturnNeedsNoTimeout(t *testing.T) {
	t.Parallel()
	draining, joined := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	agent := testutil.NewRegistryAgent(t)
	agent.Set(true, "")
	cfg := testConfig(testutil.CompleteList(inService("s1", draining)))
	cfg.Discovery = agent.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) {
		n.discovery.Hold, n.discovery.StartupWait = 100*testutil.Timeout, 100*testutil.Timeout
	})
	testutil.Wait(t, agent.Queries, "the call that is lost")
	testutil.Wait(t, agent.Queries, "a call beside it")
	early := dial(t, n) // from a client that makes no readiness check
	early.SendGet("early")
	untilActive(t, n, 1)
	agent.Set(false, testutil.CompleteList(terminating("s1", draining), inService("s2", joined)))
	early.Expect(t, 200, "for early")
	testutil.Until(t, "readiness", func() bool { return isReady(t, n) })
	c := dial(t, n)
	for i := range 10 {
		c.SendGet(fmt.Sprint("r", i))
		c.Expect(t, 200, "")
	}
	if draining.RequestCount() != 0 {
		t.Errorf("%d requests came to the server that drains", draining.RequestCount())
	}
}

// The cached list of a new process may be old, and what the agent has counts as notified from the process's first
// moment: the node is ready once it has received the complete list, or has waited long enough for an unresponsive
// agent.
func TestNewProcessIsReadyOnceItHasTheList(t *testing.T) {
	t.Parallel()
	s := testutil.NewServer(t, testutil.Echo)
	list := testutil.CompleteList(inService("s1", s))
	agent := testutil.NewRegistryAgent(t)
	agent.Set(true, "")
	cfg := testConfig(list)
	cfg.Discovery = agent.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.StartupWait = 100 * testutil.Timeout })
	if query := testutil.Wait(t, agent.Queries, "the first call"); query != "" {
		t.Errorf("called with %q, want the complete list", query)
	}
	if isReady(t, n) {
		t.Error("ready with a list that may be old")
	}
	agent.Set(false, list) // the same as the cached one
	testutil.Until(t, "readiness", func() bool { return isReady(t, n) })

	agent.Set(true, "")
	n, _ = startNode(t, cfg, func(n *Node) { n.discovery.StartupWait = time.Millisecond })
	testutil.Until(t, "readiness beside a silent agent", func() bool { return isReady(t, n) })
	c := dial(t, n)
	c.SendGet("r")
	c.Expect(t, 200, "for r")
}

// truncatingAgent is an agent whose first connection ends, or falls silent, within the response to a call. On the
// others it answers calls for the complete list, and leaves watches unanswered.
type truncatingAgent struct {
	response string
	stop     int  // bytes of the response on the first connection
	reset    bool // the first connection is reset then; otherwise it falls silent
}

// serve serves connections until the test ends, and returns the agent's address.
func (a truncatingAgent) serve(t *testing.T) (address string) {
	t.Helper()
	var connections atomic.Int32
	var isFirst sync.Map // by connection
	agent := testutil.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		first, _ := isFirst.LoadOrStore(c, connections.Add(1) == 1)
		switch {
		case first.(bool):
			io.WriteString(c, a.response[:a.stop])
			if a.reset {
				c.(*net.TCPConn).SetLinger(0)
				return false
			}
		case r.URL.RawQuery == "":
			io.WriteString(c, a.response)
		}
		return true
	})
	return agent.Address()
}

// A watch whose response stops at any byte is reopened, and the complete list is known then.
func TestWatchIsReopenedAfterATruncatedResponse(t *testing.T) {
	t.Parallel()
	s := testutil.NewServer(t, testutil.Echo)
	list := strings.Replace(testutil.CompleteList(inService("s2", s)), "%d", "9", 1)
	response := httpOK(list)
	head := strings.Index(response, "{")
	for _, stop := range []int{0, 5, head - 2, head, head + 1, len(response) - 1} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %d bytes,reset=%v", stop, reset), func(t *testing.T) {
				t.Parallel()
				cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", testutil.ClosedPort(t), "in_service")))
				cfg.Discovery = truncatingAgent{response, stop, reset}.serve(t)
				n, _ := startNode(t, cfg, func(n *Node) {
					n.discovery.Hold, n.discovery.Grace = 200*time.Millisecond, 200*time.Millisecond
					n.discovery.StartupWait = 100 * testutil.Timeout
				})
				testutil.Until(t, "readiness", func() bool { return isReady(t, n) })
				c := dial(t, n)
				c.SendGet("r")
				c.Expect(t, 200, "for r")
			})
		}
	}
}

// An agent that was unresponsive may never answer the call that was in flight then: it must be called again.
func TestUnresponsiveDiscoveryIsCalledAgain(t *testing.T) {
	t.Parallel()
	s := testutil.NewServer(t, testutil.Echo)
	agent := testutil.NewRegistryAgent(t)
	agent.Set(true, "")
	cfg := testConfig(testutil.CompleteList())
	cfg.Discovery = agent.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) {
		n.discovery.Hold, n.discovery.Grace = 20*time.Millisecond, 20*time.Millisecond
	})
	for range 3 {
		if query := testutil.Wait(t, agent.Queries, "a watch"); query != "" {
			t.Fatalf("called with %q, want the complete list", query)
		}
	}
	c := dial(t, n)
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Expect(t, 503, "")
	agent.Set(false, testutil.CompleteList(inService("s1", s)))
	testutil.Until(t, "readiness", func() bool {
		fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		r, _ := c.Response(t)
		return r.StatusCode == 200
	})
	c.SendGet("late")
	c.Expect(t, 200, "for late")
}

// The watch moves to a new address at once, though a call to the old address is waiting, and versions start anew
// there.
func TestReloadMovesTheWatch(t *testing.T) {
	t.Parallel()
	removed, joined := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	before, after := testutil.NewRegistryAgent(t), testutil.NewRegistryAgent(t)
	before.SetVersion(1000)
	before.Set(false, testutil.CompleteList(inService("s1", removed)))
	after.Set(false, testutil.CompleteList(inService("s2", joined)))
	cfg := testConfig(testutil.CompleteList(inService("s1", removed)))
	cfg.Discovery = before.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.Hold = testutil.Timeout })
	for !strings.Contains(testutil.Wait(t, before.Queries, "the watch"), "from=1001&") {
	}
	c := dial(t, n)
	c.SendGet("before")
	c.Expect(t, 200, "for before")
	n.Reload(cfg) // the same address: nothing moves
	cfg.Discovery = after.Addr().String()
	n.Reload(cfg)
	if query := testutil.Wait(t, after.Queries, "the complete list"); query != "" {
		t.Errorf("called the new address with %q, want the complete list", query)
	}
	query, want := testutil.Wait(t, after.Queries, "the watch"), fmt.Sprintf("from=%d&", after.Version())
	if !strings.HasPrefix(query, want) {
		t.Errorf("called with %q, want %q", query, want)
	}
	if len(before.Queries) > 0 {
		t.Errorf("the old address was called with %q after the move", <-before.Queries)
	}
	received := removed.RequestCount()
	for i := range 20 { // on the connection of the request before
		c.SendGet(fmt.Sprint("after-", i))
		c.Expect(t, 200, fmt.Sprint("for after-", i))
	}
	if removed.RequestCount() != received || joined.RequestCount() != 20 {
		t.Errorf("%d requests came to the server that was removed, %d of 20 to the one that joined",
			removed.RequestCount()-received, joined.RequestCount())
	}
}
