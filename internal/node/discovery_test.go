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

// inService returns the list entry of a ready server.
func inService(uid string, server *testutil.Server) string {
	return testutil.ListEntry(uid, server.Address(), "in_service")
}

// terminating returns the list entry of a draining server.
func terminating(uid string, server *testutil.Server) string {
	return testutil.ListEntry(uid, server.Address(), "terminating")
}

// When an unresponsive agent returns, its list is applied at once. The call that was in flight when the agent became
// unresponsive is never answered, so the node must not wait for its timeout.
func TestListIsAppliedAtOnceWhenTheAgentReturns(t *testing.T) {
	t.Parallel()
	draining, added := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	agent := testutil.NewRegistryAgent(t)
	agent.Set(true, "")
	cfg := testConfig(testutil.CompleteList(inService("s1", draining)))
	cfg.Discovery = agent.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) {
		n.discovery.Hold, n.discovery.StartupWait = 100*testutil.Timeout, 100*testutil.Timeout
	})
	testutil.Wait(t, agent.Queries, "the call that gets no response")
	testutil.Wait(t, agent.Queries, "a second call in parallel")
	early := dial(t, n) // a client that makes no readiness check
	early.SendGet("early")
	untilActive(t, n, 1)
	agent.Set(false, testutil.CompleteList(terminating("s1", draining), inService("s2", added)))
	early.Expect(t, 200, "for early")
	testutil.Until(t, "readiness", func() bool { return isReady(t, n) })
	client := dial(t, n)
	for i := range 10 {
		client.SendGet(fmt.Sprint("r", i))
		client.Expect(t, 200, "")
	}
	if draining.RequestCount() != 0 {
		t.Errorf("got %d requests at the draining server, want 0", draining.RequestCount())
	}
}

// The cached list of a new node may be outdated, and the agent's list takes precedence from the start. So the node is
// ready once it has received the complete list, or has waited for an unresponsive agent for the startup wait.
func TestNewNodeIsReadyOnceItHasTheList(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	list := testutil.CompleteList(inService("s1", server))
	agent := testutil.NewRegistryAgent(t)
	agent.Set(true, "")
	cfg := testConfig(list)
	cfg.Discovery = agent.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.StartupWait = 100 * testutil.Timeout })
	if query := testutil.Wait(t, agent.Queries, "the first call"); query != "" {
		t.Errorf("got query %q, want an empty one for the complete list", query)
	}
	if isReady(t, n) {
		t.Error("got a ready node before the list of the agent, want it not ready")
	}
	agent.Set(false, list) // the same as the cached one
	testutil.Until(t, "readiness", func() bool { return isReady(t, n) })

	agent.Set(true, "")
	n, _ = startNode(t, cfg, func(n *Node) { n.discovery.StartupWait = time.Millisecond })
	testutil.Until(t, "readiness with an unresponsive agent", func() bool { return isReady(t, n) })
	client := dial(t, n)
	client.SendGet("r")
	client.Expect(t, 200, "for r")
}

// truncatingAgent is an agent whose first connection is reset, or sends no more, within the response to a call. On
// other connections it answers calls for the complete list and leaves watches unanswered.
type truncatingAgent struct {
	response string
	stop     int  // number of bytes of the response that it sends on the first connection
	reset    bool // it then resets the first connection; otherwise it sends no more
}

// serve serves connections until the test ends, and returns the agent's address.
func (a truncatingAgent) serve(t *testing.T) (address string) {
	t.Helper()
	var connections atomic.Int32
	var isFirst sync.Map // by connection
	agent := testutil.NewServer(t, func(conn net.Conn, r *http.Request, _ string) bool {
		first, _ := isFirst.LoadOrStore(conn, connections.Add(1) == 1)
		switch {
		case first.(bool):
			io.WriteString(conn, a.response[:a.stop])
			if a.reset {
				conn.(*net.TCPConn).SetLinger(0)
				return false
			}
		case r.URL.RawQuery == "":
			io.WriteString(conn, a.response)
		}
		return true
	})
	return agent.Address()
}

// A watch whose response stops at any byte is reopened, and the node then gets the complete list.
func TestWatchIsReopenedAfterATruncatedResponse(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	list := strings.Replace(testutil.CompleteList(inService("s2", server)), "%d", "9", 1)
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
				client := dial(t, n)
				client.SendGet("r")
				client.Expect(t, 200, "for r")
			})
		}
	}
}

// An unresponsive agent may never answer the call in flight, so the node must call it again.
func TestUnresponsiveDiscoveryIsCalledAgain(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	agent := testutil.NewRegistryAgent(t)
	agent.Set(true, "")
	cfg := testConfig(testutil.CompleteList())
	cfg.Discovery = agent.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) {
		n.discovery.Hold, n.discovery.Grace = 20*time.Millisecond, 20*time.Millisecond
	})
	for range 3 {
		if query := testutil.Wait(t, agent.Queries, "a watch"); query != "" {
			t.Fatalf("got query %q, want an empty one for the complete list", query)
		}
	}
	client := dial(t, n)
	fmt.Fprint(client, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	client.Expect(t, 503, "")
	agent.Set(false, testutil.CompleteList(inService("s1", server)))
	testutil.Until(t, "readiness", func() bool {
		fmt.Fprint(client, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		response, _ := client.Response(t)
		return response.StatusCode == 200
	})
	client.SendGet("late")
	client.Expect(t, 200, "for late")
}

// A reload moves the watch to a new address at once, even while a call to the old address is waiting. The versions of
// the old address do not apply to the new one.
func TestReloadMovesTheWatch(t *testing.T) {
	t.Parallel()
	removed, added := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	before, after := testutil.NewRegistryAgent(t), testutil.NewRegistryAgent(t)
	before.SetVersion(1000)
	before.Set(false, testutil.CompleteList(inService("s1", removed)))
	after.Set(false, testutil.CompleteList(inService("s2", added)))
	cfg := testConfig(testutil.CompleteList(inService("s1", removed)))
	cfg.Discovery = before.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.Hold = testutil.Timeout })
	for !strings.Contains(testutil.Wait(t, before.Queries, "the watch"), "from=1001&") {
	}
	client := dial(t, n)
	client.SendGet("before")
	client.Expect(t, 200, "for before")
	n.Reload(cfg) // the address is the same: the watch stays
	cfg.Discovery = after.Addr().String()
	n.Reload(cfg)
	if query := testutil.Wait(t, after.Queries, "the complete list"); query != "" {
		t.Errorf("got query %q at the new address, want an empty one for the complete list", query)
	}
	query, want := testutil.Wait(t, after.Queries, "the watch"), fmt.Sprintf("from=%d&", after.Version())
	if !strings.HasPrefix(query, want) {
		t.Errorf("got query %q at the new address, want prefix %q", query, want)
	}
	if len(before.Queries) > 0 {
		t.Errorf("got query %q at the old address after the move, want none", <-before.Queries)
	}
	received := removed.RequestCount()
	for i := range 20 { // on the connection of the previous request
		client.SendGet(fmt.Sprint("after-", i))
		client.Expect(t, 200, fmt.Sprint("for after-", i))
	}
	if removed.RequestCount() != received || added.RequestCount() != 20 {
		t.Errorf("got %d requests at the removed server and %d at the added one, want 0 and 20",
			removed.RequestCount()-received, added.RequestCount())
	}
}
