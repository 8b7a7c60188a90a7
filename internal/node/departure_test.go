package node

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
)

func TestClientDepartureCancelsTheAttempt(t *testing.T) {
	t.Parallel()
	got, ended := make(chan struct{}), make(chan struct{})
	var first sync.Once
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		answers := true
		first.Do(func() {
			close(got)
			c.Read(make([]byte, 1)) // returns when the node closes
			close(ended)
			answers = false
		})
		return answers && testutil.Echo(c, r, body)
	})
	n, _ := startNode(t, withLongObjectives(configWithServers(s)), nil)
	c := dial(t, n)
	c.Send("POST", "/note/k", "leaving", "x", "60")
	testutil.Wait(t, got, "the attempt")
	c.Close()
	testutil.Wait(t, ended, "the end of the attempt")
	again := dial(t, n)
	testutil.Until(t, "the id to be free again", func() bool {
		again.Send("POST", "/note/k", "leaving", "x", "60")
		r, _ := again.Response(t)
		return r.StatusCode == 200
	})
}

// A request whose client departs while the request waits is not forwarded: neither while the module queues it nor
// while its connection is being established, whether or not attempts may be cancelled, and even if the client sent
// more bytes before it left.
func TestNothingIsForwardedForAClientThatLeftWhileQueued(t *testing.T) {
	t.Parallel()
	for _, held := range []bool{true, false} {
		for _, method := range []string{"GET", "POST"} {
			for _, reset := range []bool{true, false} {
				for _, stray := range []string{"", "G", testutil.RequestText("next")} {
					for _, mayCancel := range []bool{true, false} {
						name := fmt.Sprintf("held=%v %s reset=%v stray=%d mayCancel=%v",
							held, method, reset, len(stray), mayCancel)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							departWhileQueued(t, held, method, reset, stray, mayCancel)
						})
					}
				}
			}
		}
	}
}

func departWhileQueued(t *testing.T, held bool, method string, reset bool, stray string, mayCancel bool) {
	s := testutil.NewServer(t, testutil.Echo)
	state := "in_service"
	if held {
		state = "terminating"
	}
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), state)))
	cfg.Settings.AllowCancel = mayCancel
	var dials testutil.HoldingDialer
	n, _ := startNode(t, cfg, func(n *Node) {
		if dials = holdDials(n); held {
			close(dials.Release)
		}
	})
	c := dial(t, n)
	target, body := "/view/k", ""
	if method == "POST" {
		target, body = "/note/k", "body"
	}
	c.Send(method, target, "leaving", body, "60")
	if held {
		untilActive(t, n, 1)
	} else {
		testutil.Wait(t, dials.Dialed, "the connection")
	}
	if stray != "" {
		io.WriteString(c, stray)
		testutil.Until(t, "the byte to be read", func() bool { return readAheadBytes(n) == len(stray) })
	}
	if reset {
		c.Conn.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
	testutil.Until(t, "the node to notice", func() bool { return n.frontend.conns.Count() == 0 })
	if held {
		n.loop.post(listReceived{listOf(t, true, testutil.ListEntry("s1", s.Address(), "in_service"))})
	} else {
		close(dials.Release)
	}
	checkNothingForwarded(t, n, s, map[string]int{"other": 1})
}

// However much a client pipelines, once it has closed or reset its connection, or that has broken, no attempt
// begins for its request or for what it pipelined, wherever the request is at that moment.
func TestNothingBeginsForAClientThatPipelinedAndLeft(t *testing.T) {
	t.Parallel()
	for _, where := range []string{"held", "dial", "retry", "busy loop", "in flight"} {
		for _, ahead := range []int{0, 100, 3000, 8192, 20000, 60000, 2 * readAheadPerConn} {
			for _, how := range []string{"close", "reset", "break"} {
				for _, mayCancel := range []bool{true, false} {
					t.Run(fmt.Sprint(where, " ", ahead, " ", how, " mayCancel=", mayCancel), func(t *testing.T) {
						t.Parallel()
						newPipelinedDeparture(where, ahead, how, mayCancel).play(t)
					})
				}
			}
		}
	}
}

// pipelinedDeparture is a client that pipelines and departs while its first request is at some point of its way.
type pipelinedDeparture struct {
	where, how string
	ahead      int // bytes that it pipelines
	mayCancel  bool

	server  *testutil.Server
	node    *Node
	dials   testutil.HoldingDialer
	conns   breakableListener
	got     chan struct{} // an attempt has arrived at the server, which answers it once answer is closed
	answer  chan struct{}
	stopped chan struct{} // the event loop has stopped, until resume is closed
	resume  chan struct{}
}

func newPipelinedDeparture(where string, ahead int, how string, mayCancel bool) *pipelinedDeparture {
	return &pipelinedDeparture{
		where: where, how: how, ahead: ahead, mayCancel: mayCancel,
		conns: breakableListener{cause: syscall.ETIMEDOUT, accepted: make(chan *breakableConn, 2)},
		got:   make(chan struct{}, 1), answer: make(chan struct{}),
		stopped: make(chan struct{}), resume: make(chan struct{}),
	}
}

func (d *pipelinedDeparture) play(t *testing.T) {
	d.server = testutil.NewServer(t, d.serve)
	cfg := testConfig(testutil.CompleteList(d.entries(d.state())...))
	cfg.Settings.AllowCancel = d.mayCancel
	d.node, _ = startNode(t, cfg, d.change)
	c := dial(t, d.node)
	d.begin(t, c)
	text := testutil.PipelinedRequests(d.ahead)
	if d.ahead > readAheadPerConn && d.where != "busy loop" {
		text = strings.Repeat("x", d.ahead) // they are answered while the client is connected: no requests, then
	}
	io.WriteString(c, text)
	if d.ahead <= readAheadPerConn {
		testutil.Until(t, "the bytes to be read", func() bool { return readAheadBytes(d.node) == d.ahead })
	}
	d.depart(t, c)
	if d.where == "busy loop" {
		testutil.Until(t, "the departure to be queued", func() bool { return len(d.node.loop.events) >= 2 })
		close(d.resume)
	}
	testutil.Until(t, "the node to notice", func() bool { return d.node.frontend.conns.Count() == 0 })
	d.proceed(t)
	seen := map[string]int{"other": 1}
	if d.where == "retry" || d.where == "in flight" {
		seen["leaving"] = 1 // begun before its client departed
	}
	checkNothingForwarded(t, d.node, d.server, seen)
}

func (d *pipelinedDeparture) serve(c net.Conn, r *http.Request, body string) bool {
	if r.Header.Get("X-Request-Id") != "leaving" {
		return testutil.Echo(c, r, body)
	}
	if d.where == "in flight" {
		d.got <- struct{}{}
		<-d.answer
	}
	_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// state is the state in which the servers are listed at first.
func (d *pipelinedDeparture) state() string {
	if d.where == "held" {
		return "terminating"
	}
	return "in_service"
}

func (d *pipelinedDeparture) entries(state string) []string {
	return []string{
		testutil.ListEntry("s1", d.server.Address(), state),
		testutil.ListEntry("s2", d.server.Address(), state),
	}
}

// change has the node stop where the client is to depart.
func (d *pipelinedDeparture) change(n *Node) {
	n.drainSchedule = drainSchedule{closeConns: time.Millisecond, answerAll: testutil.Timeout}
	n.drainLimit = 2 * testutil.Timeout // as short as it can be
	// A machine that stalls the process for the usual time for reading a request, 2.5 s, would have the node close a
	// connection whose request it has not read.
	n.frontend.server.ReadTimeout = 2 * testutil.Timeout
	d.conns.TCPListener = n.listener.(*net.TCPListener)
	n.listener = d.conns
	switch d.where {
	case "dial":
		d.dials = holdDials(n)
	case "busy loop": // it stops at the first list that is pushed
		update := n.loop.hooks.UpdateEndpoints
		n.loop.hooks.UpdateEndpoints = func(entries []endpointlist.Entry, complete bool) {
			if !complete {
				close(d.stopped)
				<-d.resume
			}
			update(entries, complete)
		}
	case "retry": // the first connection comes up at once, the second is held
		first := make(chan struct{}, 1)
		first <- struct{}{}
		through := n.upstream.Dial
		d.dials = holdDials(n)
		held := n.upstream.Dial
		n.upstream.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			select {
			case <-first:
				return through(ctx, network, address)
			default:
				return held(ctx, network, address)
			}
		}
	}
}

// begin sends the request, and waits until it is where the client is to depart.
func (d *pipelinedDeparture) begin(t *testing.T, c *testutil.Client) {
	if d.where == "busy loop" {
		testutil.Until(t, "the first list to be taken", d.node.loop.ready.Load)
		update := listOf(t, false, d.entries("in_service")...)
		update.Entries[0].Capacity = 2
		d.node.loop.post(listReceived{update})
		testutil.Wait(t, d.stopped, "the loop")
	}
	c.SendGet("leaving")
	switch d.where {
	case "held":
		untilActive(t, d.node, 1)
	case "dial", "retry":
		testutil.Wait(t, d.dials.Dialed, "the connection")
	case "in flight":
		testutil.Wait(t, d.got, "the attempt")
	case "busy loop":
		testutil.Until(t, "the request to be queued", func() bool { return len(d.node.loop.events) == 1 })
	}
}

func (d *pipelinedDeparture) depart(t *testing.T, c *testutil.Client) {
	switch d.how {
	case "break":
		testutil.Wait(t, d.conns.accepted, "the downstream connection").breakConn()
	case "reset":
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	case "close":
		c.Close()
	}
}

// proceed releases the request once the departure was noticed.
func (d *pipelinedDeparture) proceed(t *testing.T) {
	switch d.where {
	case "held":
		d.node.loop.post(listReceived{listOf(t, true, d.entries("in_service")...)})
	case "dial", "retry":
		close(d.dials.Release)
	case "in flight":
		close(d.answer) // it fails, and is not retried
	}
}

// checkNothingForwarded has another client served, waits for all attempts to end, and compares the requests that
// the server received with what it may have received.
func checkNothingForwarded(t *testing.T, n *Node, s *testutil.Server, want map[string]int) {
	t.Helper()
	other := dial(t, n)
	other.SendGet("other")
	other.Expect(t, 200, "for other")
	testutil.Until(t, "all attempts' end", func() bool {
		pool := n.upstream.Stats()
		return pool.Idle == pool.Open
	})
	got := map[string]int{}
	for _, id := range s.RequestIDs() {
		got[id]++
	}
	if !maps.Equal(got, want) {
		t.Errorf("the server got %v, want %v", got, want)
	}
	if kept := n.frontend.conns.ReadAheadReserved(); kept != 0 {
		t.Errorf("%d bytes are buffered of clients that have departed", kept)
	}
}

// Fifty departures at the same time are all noticed.
func TestNothingBeginsForABurstOfDepartures(t *testing.T) {
	t.Parallel()
	s := testutil.NewServer(t, testutil.Echo)
	through := make(chan struct{})
	n, _ := startNode(t, configWithServers(s), func(n *Node) {
		n.upstream.Dial = func(_ context.Context, network, address string) (net.Conn, error) {
			nc, err := net.Dial(network, address)
			<-through
			return nc, err
		}
	})
	var leavers []*testutil.Client
	for i := range 50 {
		c := dial(t, n)
		c.SendGet(fmt.Sprint("leaving-", i))
		leavers = append(leavers, c)
	}
	untilActive(t, n, len(leavers))
	for i, c := range leavers {
		io.WriteString(c, testutil.PipelinedRequests(1000*i))
	}
	for i, c := range leavers {
		if i%2 == 0 {
			c.Conn.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
	testutil.Until(t, "the node to notice", func() bool { return n.frontend.conns.Count() == 0 })
	close(through)
	checkNothingForwarded(t, n, s, map[string]int{"other": 1})
}

// A request whose client has closed before it is read does not reach the module before the close is noticed,
// however late the departure watch looks at the connection.
func TestNothingBeginsBeforeTheDepartureWatchHasCaughtUp(t *testing.T) {
	t.Parallel()
	s := testutil.NewServer(t, testutil.Echo)
	reads, looks := newGate(2), newGate(2)
	n, _ := startNode(t, configWithServers(s), func(n *Node) {
		n.listener = gatedConnListener{n.listener.(*net.TCPListener), reads, looks}
	})
	c, other := dial(t, n), dial(t, n)
	for range 2 {
		testutil.Wait(t, reads.arrived, "a read")
	}
	c.SendGet("left")
	c.Close()
	other.SendGet("other")
	close(reads.release)
	for range 2 {
		testutil.Wait(t, looks.arrived, "a look")
	}
	third := dial(t, n)
	for i := range 20 { // time enough for either request, if it did not wait
		third.SendGet(fmt.Sprint("third-", i))
		third.Expect(t, 200, "")
	}
	if s.RequestCount() != 20 {
		t.Errorf("%d requests began, want 20", s.RequestCount())
	}
	close(looks.release)
	other.Expect(t, 200, "for other")
	testutil.Until(t, "the node to notice", func() bool { return n.frontend.conns.Count() == 2 })
	if s.RequestCount() != 21 {
		t.Errorf("%d requests began, want 21", s.RequestCount())
	}
}
