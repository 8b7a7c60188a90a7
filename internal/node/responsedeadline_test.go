package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"basaltdrum/internal/downstream"
	"basaltdrum/internal/testutil"
)

// responseSlack is the time after its deadline within which a request must have its final response.
const responseSlack = 500 * time.Millisecond

// faultDeadline is the deadline of each request.
const faultDeadline = 400 * time.Millisecond

// faultCase holds the faults in one case of TestFaultsLeaveNoRequestWithoutAResponse.
type faultCase struct {
	name            string
	servers         func(*testing.T) []string // returns the addresses of the endpoints
	discovery       string                    // "refused" or "unresponsive"; "": the cached list is used
	incompleteConns int                       // connections of other clients that send nothing or a partial request
	dial            error                     // error of each dial of the node; nil: none
}

// unresponsiveServer starts a server that never responds.
func unresponsiveServer(t *testing.T) []string {
	return []string{testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		io.Copy(io.Discard, conn)
		return false
	}).Address()}
}

// resettingServer starts a server that resets each connection after the request.
func resettingServer(t *testing.T) []string {
	return []string{testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}).Address()}
}

// endlessServer starts a server that sends the start of a response without a length, and never ends it.
func endlessServer(t *testing.T) []string {
	return []string{testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhal")
		io.Copy(io.Discard, conn)
		return false
	}).Address()}
}

// faultyServers returns the addresses of one server of each kind.
func faultyServers(t *testing.T) (all []string) {
	for _, some := range []func(*testing.T) []string{unresponsiveServer, resettingServer, endlessServer} {
		all = append(all, some(t)...)
	}
	return append(all, testutil.ClosedPort(t), testutil.UnreachableAddress(t))
}

// Despite faults of servers, discovery, dials or other clients, each request gets a final response, with any status, at
// most half a second after its deadline.
func TestFaultsLeaveNoRequestWithoutAResponse(t *testing.T) {
	t.Parallel()
	none := func(*testing.T) []string { return nil }
	for _, c := range []faultCase{
		{name: "servers that refuse", servers: refusingServers},
		{name: "servers that never respond", servers: unresponsiveServer},
		{name: "servers that never accept", servers: unreachableServer},
		{name: "servers that reset", servers: resettingServer},
		{name: "endless responses", servers: endlessServer},
		{name: "an empty list", servers: none},
		{name: "discovery refuses", servers: none, discovery: "refused"},
		{name: "discovery is unresponsive", servers: none, discovery: "unresponsive"},
		{name: "no dial succeeds", servers: unresponsiveServer, dial: testutil.DialError("socket", syscall.EMFILE)},
		{name: "descriptors full", servers: unresponsiveServer, incompleteConns: 100},
		{
			name: "discovery is unresponsive, descriptors full", servers: none, discovery: "unresponsive",
			incompleteConns: 100,
		},
		{name: "all at once", servers: faultyServers, discovery: "refused", incompleteConns: 100},
		{
			name: "all at once, and no dial succeeds", servers: faultyServers, incompleteConns: 100,
			dial: testutil.DialError("connect", syscall.ENETUNREACH),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

func (c faultCase) run(t *testing.T) {
	n := c.startNode(t)
	stalled := watchStalls(t, 10*time.Millisecond)
	ended := make(chan error, 6)
	for i := range cap(ended) {
		good, answered := dial(t, n), make(chan struct{})
		go func() {
			ended <- checkResponse(good, fmt.Sprint("good-", i), stalled)
			close(answered)
		}()
		if c.incompleteConns > 0 {
			untilRead(t, n, good, answered)
		}
	}
	for i := range c.incompleteConns {
		incomplete := dial(t, n)
		io.WriteString(incomplete, []string{"", "GET /view/k HTTP/1.1\r\nX-"}[i%2])
	}
	for range cap(ended) {
		if err := testutil.Wait(t, ended, "a final response"); err != nil {
			t.Error(err)
		}
	}
	if c.incompleteConns > 0 { // the node may have closed new connections unread
		testutil.Until(t, "a response on a new connection", func() bool {
			err := checkResponse(dial(t, n), "late", stalled)
			if errors.Is(err, errLateResponse) {
				t.Error(err)
			}
			return err == nil
		})
	}
}

func refusingServers(t *testing.T) []string {
	return []string{testutil.ClosedPort(t), testutil.ClosedPort(t)}
}

func unreachableServer(t *testing.T) []string { return []string{testutil.UnreachableAddress(t)} }

// untilRead waits until the node has read the request of a client or has answered it.
func untilRead(t *testing.T, n *Node, client *testutil.Client, answered <-chan struct{}) {
	t.Helper()
	testutil.Until(t, "the request to be read", func() bool {
		select {
		case <-answered:
			return true
		default:
		}
		return slices.ContainsFunc(n.frontend.conns.Status(), func(conn downstream.ConnStatus) bool {
			return conn.RemoteAddr.String() == client.LocalAddr().String() && conn.Phase == downstream.PhaseActive
		})
	})
}

var errLateResponse = errors.New("the final response is late")

// checkResponse sends one request, and returns an error if its response is missing or late. stalled returns the sum of
// the stalls of the process.
func checkResponse(client *testutil.Client, id string, stalled func() time.Duration) error {
	start, before := time.Now(), stalled()
	if id[len(id)-1]%2 == 0 {
		client.Send("POST", "/note/k", id, "", fmt.Sprint(faultDeadline.Seconds()))
	} else {
		client.Send("GET", "/view/k", id, "", fmt.Sprint(faultDeadline.Seconds()))
	}
	response, _, err := client.ReadResponse()
	if err != nil {
		return fmt.Errorf("request %s: got no response: %w", id, err)
	}
	if took, stall := time.Since(start), stalled()-before; took > faultDeadline+responseSlack+stall {
		return fmt.Errorf("request %s: %w: got %d after %v, of which the process was stalled for %v",
			id, errLateResponse, response.StatusCode, took, stall)
	}
	return nil
}

// startNode starts a node with the faults of the case.
func (c faultCase) startNode(t *testing.T) *Node {
	var entries []string
	for i, endpoint := range c.servers(t) {
		entries = append(entries, testutil.ListEntry(fmt.Sprint("s", i), endpoint, "in_service"))
	}
	cfg := testConfig(testutil.CompleteList(entries...))
	cfg.Sockets = minSockets
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Deadline, cfg.Settings.Classes[i].LatencyObjective = faultDeadline, faultDeadline/2
	}
	const defaultStartupWait = time.Second // of discovery
	startupWait := time.Duration(0)
	switch c.discovery {
	case "refused":
		cfg.Discovery = testutil.ClosedPort(t)
	case "unresponsive":
		agent := testutil.NewRegistryAgent(t)
		agent.Set(true, "")
		cfg.Discovery, startupWait = agent.Addr().String(), defaultStartupWait
	}
	n, _ := startNode(t, cfg, func(n *Node) {
		n.discovery.StartupWait = startupWait
		if c.dial != nil {
			n.upstream.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, c.dial }
		}
	})
	return n
}
