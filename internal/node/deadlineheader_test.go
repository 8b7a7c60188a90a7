package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// delay is how long the tests below hold something up. The deadline that a server is given must be shorter by all of
// it.
const delay = 400 * time.Millisecond

// sleepDelay waits and returns for how long: no more than the node, which was running before and after, must subtract.
// Time that passes is what these tests are about, so they sleep.
func sleepDelay() time.Duration {
	begin := time.Now()
	time.Sleep(delay)
	return time.Since(begin)
}

// fullValueConfig has classes whose responses keep their value up to the client's deadline, so that a server is
// given the time until then.
func fullValueConfig(servers ...*testutil.Server) Config {
	cfg := configWithServers(servers...)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LateValue = 1
	}
	return cfg
}

// checkForwardedDeadline checks the X-Deadline of a request whose client waits 60 s, of which some have passed.
func checkForwardedDeadline(t *testing.T, value string, passed time.Duration) {
	t.Helper()
	seconds, err := strconv.ParseFloat(value, 64)
	left := (time.Minute - passed).Seconds()
	if err != nil || seconds > left || seconds < left-testutil.Timeout.Seconds()+1 {
		t.Errorf("the server received %q, %v after the client began; at most %.3f was left", value, passed, left)
	}
}

// newDeadlineServer reports the X-Deadline of each request.
func newDeadlineServer(t *testing.T) (server *testutil.Server, deadlines chan string) {
	t.Helper()
	deadlines = make(chan string, 10)
	return testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		deadlines <- r.Header.Get("X-Deadline")
		return testutil.Echo(c, r, body)
	}), deadlines
}

// The client's time runs from the first byte of its request, wherever the rest is delayed.
func TestForwardedDeadlineRunsFromTheFirstByte(t *testing.T) {
	t.Parallel()
	const post = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline: 60\r\n"
	get := testutil.RequestText("r")
	for _, c := range []struct{ name, first, rest string }{
		{"one byte", get[:1], get[1:]},
		{"part of the head", get[:40], get[40:]},
		{"the head", post + "Content-Length: 4\r\n\r\n", "body"},
		{"part of the body", post + "Content-Length: 4\r\n\r\nbo", "dy"},
		{"part of a chunk", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nb", "o\r\n0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, deadlines := newDeadlineServer(t)
			n, _ := startNode(t, fullValueConfig(server), nil)
			client := dial(t, n)
			io.WriteString(client, c.first)
			testutil.Until(t, "the first part to be read", func() bool {
				conns := n.frontend.conns.Status()
				return len(conns) == 1 && conns[0].RequestStarted
			})
			passed := sleepDelay()
			io.WriteString(client, c.rest)
			checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the request"), passed)
			client.Expect(t, http.StatusOK, "for r")
		})
	}
}

// The time of a pipelined request runs from its own first byte, while the request before it is still being served.
func TestForwardedDeadlineOfAPipelinedRequest(t *testing.T) {
	t.Parallel()
	release, deadlines := make(chan struct{}), make(chan string, 10)
	server := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		deadlines <- r.Header.Get("X-Deadline")
		<-release
		return testutil.Echo(c, r, body)
	})
	n, _ := startNode(t, fullValueConfig(server), nil)
	client := dial(t, n)
	client.SendGet("first")
	testutil.Wait(t, deadlines, "the first request")
	client.SendGet("behind")
	testutil.Until(t, "the one behind to be read", func() bool {
		return readAheadBytes(n) == len(testutil.RequestText("behind"))
	})
	passed := sleepDelay()
	close(release)
	checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the pipelined request"), passed)
	client.Expect(t, http.StatusOK, "for first")
	client.Expect(t, http.StatusOK, "for behind")
}

// The forwarded deadline is the time left when the request is written, however late that is.
func TestForwardedDeadlineIsTheTimeLeftAtTheWrite(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		test func(*testing.T)
	}{
		{"late connection", testDeadlineAfterALateConnection},
		{"held up just before the write", testDeadlineAfterADelayBeforeTheWrite},
		{"retry", testDeadlineOfARetry},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.test(t)
		})
	}
}

func testDeadlineAfterALateConnection(t *testing.T) {
	server, deadlines := newDeadlineServer(t)
	var dials testutil.HoldingDialer
	n, _ := startNode(t, fullValueConfig(server), func(n *Node) { dials = holdDials(n) })
	dial(t, n).SendGet("r")
	testutil.Wait(t, dials.Dialed, "the connection")
	passed := sleepDelay()
	close(dials.Release)
	checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the request"), passed)
}

func testDeadlineAfterADelayBeforeTheWrite(t *testing.T) {
	server, deadlines := newDeadlineServer(t)
	peeks := newGate(2) // by the connection's reader, and for what arrived before the request
	n, _ := startNode(t, fullValueConfig(server), func(n *Node) {
		n.upstream.Dial = func(_ context.Context, network, address string) (net.Conn, error) {
			nc, err := net.Dial(network, address)
			if err != nil {
				return nil, err
			}
			return gatedConn{nc.(*net.TCPConn), gatedConnListener{reads: newGate(0), peeks: peeks}}, nil
		}
	})
	dial(t, n).SendGet("r")
	for range 2 {
		testutil.Wait(t, peeks.arrived, "a peek")
	}
	passed := sleepDelay()
	close(peeks.release)
	checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the request"), passed)
}

func testDeadlineOfARetry(t *testing.T) {
	firstAttempt, deadlines := newGate(1), make(chan string, 10)
	handle := func(c net.Conn, r *http.Request, body string) bool {
		isFirst := firstAttempt.remaining.Load() > 0
		firstAttempt.pass()
		if isFirst {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		deadlines <- r.Header.Get("X-Deadline")
		return testutil.Echo(c, r, body)
	}
	n, _ := startNode(t, fullValueConfig(testutil.NewServer(t, handle), testutil.NewServer(t, handle)), nil)
	dial(t, n).SendGet("r")
	testutil.Wait(t, firstAttempt.arrived, "the first attempt")
	passed := sleepDelay()
	close(firstAttempt.release)
	checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the retry"), passed)
}
