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
)

// pause is how long the tests below hold something up. What a server is told must be less by all of it.
const pause = 400 * time.Millisecond

// held pauses and returns how long that was: no more than what the node, which was at work before and after,
// must count.
func held() time.Duration {
	begin := time.Now()
	time.Sleep(pause)
	return time.Since(begin)
}

// tellingConfig has classes whose answers are worth something up to the client's deadline, for a server is told
// of the time until then.
func tellingConfig(servers ...*fakeServer) Config {
	var entries []string
	for i, s := range servers {
		entries = append(entries, entry(fmt.Sprint("s", i), s.addr(), "in_service"))
	}
	cfg := testConfig(whole(entries...))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LateValue = 1
	}
	return cfg
}

// checkTold checks what X-Deadline said for a request whose client waits 60 s, of which some are over.
func checkTold(t *testing.T, value string, over time.Duration) {
	t.Helper()
	seconds, err := strconv.ParseFloat(value, 64)
	if most := (time.Minute - over).Seconds(); err != nil || seconds > most || seconds < most-limit.Seconds()+1 {
		t.Errorf("the server was told %q, %v after the client began; at most %.3f was left", value, over, most)
	}
}

// tellingServer passes on the X-Deadline of each request.
func tellingServer(t *testing.T) (s *fakeServer, told chan string) {
	told = make(chan string, 10)
	return newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		told <- r.Header.Get("X-Deadline")
		return echo(c, r, body)
	}), told
}

// The client's time runs from the first byte of its request, wherever the rest is late.
func TestToldTimeRunsFromTheFirstByte(t *testing.T) {
	const post = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline: 60\r\n"
	for _, pieces := range [][2]string{
		{"G", requestText("r")[1:]},
		{requestText("r")[:40], requestText("r")[40:]},
		{post + "Content-Length: 4\r\n\r\n", "body"},
		{post + "Content-Length: 4\r\n\r\nbo", "dy"},
		{post + "Transfer-Encoding: chunked\r\n\r\n2\r\nb", "o\r\n0\r\n\r\n"},
	} {
		t.Run(fmt.Sprintf("%.60q", pieces[0]), func(t *testing.T) {
			t.Parallel()
			s, told := tellingServer(t)
			n, _ := startNode(t, tellingConfig(s), nil)
			c := dial(t, n)
			io.WriteString(c, pieces[0])
			until(t, "the first piece to be read", func() bool {
				n.frontend.conns.mu.Lock()
				defer n.frontend.conns.mu.Unlock()
				for c := range n.frontend.conns.conns {
					return c.hasRequestBytes()
				}
				return false
			})
			over := held()
			io.WriteString(c, pieces[1])
			checkTold(t, wait(t, told, "the request"), over)
			c.want(t, 200, "for r")
		})
	}
}

// That of a request behind another one runs from its own first byte, while the other is still served.
func TestToldTimeOfARequestBehindAnother(t *testing.T) {
	hold, told := make(chan struct{}), make(chan string, 10)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		told <- r.Header.Get("X-Deadline")
		<-hold
		return echo(c, r, body)
	})
	n, _ := startNode(t, tellingConfig(s), nil)
	c := dial(t, n)
	c.get("first")
	wait(t, told, "the first request")
	c.get("behind")
	until(t, "the one behind to be read", func() bool { return readAhead(n) == len(requestText("behind")) })
	over := held()
	close(hold)
	checkTold(t, wait(t, told, "the one behind"), over)
	c.want(t, 200, "for first")
	c.want(t, 200, "for behind")
}

// What is told is what is left as the request is written, however late that is.
func TestToldTimeIsWhatIsLeftAtTheWrite(t *testing.T) {
	t.Run("late connection", func(t *testing.T) {
		t.Parallel()
		s, told := tellingServer(t)
		var dials heldDial
		n, _ := startNode(t, tellingConfig(s),
			func(n *Node) { dials = holdDials(n.upstream) })
		dial(t, n).get("r")
		wait(t, dials.up, "the connection")
		over := held()
		close(dials.through)
		checkTold(t, wait(t, told, "the request"), over)
	})
	t.Run("held up just before the write", func(t *testing.T) {
		t.Parallel()
		s, told := tellingServer(t)
		looks := newGate(2) // of the connection's reader, and for what came before the request
		n, _ := startNode(t, tellingConfig(s), func(n *Node) {
			n.upstream.dial = func(_ context.Context, network, address string) (net.Conn, error) {
				nc, err := net.Dial(network, address)
				if err != nil {
					return nil, err
				}
				return gatedConn{nc.(*net.TCPConn), gatedConns{reads: newGate(0), looks: looks}}, nil
			}
		})
		dial(t, n).get("r")
		for range 2 {
			wait(t, looks.at, "a look")
		}
		over := held()
		close(looks.through)
		checkTold(t, wait(t, told, "the request"), over)
	})
	t.Run("retry", func(t *testing.T) {
		t.Parallel()
		turn, told := newGate(1), make(chan string, 10)
		answer := func(c net.Conn, r *http.Request, body string) bool {
			first := turn.first.Load() > 0
			turn.pass()
			if first {
				io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			told <- r.Header.Get("X-Deadline")
			return echo(c, r, body)
		}
		one, two := newServer(t, answer), newServer(t, answer)
		n, _ := startNode(t, tellingConfig(one, two), nil)
		dial(t, n).get("r")
		wait(t, turn.at, "the first attempt")
		over := held()
		close(turn.through)
		checkTold(t, wait(t, told, "the retry"), over)
	})
}

// A wait is never rounded up, and one that is over is not told.
func TestWaitsAreNotRoundedUp(t *testing.T) {
	for _, wait := range []time.Duration{
		time.Millisecond, 1999 * time.Microsecond, 480 * time.Millisecond,
		999999 * time.Microsecond, time.Second, 9999999999, 99999999999, 12345678901, maxDeadline,
	} {
		value := []byte(strings.Repeat("0", deadlineValueWidth))
		if !writeDeadlineValue(value, wait) {
			t.Errorf("%v is not told", wait)
		}
		seconds, err := strconv.ParseFloat(string(value), 64)
		if short := wait.Seconds() - seconds; err != nil || short < 0 || short > 0.0010001 {
			t.Errorf("%v is told as %q", wait, value)
		}
	}
	b := testBackend(1)
	for _, left := range []time.Duration{-time.Second, 0, minRemainingTime / 2} {
		a := testAttempt(b, "127.0.0.1:1")
		a.deadline = b.clock.now() + left
		if wait := b.remainingTime(a); wait != 0 || writeDeadlineValue(nil, wait) {
			t.Errorf("with %v left, a server is told %v", left, wait)
		}
	}
}
