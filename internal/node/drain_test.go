package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// However short the deadlines are, a draining node accepts for as long as new connections come, serves, sends its
// last responses and ends, in this order and before it would be killed.
func TestDrainScheduleFitsTheDeadlines(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{20, 50, 100, 150, 200, 300, 500, 900, 1500, 3000, 6000, 60000} {
		for _, part := range []time.Duration{100, 10, 2, 1} {
			cfg := testConfig("")
			for i := range cfg.Settings.Classes {
				cfg.Settings.Classes[i].Deadline = deadline * time.Millisecond / time.Duration(i+1)
				cfg.Settings.Classes[i].LatencyObjective = max(1, cfg.Settings.Classes[i].Deadline/part)
			}
			e, most := newDrainSchedule(cfg), drainLimit(cfg)
			kill := min(deadline*time.Millisecond, 3*time.Second) + 700*time.Millisecond
			inOrder := e.stopAccepting <= e.closeConns && e.closeConns < e.answerAll &&
				e.answerAll < most && most < kill
			if e.stopAccepting <= 400*time.Millisecond || !inOrder {
				t.Errorf("deadline %v, objective 1/%d: %+v, all over at %v, killed at %v",
					deadline*time.Millisecond, part, e, most, kill)
			}
		}
	}
}

// gatedListener accepts no connection until it is opened: what comes waits in the kernel's queue.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
	shut chan struct{} // gets one when a deadline is set
}

func (l gatedListener) SetDeadline(at time.Time) error {
	err := l.TCPListener.SetDeadline(at)
	select {
	case l.shut <- struct{}{}:
	default:
	}
	return err
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// Requests that wait complete in the listener's queue when accepting stops are accepted and served.
func TestQueuedConnectionsAreAcceptedBeforeTheListenerCloses(t *testing.T) {
	t.Parallel()
	s := testutil.NewServer(t, testutil.Echo)
	gate, shut := make(chan struct{}), make(chan struct{}, 1)
	n, stop := startNode(t, configWithServers(s), func(n *Node) {
		n.drainSchedule = drainSchedule{closeConns: time.Millisecond, answerAll: testutil.Timeout}
		n.drainLimit = 2 * testutil.Timeout
		n.listener = gatedListener{n.listener.(*net.TCPListener), gate, shut}
	})
	var queued []*testutil.Client
	for i := range 5 {
		c := dial(t, n)
		c.SendGet(fmt.Sprint("queued-", i))
		queued = append(queued, c)
	}
	end := make(chan error, 1)
	go func() { end <- stop() }()
	testutil.Wait(t, shut, "the listener being shut")
	close(gate)
	for i, c := range queued {
		c.Expect(t, 200, fmt.Sprint("for queued-", i))
	}
	if err := testutil.Wait(t, end, "the node's end"); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", n.Addr()); err == nil {
		c.Close()
		t.Error("still listening")
	}
}

// At the shutdown deadline each request gets the response that its class and the state of its attempts allow, and
// so does one that comes after it; Retry-After is sent only where clients accept it.
func TestShutdownDeadlineAnswersByClass(t *testing.T) {
	t.Parallel()
	for _, advice := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprint("Retry-After up to ", advice), func(t *testing.T) {
			got := make(chan struct{}, 10)
			s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
				got <- struct{}{}
				c.Read(make([]byte, 1)) // until the node closes
				return false
			})
			cfg := configWithServers(s)
			cfg.Settings.MaxRetryAfter = advice
			n, stop := startNode(t, cfg, func(n *Node) {
				n.drainSchedule = drainSchedule{answerAll: testutil.Timeout}
				n.drainLimit = 2 * testutil.Timeout
			})
			unsafe, safe, after := dial(t, n), dial(t, n), dial(t, n)
			unsafe.Send("POST", "/note/k", "unsafe", "x", "60")
			testutil.Wait(t, got, "the unsafe attempt")
			safe.SendGet("safe")
			testutil.Wait(t, got, "the safe attempt")
			n.loop.post(listReceived{listOf(t, true)})
			held := dial(t, n)
			held.Send("POST", "/note/k", "held", "x", "60")
			untilActive(t, n, 3)
			after.SendGet("before") // its response keeps the order: the queued one is with the module by then
			untilActive(t, n, 4)
			n.loop.post(shutdownDeadline{})
			for _, c := range []struct {
				name   string
				from   *testutil.Client
				status int
			}{
				{"unsafe and in flight", unsafe, 502},
				{"safe and in flight", safe, 503},
				{"held", held, 503},
				{"held and safe", after, 503},
			} {
				r, _ := c.from.Response(t)
				if r.StatusCode != c.status || (r.Header.Get("Retry-After") != "") != (advice > 0 && c.status == 503) {
					t.Errorf("%s: got %d, Retry-After %q", c.name, r.StatusCode, r.Header.Get("Retry-After"))
				}
			}
			after.Send("POST", "/note/k", "after", "x", "60")
			after.Expect(t, 503, "")
			if err := stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// A draining node is not ready, still accepts and serves for a while, then closes idle connections, and answers
// what is in flight before it ends.
func TestGracefulShutdownAnswersAllAcceptedRequests(t *testing.T) {
	t.Parallel()
	s, got, release := testutil.NewHoldingServer(t, "held")
	n, stop := startNode(t, configWithServers(s), func(n *Node) {
		n.drainSchedule = drainSchedule{
			stopAccepting: time.Second, closeConns: 2 * time.Second, answerAll: testutil.Timeout,
		}
		n.drainLimit = 2 * testutil.Timeout
	})
	idle, held, mute := dial(t, n), dial(t, n), dial(t, n)
	idle.SendGet("before")
	idle.Expect(t, 200, "for before")
	untilIdle(t, n)
	held.SendGet("held")
	testutil.Wait(t, got, "the attempt")
	end := make(chan error, 1)
	go func() { end <- stop() }()
	testutil.Until(t, "it to drain", n.frontend.drain.started.Load)
	for _, moved := range []string{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:2"} { // SIGHUP while it ends
		cfg := n.cfg
		cfg.Discovery = moved
		n.Reload(cfg)
	}
	idle.SendGet("during") // whoever has a connection is served on it for a while
	idle.Expect(t, 200, "for during")
	probe := dial(t, n)
	fmt.Fprint(probe, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	probe.Expect(t, 503, "")
	late := dial(t, n) // new connections still come for a while
	late.SendGet("late")
	r, body := late.Response(t)
	if r.StatusCode != 200 || body != "for late" {
		t.Errorf("late: %d %q", r.StatusCode, body)
	}
	testutil.ExpectClosed(t, idle.Reader, "an idle connection at the end")
	release()
	if r, body := held.Response(t); r.StatusCode != 200 || body != "for held" || !r.Close {
		t.Errorf("held: %d %q, close %v", r.StatusCode, body, r.Close)
	}
	testutil.ExpectClosed(t, mute.Reader, "a connection that never sent a request")
	if err := testutil.Wait(t, end, "the node's end"); err != nil {
		t.Error(err)
	}
}

// What no server answers before the node would be killed gets a final response all the same.
func TestGracefulShutdownAnswersWhatIsInFlight(t *testing.T) {
	t.Parallel()
	got := make(chan struct{}, 1)
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		io.Copy(io.Discard, c) // never answers
		return false
	})
	n, stop := startNode(t, configWithServers(s), func(n *Node) {
		n.drainSchedule = drainSchedule{answerAll: 500 * time.Millisecond}
		n.drainLimit = testutil.Timeout
	})
	c := dial(t, n)
	c.Send("POST", "/note/k", "held", "x", "60")
	testutil.Wait(t, got, "the attempt")
	end := make(chan error, 1)
	go func() { end <- stop() }()
	c.Expect(t, http.StatusBadGateway, "")
	if err := testutil.Wait(t, end, "the node's end"); err != nil {
		t.Error(err)
	}
}
