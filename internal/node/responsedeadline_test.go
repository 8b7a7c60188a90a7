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

// responseSlack is how long after its deadline a request must have its final response.
const responseSlack = 500 * time.Millisecond

// faultDeadline is the deadline of each request.
const faultDeadline = 400 * time.Millisecond

// faultCase is the faults that a node of TestFaultsLeaveNoRequestWithoutAResponse meets.
type faultCase struct {
	name      string
	servers   func(*testing.T) []string // endpoints
	discovery string                    // "refused" or "silent", without a cached list; "": the cached list is enough
	crowd     int                       // connections of other clients that are silent or send half a request
	dial      error                     // what each dial of the node's fails with
}

func silentServer(t *testing.T) []string {
	return []string{testutil.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		io.Copy(io.Discard, c)
		return false
	}).Address()}
}

func resettingServer(t *testing.T) []string {
	return []string{testutil.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		c.(*net.TCPConn).SetLinger(0)
		return false
	}).Address()}
}

// endlessServer begins a response without a length, and never ends it.
func endlessServer(t *testing.T) []string {
	return []string{testutil.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhal")
		io.Copy(io.Discard, c)
		return false
	}).Address()}
}

func faultyServers(t *testing.T) (all []string) {
	for _, some := range []func(*testing.T) []string{silentServer, resettingServer, endlessServer} {
		all = append(all, some(t)...)
	}
	return append(all, testutil.ClosedPort(t), testutil.UnreachableAddress(t))
}

// Faults of servers, of discovery or of other clients leave no request without its final response: whatever its
// status, it is there half a second after the request's deadline at the latest.
func TestFaultsLeaveNoRequestWithoutAResponse(t *testing.T) {
	t.Parallel()
	none := func(*testing.T) []string { return nil }
	for _, c := range []faultCase{
		{name: "servers that refuse", servers: refusingServers},
		{name: "servers hung", servers: silentServer},
		{name: "servers that never accept", servers: unreachableServer},
		{name: "servers that reset", servers: resettingServer},
		{name: "answers without end", servers: endlessServer},
		{name: "an empty list", servers: none},
		{name: "discovery refuses", servers: none, discovery: "refused"},
		{name: "discovery is silent", servers: none, discovery: "silent"},
		{name: "no dial succeeds", servers: silentServer, dial: testutil.DialError("socket", syscall.EMFILE)},
		{name: "descriptors full", servers: silentServer, crowd: 100},
		{name: "discovery is silent, descriptors full", servers: none, discovery: "silent", crowd: 100},
		{name: "all at once", servers: faultyServers, discovery: "refused", crowd: 100},
		{
			name: "all at once, and no dial succeeds", servers: faultyServers, crowd: 100,
			dial: testutil.DialError("connect", syscall.ENETUNREACH),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.play(t)
		})
	}
}

func (c faultCase) play(t *testing.T) {
	n := c.startNode(t)
	stalled := watchStalls(t, 10*time.Millisecond)
	ended := make(chan error, 6)
	for i := range cap(ended) {
		good, answered := dial(t, n), make(chan struct{})
		go func() {
			ended <- checkResponse(good, fmt.Sprint("good-", i), stalled)
			close(answered)
		}()
		if c.crowd > 0 {
			untilRead(t, n, good, answered)
		}
	}
	for i := range c.crowd {
		bad := dial(t, n)
		io.WriteString(bad, []string{"", "GET /view/k HTTP/1.1\r\nX-"}[i%2])
	}
	for range cap(ended) {
		if err := testutil.Wait(t, ended, "a final answer"); err != nil {
			t.Error(err)
		}
	}
	if c.crowd > 0 { // new connections may be closed unread then
		testutil.Until(t, "an answer on a new connection", func() bool {
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

// untilRead waits until the node has read a client's request, or has answered it.
func untilRead(t *testing.T, n *Node, c *testutil.Client, answered <-chan struct{}) {
	t.Helper()
	testutil.Until(t, "the request to be read", func() bool {
		select {
		case <-answered:
			return true
		default:
		}
		return slices.ContainsFunc(n.frontend.conns.Status(), func(conn downstream.ConnStatus) bool {
			return conn.RemoteAddr.String() == c.LocalAddr().String() && conn.Phase == downstream.PhaseActive
		})
	})
}

var errLateResponse = errors.New("the final answer comes late")

// checkResponse sends one request, and returns what is wrong with its response.
func checkResponse(c *testutil.Client, id string, stalled func() time.Duration) error {
	begin, before := time.Now(), stalled()
	if id[len(id)-1]%2 == 0 {
		c.Send("POST", "/note/k", id, "", fmt.Sprint(faultDeadline.Seconds()))
	} else {
		c.Send("GET", "/view/k", id, "", fmt.Sprint(faultDeadline.Seconds()))
	}
	r, _, err := c.ReadResponse()
	if err != nil {
		return fmt.Errorf("%s: no answer: %w", id, err)
	}
	if took, held := time.Since(begin), stalled()-before; took > faultDeadline+responseSlack+held {
		return fmt.Errorf("%s: %w: %d after %v, with %v held up by the machine",
			id, errLateResponse, r.StatusCode, took, held)
	}
	return nil
}

// startNode starts a node with these faults.
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
	const startupWait = time.Second // discovery's default
	first := time.Duration(0)
	switch c.discovery {
	case "refused":
		cfg.Discovery = testutil.ClosedPort(t)
	case "silent":
		ag := testutil.NewRegistryAgent(t)
		ag.Set(true, "")
		cfg.Discovery, first = ag.Addr().String(), startupWait
	}
	n, _ := startNode(t, cfg, func(n *Node) {
		n.discovery.StartupWait = first
		if c.dial != nil {
			n.upstream.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, c.dial }
		}
	})
	return n
}
