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

// halfCloseCase is a client that closes its side of the connection after it has sent some requests.
type halfCloseCase struct {
	name, text, then string // what the client sends, and what the server does
	where            string
	want             []int // the responses' status codes, interim ones included
	seen             int   // requests that begin at the server
}

var halfCloseCases = []halfCloseCase{
	{"in flight", testutil.RequestText("r"), "200", "begun", []int{102, 200}, 1},
	{
		"in flight, and one sent ahead",
		testutil.RequestText("r") + testutil.RequestText("next"), "200", "begun",
		[]int{102, 200, 503},
		1,
	},
	{"in flight, and fails", testutil.RequestText("r"), "500", "begun", []int{102, 502}, 1},
	{"in flight, and breaks", testutil.RequestText("r"), "reset", "begun", []int{102, 502}, 1},
	{"in flight, and did not run", testutil.RequestText("r"), "503", "begun", []int{102, 503}, 1},
	{
		"in flight for HTTP/1.0",
		strings.Replace(testutil.RequestText("r"), "HTTP/1.1", "HTTP/1.0", 1), "200", "begun",
		[]int{200},
		1,
	},
	{"in flight, with an expected body", "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline: 60\r\n" +
		"Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", "200", "begun", []int{100, 102, 200}, 1},
	{"held", testutil.RequestText("r"), "", "held", []int{503}, 0},
	{
		"held, and one sent ahead",
		testutil.RequestText("r") + testutil.RequestText("next"), "", "held",
		[]int{503, 503},
		0,
	},
	{"its connection comes up", testutil.RequestText("r"), "", "dial", []int{503}, 0},
	{"in flight at the node's end", testutil.RequestText("r"), "", "shutdown deadline", []int{102, 502}, 1},
}

// A client that only stops sending still reads: it gets the response of the attempt that has begun, be it the only
// one and a failure, or a rejection at once if none has begun, and so does what it pipelined.
func TestHalfClosedClientGetsItsResponse(t *testing.T) {
	t.Parallel()
	for _, c := range halfCloseCases {
		for _, mayCancel := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, " ", mayCancel), func(t *testing.T) {
				t.Parallel()
				c.play(t, mayCancel)
			})
		}
	}
}

func (c halfCloseCase) play(t *testing.T, mayCancel bool) {
	got, answer := make(chan struct{}, 10), make(chan struct{})
	s := testutil.NewServer(t, func(nc net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-answer
		return c.serve(nc, r, body)
	})
	state := "in_service"
	if c.where == "held" {
		state = "terminating"
	}
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), state)))
	cfg.Settings.AllowCancel = mayCancel
	var dials testutil.HoldingDialer
	n, _ := startNode(t, cfg, func(n *Node) {
		if c.where == "dial" {
			dials = holdDials(n)
		}
	})
	half := dial(t, n)
	io.WriteString(half, c.text)
	switch c.where {
	case "held":
		untilActive(t, n, 1)
	case "dial":
		testutil.Wait(t, dials.Dialed, "the connection")
	default:
		testutil.Wait(t, got, "the attempt")
	}
	half.Conn.(*net.TCPConn).CloseWrite()
	if c.want[0] == 200 { // no interim response before
		untilHalfClosed(t, n)
		close(answer)
	}
	c.checkResponses(t, n, half, answer)
	testutil.ExpectClosed(t, half.Reader, "the connection after the last response")
	switch c.where {
	case "dial":
		close(dials.Release)
	case "shutdown deadline": // nothing is forwarded any more
		close(answer)
		return
	}
	if s.RequestCount() != c.seen {
		t.Errorf("%d requests began, want %d", s.RequestCount(), c.seen)
	}
}

// serve answers a request as the case has it.
func (c halfCloseCase) serve(nc net.Conn, r *http.Request, body string) bool {
	switch c.then {
	case "200":
		return testutil.Echo(nc, r, body)
	case "reset":
		nc.(*net.TCPConn).SetLinger(0)
		return false
	}
	_, err := fmt.Fprintf(nc, "HTTP/1.1 %s X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", c.then)
	return err == nil
}

// untilHalfClosed waits until the node has noticed that its only client has closed its side.
func untilHalfClosed(t *testing.T, n *Node) {
	t.Helper()
	testutil.Until(t, "the close to be seen", func() bool {
		conns := n.frontend.conns.Status()
		return len(conns) == 1 && conns[0].Departure == downstream.HalfClosed
	})
}

// checkResponses reads the responses; at the interim one it has the server answer, or the shutdown deadline pass.
func (c halfCloseCase) checkResponses(t *testing.T, n *Node, half *testutil.Client, answer chan struct{}) {
	t.Helper()
	for i, status := range c.want {
		r, body := half.Response(t)
		if r.StatusCode != status || status == 200 && body != "for r" {
			t.Errorf("response %d: got %d %q, want %d", i, r.StatusCode, body, status)
		}
		if status == 503 && r.Header.Get("Retry-After") == "" {
			t.Errorf("response %d: no Retry-After", i)
		}
		if status != 102 {
			continue
		}
		if c.where == "shutdown deadline" {
			n.loop.post(shutdownDeadline{})
		} else {
			close(answer)
		}
	}
}
