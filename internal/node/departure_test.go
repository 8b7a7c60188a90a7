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

// A client that closes its connection cancels its attempt, and its request ID can be used again.
func TestClientDepartureCancelsTheAttempt(t *testing.T) {
	t.Parallel()
	received, ended := make(chan struct{}), make(chan struct{})
	var first sync.Once
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		respond := true
		first.Do(func() {
			close(received)
			conn.Read(make([]byte, 1)) // returns when the node closes the connection
			close(ended)
			respond = false
		})
		return respond && testutil.Echo(conn, r, body)
	})
	n, _ := startNode(t, withLongObjectives(configWithServers(server)), nil)
	client := dial(t, n)
	client.Send("POST", "/note/k", "leaving", "x", "60")
	testutil.Wait(t, received, "the attempt")
	client.Close()
	testutil.Wait(t, ended, "the end of the attempt")
	again := dial(t, n)
	testutil.Until(t, "the request ID to be free again", func() bool {
		again.Send("POST", "/note/k", "leaving", "x", "60")
		response, _ := again.Response(t)
		return response.StatusCode == 200
	})
}

// A request whose client departs is not forwarded if the module has queued it or the connection to the server is being
// established. It makes no difference whether attempts may be cancelled, and whether the client sent more bytes before.
func TestNothingIsForwardedForAClientThatDepartedWhileQueued(t *testing.T) {
	t.Parallel()
	for _, held := range []bool{true, false} {
		for _, method := range []string{"GET", "POST"} {
			for _, reset := range []bool{true, false} {
				for _, extra := range []string{"", "G", testutil.RequestText("next")} {
					for _, mayCancel := range []bool{true, false} {
						name := fmt.Sprintf("held=%v %s reset=%v extra=%d mayCancel=%v",
							held, method, reset, len(extra), mayCancel)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							departWhileQueued(t, held, method, reset, extra, mayCancel)
						})
					}
				}
			}
		}
	}
}

// departWhileQueued sends a request, makes its client depart, and checks that nothing is forwarded. If held is true,
// the module has queued the request because the only server drains; otherwise the connection to the server is being
// established. extra is what the client sends after its request.
func departWhileQueued(t *testing.T, held bool, method string, reset bool, extra string, mayCancel bool) {
	server := testutil.NewServer(t, testutil.Echo)
	state := "in_service"
	if held {
		state = "terminating"
	}
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", server.Address(), state)))
	cfg.Settings.AllowCancel = mayCancel
	var dials testutil.HoldingDialer
	n, _ := startNode(t, cfg, func(n *Node) {
		if dials = holdDials(n); held {
			close(dials.Release)
		}
	})
	client := dial(t, n)
	target, body := "/view/k", ""
	if method == "POST" {
		target, body = "/note/k", "body"
	}
	client.Send(method, target, "leaving", body, "60")
	if held {
		untilActive(t, n, 1)
	} else {
		testutil.Wait(t, dials.Dialed, "the connection to the server")
	}
	if extra != "" {
		io.WriteString(client, extra)
		testutil.Until(t, "the extra bytes to be read", func() bool { return readAheadBytes(n) == len(extra) })
	}
	if reset {
		client.Conn.(*net.TCPConn).SetLinger(0)
	}
	client.Close()
	testutil.Until(t, "the departure to be noticed", func() bool { return n.frontend.conns.Count() == 0 })
	if held {
		n.loop.post(listReceived{listOf(t, true, testutil.ListEntry("s1", server.Address(), "in_service"))})
	} else {
		close(dials.Release)
	}
	checkNothingForwarded(t, n, server, map[string]int{"other": 1})
}

// Once a client has closed or reset its connection, or the connection has broken, neither its request nor the requests
// that it has pipelined are forwarded, no matter how many bytes it pipelined and how far its request has come.
func TestNothingIsForwardedForAClientThatPipelinedAndDeparted(t *testing.T) {
	t.Parallel()
	for _, stage := range []string{"held", "dial", "retry", "busy loop", "in flight"} {
		for _, bytes := range []int{0, 100, 3000, 8192, 20000, 60000, 2 * readAheadPerConn} {
			for _, departure := range []string{"close", "reset", "break"} {
				for _, mayCancel := range []bool{true, false} {
					t.Run(fmt.Sprint(stage, " ", bytes, " ", departure, " mayCancel=", mayCancel), func(t *testing.T) {
						t.Parallel()
						newPipelinedDeparture(stage, bytes, departure, mayCancel).run(t)
					})
				}
			}
		}
	}
}

// pipelinedDeparture is a client that pipelines requests and departs while its first request is at a certain stage:
//
//   - held: the module has queued the request because all servers drain;
//   - dial: the connection to the server is being established;
//   - retry: the first attempt has failed, and the connection for the retry is being established;
//   - busy loop: the request waits in the queue of the event loop, which has stopped;
//   - in flight: an attempt has arrived at the server.
type pipelinedDeparture struct {
	stage, departure string
	pipelinedBytes   int // number of bytes that the client pipelines after its request
	mayCancel        bool

	server   *testutil.Server
	node     *Node
	dials    testutil.HoldingDialer
	conns    breakableListener
	received chan struct{} // an attempt has arrived at the server, which responds once respond is closed
	respond  chan struct{}
	stopped  chan struct{} // the event loop has stopped, until resume is closed
	resume   chan struct{}
}

func newPipelinedDeparture(stage string, pipelinedBytes int, departure string, mayCancel bool) *pipelinedDeparture {
	return &pipelinedDeparture{
		stage: stage, departure: departure, pipelinedBytes: pipelinedBytes, mayCancel: mayCancel,
		conns:    breakableListener{cause: syscall.ETIMEDOUT, accepted: make(chan *breakableConn, 2)},
		received: make(chan struct{}, 1), respond: make(chan struct{}),
		stopped: make(chan struct{}), resume: make(chan struct{}),
	}
}

func (d *pipelinedDeparture) run(t *testing.T) {
	d.server = testutil.NewServer(t, d.serve)
	cfg := testConfig(testutil.CompleteList(d.entries(d.state())...))
	cfg.Settings.AllowCancel = d.mayCancel
	d.node, _ = startNode(t, cfg, d.configure)
	client := dial(t, d.node)
	d.sendRequest(t, client)
	text := testutil.PipelinedRequests(d.pipelinedBytes)
	if d.pipelinedBytes > readAheadPerConn && d.stage != "busy loop" {
		// The node answers the pipelined requests while the client is connected, so they must not be valid.
		text = strings.Repeat("x", d.pipelinedBytes)
	}
	io.WriteString(client, text)
	if d.pipelinedBytes <= readAheadPerConn {
		testutil.Until(t, "the pipelined bytes to be read", func() bool {
			return readAheadBytes(d.node) == d.pipelinedBytes
		})
	}
	d.depart(t, client)
	if d.stage == "busy loop" {
		testutil.Until(t, "the departure to be queued", func() bool { return len(d.node.loop.events) >= 2 })
		close(d.resume)
	}
	testutil.Until(t, "the departure to be noticed", func() bool { return d.node.frontend.conns.Count() == 0 })
	d.releaseRequest(t)
	wantReceived := map[string]int{"other": 1}
	if d.stage == "retry" || d.stage == "in flight" {
		wantReceived["leaving"] = 1 // forwarded before the client departed
	}
	checkNothingForwarded(t, d.node, d.server, wantReceived)
}

func (d *pipelinedDeparture) serve(conn net.Conn, r *http.Request, body string) bool {
	if r.Header.Get("X-Request-Id") != "leaving" {
		return testutil.Echo(conn, r, body)
	}
	if d.stage == "in flight" {
		d.received <- struct{}{}
		<-d.respond
	}
	_, err := io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// state returns the state of the servers in the first endpoint list.
func (d *pipelinedDeparture) state() string {
	if d.stage == "held" {
		return "terminating"
	}
	return "in_service"
}

// entries returns the list entries of two servers at the same address.
func (d *pipelinedDeparture) entries(state string) []string {
	return []string{
		testutil.ListEntry("s1", d.server.Address(), state),
		testutil.ListEntry("s2", d.server.Address(), state),
	}
}

// configure makes the node stop at the stage at which the client departs.
func (d *pipelinedDeparture) configure(n *Node) {
	n.drainSchedule = drainSchedule{closeConns: time.Millisecond, answerAll: testutil.Timeout}
	n.drainLimit = 2 * testutil.Timeout
	// If the machine stalls the process for the usual read timeout of 2.5 s, the node closes connections whose request
	// it has not read.
	n.frontend.server.ReadTimeout = 2 * testutil.Timeout
	d.conns.TCPListener = n.listener.(*net.TCPListener)
	n.listener = d.conns
	switch d.stage {
	case "dial":
		d.dials = holdDials(n)
	case "busy loop": // it stops when it applies the first list of changes
		update := n.loop.hooks.UpdateEndpoints
		n.loop.hooks.UpdateEndpoints = func(entries []endpointlist.Entry, complete bool) {
			if !complete {
				close(d.stopped)
				<-d.resume
			}
			update(entries, complete)
		}
	case "retry": // the first connection is established at once, the second is held
		first := make(chan struct{}, 1)
		first <- struct{}{}
		dialDirectly := n.upstream.Dial
		d.dials = holdDials(n)
		held := n.upstream.Dial
		n.upstream.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			select {
			case <-first:
				return dialDirectly(ctx, network, address)
			default:
				return held(ctx, network, address)
			}
		}
	}
}

// sendRequest sends the request, and waits until it is at the stage at which the client departs.
func (d *pipelinedDeparture) sendRequest(t *testing.T, client *testutil.Client) {
	if d.stage == "busy loop" {
		testutil.Until(t, "the first list to be applied", d.node.loop.ready.Load)
		update := listOf(t, false, d.entries("in_service")...)
		update.Entries[0].Capacity = 2
		d.node.loop.post(listReceived{update})
		testutil.Wait(t, d.stopped, "the stop of the loop")
	}
	client.SendGet("leaving")
	switch d.stage {
	case "held":
		untilActive(t, d.node, 1)
	case "dial", "retry":
		testutil.Wait(t, d.dials.Dialed, "the connection to the server")
	case "in flight":
		testutil.Wait(t, d.received, "the attempt")
	case "busy loop":
		testutil.Until(t, "the request to be queued", func() bool { return len(d.node.loop.events) == 1 })
	}
}

// depart closes, resets or breaks the connection of the client.
func (d *pipelinedDeparture) depart(t *testing.T, client *testutil.Client) {
	switch d.departure {
	case "break":
		testutil.Wait(t, d.conns.accepted, "the downstream connection").breakConn()
	case "reset":
		client.Conn.(*net.TCPConn).SetLinger(0)
		client.Close()
	case "close":
		client.Close()
	}
}

// releaseRequest releases the request after the departure was noticed.
func (d *pipelinedDeparture) releaseRequest(t *testing.T) {
	switch d.stage {
	case "held":
		d.node.loop.post(listReceived{listOf(t, true, d.entries("in_service")...)})
	case "dial", "retry":
		close(d.dials.Release)
	case "in flight":
		close(d.respond) // the attempt fails and is not retried
	}
}

// checkNothingForwarded sends a request from another client, waits for all attempts to end, and compares the number of
// requests by ID that the server received with want.
func checkNothingForwarded(t *testing.T, n *Node, server *testutil.Server, want map[string]int) {
	t.Helper()
	other := dial(t, n)
	other.SendGet("other")
	other.Expect(t, 200, "for other")
	testutil.Until(t, "the end of all attempts", func() bool {
		pool := n.upstream.Stats()
		return pool.Idle == pool.Open
	})
	got := map[string]int{}
	for _, id := range server.RequestIDs() {
		got[id]++
	}
	if !maps.Equal(got, want) {
		t.Errorf("got requests by ID %v at the server, want %v", got, want)
	}
	if reserved := n.frontend.conns.ReadAheadReserved(); reserved != 0 {
		t.Errorf("got %d bytes buffered of clients that have departed, want 0", reserved)
	}
}

// Fifty simultaneous departures are all noticed, and nothing is forwarded for these clients.
func TestNothingIsForwardedForABurstOfDepartures(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	releaseDials := make(chan struct{})
	n, _ := startNode(t, configWithServers(server), func(n *Node) {
		n.upstream.Dial = func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := net.Dial(network, address)
			<-releaseDials
			return conn, err
		}
	})
	var clients []*testutil.Client
	for i := range 50 {
		client := dial(t, n)
		client.SendGet(fmt.Sprint("leaving-", i))
		clients = append(clients, client)
	}
	untilActive(t, n, len(clients))
	for i, client := range clients {
		io.WriteString(client, testutil.PipelinedRequests(1000*i))
	}
	for i, client := range clients {
		if i%2 == 0 {
			client.Conn.(*net.TCPConn).SetLinger(0)
		}
		client.Close()
	}
	testutil.Until(t, "the departure to be noticed", func() bool { return n.frontend.conns.Count() == 0 })
	close(releaseDials)
	checkNothingForwarded(t, n, server, map[string]int{"other": 1})
}

// A request whose client closed the connection before the request was read does not reach the module before the close
// is noticed, no matter how late the departure watch peeks at the connection.
func TestNothingIsForwardedBeforeTheDepartureWatchHasCaughtUp(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	reads, peeks := newGate(2), newGate(2)
	n, _ := startNode(t, configWithServers(server), func(n *Node) {
		n.listener = gatedConnListener{n.listener.(*net.TCPListener), reads, peeks}
	})
	client, other := dial(t, n), dial(t, n)
	for range 2 {
		testutil.Wait(t, reads.arrived, "a read")
	}
	client.SendGet("departed")
	client.Close()
	other.SendGet("other")
	close(reads.release)
	for range 2 {
		testutil.Wait(t, peeks.arrived, "a peek")
	}
	third := dial(t, n)
	for i := range 20 { // enough time for either request to arrive if it did not wait
		third.SendGet(fmt.Sprint("third-", i))
		third.Expect(t, 200, "")
	}
	if server.RequestCount() != 20 {
		t.Errorf("got %d requests at the server, want 20", server.RequestCount())
	}
	close(peeks.release)
	other.Expect(t, 200, "for other")
	testutil.Until(t, "the departure to be noticed", func() bool { return n.frontend.conns.Count() == 2 })
	if server.RequestCount() != 21 {
		t.Errorf("got %d requests at the server, want 21", server.RequestCount())
	}
}
