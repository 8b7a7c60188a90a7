package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// holdUpTime is how long the tests below delay something. The deadline that a server is given must be shorter by
// all of it.
const holdUpTime = 400 * time.Millisecond

// holdUp waits and returns for how long: no more than the node, which was running before and after, must subtract.
func holdUp() time.Duration {
	begin := time.Now()
	time.Sleep(holdUpTime)
	return time.Since(begin)
}

// fullValueConfig has classes whose responses keep their value up to the client's deadline, so that a server is
// given the time until then.
func fullValueConfig(servers ...*testutil.Server) Config {
	var entries []string
	for i, s := range servers {
		entries = append(entries, testutil.ListEntry(fmt.Sprint("s", i), s.Address(), "in_service"))
	}
	cfg := testConfig(testutil.CompleteList(entries...))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LateValue = 1
	}
	return cfg
}

// checkForwardedDeadline checks the X-Deadline of a request whose client waits 60 s, of which some have passed.
func checkForwardedDeadline(t *testing.T, value string, over time.Duration) {
	t.Helper()
	seconds, err := strconv.ParseFloat(value, 64)
	if most := (time.Minute - over).Seconds(); err != nil || seconds > most || seconds < most-testutil.Limit.Seconds()+1 {
		t.Errorf("the server got %q, %v after the client began; at most %.3f was left", value, over, most)
	}
}

// newDeadlineServer reports the X-Deadline of each request.
func newDeadlineServer(t *testing.T) (s *testutil.Server, deadlines chan string) {
	deadlines = make(chan string, 10)
	return testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		deadlines <- r.Header.Get("X-Deadline")
		return testutil.Echo(c, r, body)
	}), deadlines
}

// The client's time runs from the first byte of its request, wherever the rest is delayed.
func TestForwardedDeadlineRunsFromTheFirstByte(t *testing.T) {
	const post = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline: 60\r\n"
	for _, pieces := range [][2]string{
		{"G", testutil.RequestText("r")[1:]},
		{testutil.RequestText("r")[:40], testutil.RequestText("r")[40:]},
		{post + "Content-Length: 4\r\n\r\n", "body"},
		{post + "Content-Length: 4\r\n\r\nbo", "dy"},
		{post + "Transfer-Encoding: chunked\r\n\r\n2\r\nb", "o\r\n0\r\n\r\n"},
	} {
		t.Run(fmt.Sprintf("%.60q", pieces[0]), func(t *testing.T) {
			t.Parallel()
			s, deadlines := newDeadlineServer(t)
			n, _ := startNode(t, fullValueConfig(s), nil)
			c := dial(t, n)
			io.WriteString(c, pieces[0])
			testutil.Until(t, "the first piece to be read", func() bool {
				conns := n.frontend.conns.Status()
				return len(conns) == 1 && conns[0].RequestBegun
			})
			over := holdUp()
			io.WriteString(c, pieces[1])
			checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the request"), over)
			c.Expect(t, 200, "for r")
		})
	}
}

// The time of a pipelined request runs from its own first byte, while the request before it is still being served.
func TestForwardedDeadlineOfAPipelinedRequest(t *testing.T) {
	hold, deadlines := make(chan struct{}), make(chan string, 10)
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		deadlines <- r.Header.Get("X-Deadline")
		<-hold
		return testutil.Echo(c, r, body)
	})
	n, _ := startNode(t, fullValueConfig(s), nil)
	c := dial(t, n)
	c.Get("first")
	testutil.Wait(t, deadlines, "the first request")
	c.Get("behind")
	testutil.Until(t, "the one behind to be read", func() bool { return readAheadBytes(n) == len(testutil.RequestText("behind")) })
	over := holdUp()
	close(hold)
	checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the pipelined request"), over)
	c.Expect(t, 200, "for first")
	c.Expect(t, 200, "for behind")
}

// The forwarded deadline is the time left when the request is written, however late that is.
func TestForwardedDeadlineIsTheTimeLeftAtTheWrite(t *testing.T) {
	t.Run("late connection", func(t *testing.T) {
		t.Parallel()
		s, deadlines := newDeadlineServer(t)
		var dials heldDials
		n, _ := startNode(t, fullValueConfig(s),
			func(n *Node) { dials = holdDials(n.upstream) })
		dial(t, n).Get("r")
		testutil.Wait(t, dials.dialed, "the connection")
		over := holdUp()
		close(dials.release)
		checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the request"), over)
	})
	t.Run("held up just before the write", func(t *testing.T) {
		t.Parallel()
		s, deadlines := newDeadlineServer(t)
		looks := newGate(2) // of the connection's reader, and for what came before the request
		n, _ := startNode(t, fullValueConfig(s), func(n *Node) {
			n.upstream.dial = func(_ context.Context, network, address string) (net.Conn, error) {
				nc, err := net.Dial(network, address)
				if err != nil {
					return nil, err
				}
				return gatedConn{nc.(*net.TCPConn), gatedConns{reads: newGate(0), peeks: looks}}, nil
			}
		})
		dial(t, n).Get("r")
		for range 2 {
			testutil.Wait(t, looks.arrived, "a look")
		}
		over := holdUp()
		close(looks.release)
		checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the request"), over)
	})
	t.Run("retry", func(t *testing.T) {
		t.Parallel()
		turn, deadlines := newGate(1), make(chan string, 10)
		answer := func(c net.Conn, r *http.Request, body string) bool {
			first := turn.first.Load() > 0
			turn.pass()
			if first {
				io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			deadlines <- r.Header.Get("X-Deadline")
			return testutil.Echo(c, r, body)
		}
		one, two := testutil.NewServer(t, answer), testutil.NewServer(t, answer)
		n, _ := startNode(t, fullValueConfig(one, two), nil)
		dial(t, n).Get("r")
		testutil.Wait(t, turn.arrived, "the first attempt")
		over := holdUp()
		close(turn.release)
		checkForwardedDeadline(t, testutil.Wait(t, deadlines, "the retry"), over)
	})
}

// A forwarded deadline is never rounded up, and one that has passed is not forwarded.
func TestForwardedDeadlineIsNotRoundedUp(t *testing.T) {
	for _, wait := range []time.Duration{
		time.Millisecond, 1999 * time.Microsecond, 480 * time.Millisecond,
		999999 * time.Microsecond, time.Second, 9999999999, 99999999999, 12345678901, maxDeadline,
	} {
		value := []byte(strings.Repeat("0", deadlineValueWidth))
		if !writeDeadlineValue(value, wait) {
			t.Errorf("%v is not forwarded", wait)
		}
		seconds, err := strconv.ParseFloat(string(value), 64)
		if short := wait.Seconds() - seconds; err != nil || short < 0 || short > 0.0010001 {
			t.Errorf("%v is forwarded as %q", wait, value)
		}
	}
	b := testPool(1)
	for _, left := range []time.Duration{-time.Second, 0, minRemainingTime / 2} {
		a := testAttempt(t, b, "127.0.0.1:1")
		a.deadline = b.clock.Now() + left
		if wait := b.remainingTime(a); wait != 0 || writeDeadlineValue(nil, wait) {
			t.Errorf("with %v left, %v is forwarded", left, wait)
		}
	}
}
