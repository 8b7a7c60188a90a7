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

// With any deadlines, a draining node accepts connections for as long as new ones arrive, closes its connections, sends
// the final responses and stops, in this order and before it is killed.
func TestDrainScheduleFitsTheDeadlines(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{20, 50, 100, 150, 200, 300, 500, 900, 1500, 3000, 6000, 60000} {
		for _, part := range []time.Duration{100, 10, 2, 1} {
			cfg := testConfig("")
			for i := range cfg.Settings.Classes {
				cfg.Settings.Classes[i].Deadline = deadline * time.Millisecond / time.Duration(i+1)
				cfg.Settings.Classes[i].LatencyObjective = max(1, cfg.Settings.Classes[i].Deadline/part)
			}
			schedule, limit := newDrainSchedule(cfg), drainLimit(cfg)
			kill := min(deadline*time.Millisecond, 3*time.Second) + 700*time.Millisecond
			inOrder := schedule.stopAccepting <= schedule.closeConns && schedule.closeConns < schedule.answerAll &&
				schedule.answerAll < limit && limit < kill
			if schedule.stopAccepting <= 400*time.Millisecond || !inOrder {
				t.Errorf("deadline %v, objective 1/%d: got schedule %+v, limit %v, kill at %v; want them in order",
					deadline*time.Millisecond, part, schedule, limit, kill)
			}
		}
	}
}

// gatedListener accepts no connection until gate is closed. New connections wait in the accept queue of the kernel.
type gatedListener struct {
	*net.TCPListener
	gate        chan struct{}
	deadlineSet chan struct{} // receives a value when a deadline is set
}

func (l gatedListener) SetDeadline(at time.Time) error {
	err := l.TCPListener.SetDeadline(at)
	select {
	case l.deadlineSet <- struct{}{}:
	default:
	}
	return err
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// Complete requests that are in the accept queue when the node stops accepting are accepted and served.
func TestQueuedConnectionsAreServedBeforeTheListenerCloses(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	gate, deadlineSet := make(chan struct{}), make(chan struct{}, 1)
	n, stop := startNode(t, configWithServers(server), func(n *Node) {
		n.drainSchedule = drainSchedule{closeConns: time.Millisecond, answerAll: testutil.Timeout}
		n.drainLimit = 2 * testutil.Timeout
		n.listener = gatedListener{n.listener.(*net.TCPListener), gate, deadlineSet}
	})
	var queued []*testutil.Client
	for i := range 5 {
		client := dial(t, n)
		client.SendGet(fmt.Sprint("queued-", i))
		queued = append(queued, client)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	testutil.Wait(t, deadlineSet, "the deadline of the listener")
	close(gate)
	for i, client := range queued {
		client.Expect(t, 200, fmt.Sprint("for queued-", i))
	}
	if err := testutil.Wait(t, stopped, "the end of Run"); err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", n.Addr()); err == nil {
		conn.Close()
		t.Error("got a connection after the node has stopped, want none")
	}
}

// At the shutdown deadline and after it, each request gets the response that its class and the state of its attempts
// allow. Retry-After is sent only if clients accept it.
func TestShutdownDeadlineResponsesDependOnClass(t *testing.T) {
	t.Parallel()
	for _, maxWait := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprint("Retry-After up to ", maxWait), func(t *testing.T) {
			received := make(chan struct{}, 10)
			server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
				received <- struct{}{}
				conn.Read(make([]byte, 1)) // returns when the node closes the connection
				return false
			})
			cfg := configWithServers(server)
			cfg.Settings.MaxRetryAfter = maxWait
			n, stop := startNode(t, cfg, func(n *Node) {
				n.drainSchedule = drainSchedule{answerAll: testutil.Timeout}
				n.drainLimit = 2 * testutil.Timeout
			})
			nonIdempotent, idempotent, after := dial(t, n), dial(t, n), dial(t, n)
			nonIdempotent.Send("POST", "/note/k", "unsafe", "x", "60")
			testutil.Wait(t, received, "the non-idempotent attempt")
			idempotent.SendGet("safe")
			testutil.Wait(t, received, "the idempotent attempt")
			n.loop.post(listReceived{listOf(t, true)})
			held := dial(t, n)
			held.Send("POST", "/note/k", "held", "x", "60")
			untilActive(t, n, 3)
			after.SendGet("before") // its response shows that the module has the queued request
			untilActive(t, n, 4)
			n.loop.post(shutdownDeadline{})
			for _, c := range []struct {
				name   string
				from   *testutil.Client
				status int
			}{
				{"non-idempotent and in flight", nonIdempotent, 502},
				{"idempotent and in flight", idempotent, 503},
				{"held", held, 503},
				{"held and idempotent", after, 503},
			} {
				r, _ := c.from.Response(t)
				if r.StatusCode != c.status || (r.Header.Get("Retry-After") != "") != (maxWait > 0 && c.status == 503) {
					t.Errorf("%s: got %d, Retry-After %q; want %d, and Retry-After only with 503 and a maximum above 0",
						c.name, r.StatusCode, r.Header.Get("Retry-After"), c.status)
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

// A draining node reports that it is not ready, accepts and serves for a while, then closes idle connections, and
// answers the requests in flight before it stops.
func TestGracefulShutdownAnswersAllAcceptedRequests(t *testing.T) {
	t.Parallel()
	server, received, release := testutil.NewHoldingServer(t, "held")
	n, stop := startNode(t, configWithServers(server), func(n *Node) {
		n.drainSchedule = drainSchedule{
			stopAccepting: time.Second, closeConns: 2 * time.Second, answerAll: testutil.Timeout,
		}
		n.drainLimit = 2 * testutil.Timeout
	})
	idle, held, unused := dial(t, n), dial(t, n), dial(t, n)
	idle.SendGet("before")
	idle.Expect(t, 200, "for before")
	untilIdle(t, n)
	held.SendGet("held")
	testutil.Wait(t, received, "the attempt")
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	testutil.Until(t, "the node to drain", n.frontend.drain.started.Load)
	for _, moved := range []string{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:2"} { // reloads during the drain
		cfg := n.cfg
		cfg.Discovery = moved
		n.Reload(cfg)
	}
	idle.SendGet("during") // open connections are served for a while
	idle.Expect(t, 200, "for during")
	probe := dial(t, n)
	fmt.Fprint(probe, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	probe.Expect(t, 503, "")
	late := dial(t, n) // new connections are accepted for a while
	late.SendGet("late")
	response, body := late.Response(t)
	if response.StatusCode != 200 || body != "for late" {
		t.Errorf("late: got %d %q, want 200 and its body", response.StatusCode, body)
	}
	testutil.ExpectClosed(t, idle.Reader, "an idle connection after the drain")
	release()
	if response, body := held.Response(t); response.StatusCode != 200 || body != "for held" || !response.Close {
		t.Errorf("held: got %d %q, close %v; want 200, its body and a close", response.StatusCode, body, response.Close)
	}
	testutil.ExpectClosed(t, unused.Reader, "a connection that never sent a request")
	if err := testutil.Wait(t, stopped, "the end of Run"); err != nil {
		t.Error(err)
	}
}

// A request that no server answers gets a final response before the node is killed.
func TestGracefulShutdownAnswersRequestsInFlight(t *testing.T) {
	t.Parallel()
	received := make(chan struct{}, 1)
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		received <- struct{}{}
		io.Copy(io.Discard, conn) // never responds
		return false
	})
	n, stop := startNode(t, configWithServers(server), func(n *Node) {
		n.drainSchedule = drainSchedule{answerAll: 500 * time.Millisecond}
		n.drainLimit = testutil.Timeout
	})
	client := dial(t, n)
	client.Send("POST", "/note/k", "held", "x", "60")
	testutil.Wait(t, received, "the attempt")
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	client.Expect(t, http.StatusBadGateway, "")
	if err := testutil.Wait(t, stopped, "the end of Run"); err != nil {
		t.Error(err)
	}
}
