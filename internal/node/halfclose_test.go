package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"basaltdrum/internal/downstream"
	"basaltdrum/internal/testutil"
)

// halfCloseCase is a client that half-closes its connection after it has sent some requests.
type halfCloseCase struct {
	name, text, serverAction string // the client sends text; serverAction is a status or "reset"
	stage                    string // at which the client half-closes its connection
	wantStatuses             []int  // status codes of the responses, including interim ones
	wantReceived             int    // number of requests that reach the server
}

var halfCloseCases = []halfCloseCase{
	{"in flight", testutil.RequestText("r"), "200", "in flight", []int{102, 200}, 1},
	{
		"in flight, and one pipelined",
		testutil.RequestText("r") + testutil.RequestText("next"), "200", "in flight",
		[]int{102, 200, 503},
		1,
	},
	{"in flight, and fails", testutil.RequestText("r"), "500", "in flight", []int{102, 502}, 1},
	{"in flight, and breaks", testutil.RequestText("r"), "reset", "in flight", []int{102, 502}, 1},
	{"in flight, and did not run", testutil.RequestText("r"), "503", "in flight", []int{102, 503}, 1},
	{
		"in flight for HTTP/1.0",
		strings.Replace(testutil.RequestText("r"), "HTTP/1.1", "HTTP/1.0", 1), "200", "in flight",
		[]int{200},
		1,
	},
	{"in flight, with an expected body", "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline: 60\r\n" +
		"Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", "200", "in flight", []int{100, 102, 200}, 1},
	{"held", testutil.RequestText("r"), "", "held", []int{503}, 0},
	{
		"held, and one pipelined",
		testutil.RequestText("r") + testutil.RequestText("next"), "", "held",
		[]int{503, 503},
		0,
	},
	{"its connection is established", testutil.RequestText("r"), "", "dial", []int{503}, 0},
	{"in flight at the shutdown deadline", testutil.RequestText("r"), "", "shutdown deadline", []int{102, 502}, 1},
}

// A client that has half-closed its connection may still read. It gets the response of the attempt that was written to
// the server, even if that is a failure. If none was written, its request is rejected at once. Requests that it has
// pipelined are rejected.
func TestHalfClosedClientGetsItsResponse(t *testing.T) {
	t.Parallel()
	for _, c := range halfCloseCases {
		for _, mayCancel := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, " ", mayCancel), func(t *testing.T) {
				t.Parallel()
				c.run(t, mayCancel)
			})
		}
	}
}

func (c halfCloseCase) run(t *testing.T, mayCancel bool) {
	received, respond := make(chan struct{}, 10), make(chan struct{})
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		received <- struct{}{}
		<-respond
		return c.serve(conn, r, body)
	})
	state := "in_service"
	if c.stage == "held" {
		state = "terminating"
	}
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", server.Address(), state)))
	cfg.Settings.AllowCancel = mayCancel
	var dials testutil.HoldingDialer
	n, _ := startNode(t, cfg, func(n *Node) {
		if c.stage == "dial" {
			dials = holdDials(n)
		}
	})
	half := dial(t, n)
	io.WriteString(half, c.text)
	switch c.stage {
	case "held":
		untilActive(t, n, 1)
	case "dial":
		testutil.Wait(t, dials.Dialed, "the connection")
	default:
		testutil.Wait(t, received, "the attempt")
	}
	half.Conn.(*net.TCPConn).CloseWrite()
	if c.wantStatuses[0] == 200 { // no interim response comes first
		untilHalfClosed(t, n)
		close(respond)
	}
	c.checkResponses(t, n, half, respond)
	testutil.ExpectClosed(t, half.Reader, "the connection after the last response")
	switch c.stage {
	case "dial":
		close(dials.Release)
	case "shutdown deadline": // the server cannot respond any more
		close(respond)
		return
	}
	if server.RequestCount() != c.wantReceived {
		t.Errorf("got %d requests at the server, want %d", server.RequestCount(), c.wantReceived)
	}
}

// serve answers a request as serverAction says: with a status, or by a reset.
func (c halfCloseCase) serve(conn net.Conn, r *http.Request, body string) bool {
	switch c.serverAction {
	case "200":
		return testutil.Echo(conn, r, body)
	case "reset":
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", c.serverAction)
	return err == nil
}

// untilHalfClosed waits until the node has noticed that its only client has half-closed the connection.
func untilHalfClosed(t *testing.T, n *Node) {
	t.Helper()
	testutil.Until(t, "the half-close to be noticed", func() bool {
		conns := n.frontend.conns.Status()
		return len(conns) == 1 && conns[0].Departure == downstream.HalfClosed
	})
}

// checkResponses reads and checks the responses. After the interim response, it makes the server respond or posts the
// shutdown deadline.
func (c halfCloseCase) checkResponses(t *testing.T, n *Node, half *testutil.Client, respond chan struct{}) {
	t.Helper()
	for i, status := range c.wantStatuses {
		response, body := half.Response(t)
		if response.StatusCode != status || status == 200 && body != "for r" {
			t.Errorf("response %d: got %d %q, want status %d", i, response.StatusCode, body, status)
		}
		if status == 503 && response.Header.Get("Retry-After") == "" {
			t.Errorf("response %d: got no Retry-After, want one", i)
		}
		if status != 102 {
			continue
		}
		if c.stage == "shutdown deadline" {
			n.loop.post(shutdownDeadline{})
		} else {
			close(respond)
		}
	}
}
