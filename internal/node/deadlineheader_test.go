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

// minDelay is the minimum delay that sleepDelay causes. The deadline forwarded to a server must be shorter by the whole
// delay.
const minDelay = 400 * time.Millisecond

// sleepDelay sleeps for at least minDelay and returns how long. The node runs before and after it, so it must subtract
// at least this time. The tests are about the time that passes, so they need to sleep.
func sleepDelay() time.Duration {
	start := time.Now()
	time.Sleep(minDelay)
	return time.Since(start)
}

// fullValueConfig returns a configuration whose responses keep their value until the client's deadline, so that
// attempts get the time until then.
func fullValueConfig(servers ...*testutil.Server) Config {
	cfg := configWithServers(servers...)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LateValue = 1
	}
	return cfg
}

// checkForwardedDeadline checks the X-Deadline that a server received for a request with a deadline of 60 s, of which
// passed has elapsed.
func checkForwardedDeadline(t *testing.T, value string, passed time.Duration) {
	t.Helper()
	seconds, err := strconv.ParseFloat(value, 64)
	left := (time.Minute - passed).Seconds()
	if err != nil || seconds > left || seconds < left-testutil.Timeout.Seconds()+1 {
		t.Errorf("got X-Deadline %q at the server after a delay of %v, want at most %.3f", value, passed, left)
	}
}

// newDeadlineServer starts a server that reports the X-Deadline of each request on deadlines.
func newDeadlineServer(t *testing.T) (server *testutil.Server, deadlines chan string) {
	t.Helper()
	deadlines = make(chan string, 10)
	return testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		deadlines <- r.Header.Get("X-Deadline")
		return testutil.Echo(conn, r, body)
	}), deadlines
}

// The deadline of a request counts from its first byte, whichever part of the request is delayed.
func TestForwardedDeadlineCountsFromTheFirstByte(t *testing.T) {
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
			testutil.Until(t, "the first part of the request to be read", func() bool {
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

// The deadline of a pipelined request counts from its own first byte, even while the previous request is being served.
func TestForwardedDeadlineOfAPipelinedRequest(t *testing.T) {
	t.Parallel()
	release, deadlines := make(chan struct{}), make(chan string, 10)
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		deadlines <- r.Header.Get("X-Deadline")
		<-release
		return testutil.Echo(conn, r, body)
	})
	n, _ := startNode(t, fullValueConfig(server), nil)
	client := dial(t, n)
	client.SendGet("first")
	testutil.Wait(t, deadlines, "the first request")
	client.SendGet("behind")
	testutil.Until(t, "the pipelined request to be read", func() bool {
		return readAheadBytes(n) == len(testutil.RequestText("behind"))
	})
	passed := sleepDelay()
	close(release)
	checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the pipelined request"), passed)
	client.Expect(t, http.StatusOK, "for first")
	client.Expect(t, http.StatusOK, "for behind")
}

// The forwarded deadline is the time that is left when the request is written to the server.
func TestForwardedDeadlineIsTheTimeLeftAtTheWrite(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		test func(*testing.T)
	}{
		{"late connection", testDeadlineAfterALateConnection},
		{"delay just before the write", testDeadlineAfterADelayBeforeTheWrite},
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
	testutil.Wait(t, dials.Dialed, "the connection to the server")
	passed := sleepDelay()
	close(dials.Release)
	checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the request"), passed)
}

func testDeadlineAfterADelayBeforeTheWrite(t *testing.T) {
	server, deadlines := newDeadlineServer(t)
	peeks := newGate(2) // one by the reader of the connection, one by the check for unsolicited bytes
	n, _ := startNode(t, fullValueConfig(server), func(n *Node) {
		n.upstream.Dial = func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := net.Dial(network, address)
			if err != nil {
				return nil, err
			}
			return gatedConn{conn.(*net.TCPConn), gatedConnListener{reads: newGate(0), peeks: peeks}}, nil
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
	handle := func(conn net.Conn, r *http.Request, body string) bool {
		isFirst := firstAttempt.remaining.Load() > 0
		firstAttempt.pass()
		if isFirst {
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		deadlines <- r.Header.Get("X-Deadline")
		return testutil.Echo(conn, r, body)
	}
	n, _ := startNode(t, fullValueConfig(testutil.NewServer(t, handle), testutil.NewServer(t, handle)), nil)
	dial(t, n).SendGet("r")
	testutil.Wait(t, firstAttempt.arrived, "the first attempt")
	passed := sleepDelay()
	close(firstAttempt.release)
	checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the retry"), passed)
}
