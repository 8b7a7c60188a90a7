package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/testutil"
)

// recordingListener records the bytes that the node reads from each downstream connection, by remote address.
type recordingListener struct {
	*net.TCPListener
	mu   *sync.Mutex
	read map[string]*bytes.Buffer
}

func recordReads(n *Node) recordingListener {
	listener := recordingListener{n.listener.(*net.TCPListener), &sync.Mutex{}, map[string]*bytes.Buffer{}}
	n.listener = listener
	return listener
}

type recordingConn struct {
	*net.TCPConn
	listener recordingListener
	read     *bytes.Buffer
}

func (listener recordingListener) Accept() (net.Conn, error) {
	c, err := listener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	read := &bytes.Buffer{}
	listener.read[c.RemoteAddr().String()] = read
	return recordingConn{c, listener, read}, nil
}

func (c recordingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.read.Write(p[:n])
	return n, err
}

// completeRequests returns the number of requests that the node has read completely from a connection.
func (listener recordingListener) completeRequests(remote string) (requests int) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	read := listener.read[remote]
	if read == nil {
		return 0 // the connection was never accepted
	}
	br := bufio.NewReader(bytes.NewReader(read.Bytes()))
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return requests
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return requests
		}
		requests++
	}
}

// With any deadlines of the classes, a draining node answers each request that it has read and stops before the kill
// time of the protocol. That holds even if clients send requests for as long as their connections are open, and if
// servers never respond, fail at once or never accept.
func TestEveryRequestIsAnsweredBeforeTheKill(t *testing.T) {
	t.Parallel()
	for _, deadlines := range [][]time.Duration{
		{200 * time.Millisecond},
		{450 * time.Millisecond},
		{time.Second},
		{10 * time.Second},
		{200 * time.Millisecond, 10 * time.Second},
	} {
		for _, mayCancel := range []bool{true, false} {
			t.Run(fmt.Sprint(deadlines, " mayCancel=", mayCancel), func(t *testing.T) {
				t.Parallel()
				drainUnderLoad(t, deadlines, mayCancel)
			})
		}
	}
}

// killAt returns the time from the start of the drain to the kill, by the protocol. longest is the longest deadline of
// a class.
func killAt(longest time.Duration) time.Duration {
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// neverRespond reads until the node closes the connection.
func neverRespond(conn net.Conn, _ *http.Request, _ string) bool {
	io.Copy(io.Discard, conn)
	return false
}

// respond500 responds with status 500.
func respond500(conn net.Conn, _ *http.Request, _ string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// drainUnderLoad drains a node with faulty servers while clients keep sending requests.
func drainUnderLoad(t *testing.T, deadlines []time.Duration, mayCancel bool) {
	hanging, failing := testutil.NewServer(t, neverRespond), testutil.NewServer(t, respond500)
	unreachable := testutil.ClosedPort(t)
	cfg := testConfig(testutil.CompleteList(
		testutil.ListEntry("s1", hanging.Address(), "in_service"),
		testutil.ListEntry("s2", failing.Address(), "in_service"),
		testutil.ListEntry("s3", unreachable, "in_service"),
	))
	cfg.Settings.AllowCancel = mayCancel
	longest := time.Duration(0)
	for i := range cfg.Settings.Classes {
		class, deadline := &cfg.Settings.Classes[i], deadlines[i%len(deadlines)]
		class.Deadline, class.LatencyObjective, class.DedupWindow = deadline, deadline/2, deadline
		longest = max(longest, deadline)
	}
	var reads recordingListener
	n, stop := startNode(t, cfg, func(n *Node) {
		reads = recordReads(n)
		dialDirectly := n.upstream.Dial
		n.upstream.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == unreachable {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return dialDirectly(ctx, network, address)
		}
	})
	clients, running := startPersistentClients(t, n, cfg.Settings.Classes)
	stalled := watchStalls(t, 5*time.Millisecond)
	start := time.Now()
	if err := stop(); err != nil {
		t.Error(err)
	}
	took := time.Since(start)
	running.Wait()
	late := stalled()
	t.Logf("stopped after %v; sum of the timer delays %v", took, late)
	if limit := killAt(longest); took > limit+late {
		t.Errorf("got a stop after %v, want it before the kill after %v", took, limit)
	}
	for _, client := range clients {
		if read := reads.completeRequests(client.LocalAddr().String()); read != client.responses {
			t.Errorf("%s: got %d requests read and %d responses, want as many responses as requests",
				client.name, read, client.responses)
		}
		if client.worstLateness > late {
			t.Errorf("%s: got a response %v later than 500 ms after its deadline", client.name, client.worstLateness)
		}
	}
}

// startPersistentClients starts clients of all classes, and returns once each client has sent a request.
func startPersistentClients(
	t *testing.T, n *Node, classes []balancer.Class,
) (clients []*persistentClient, running *sync.WaitGroup) {
	t.Helper()
	for i := range 12 {
		class := classes[i%len(classes)]
		clients = append(clients, &persistentClient{
			Client: dial(t, n), name: fmt.Sprint("c", i), class: class.Name, deadline: class.Deadline,
		})
	}
	running = &sync.WaitGroup{}
	var sent sync.WaitGroup
	for _, client := range clients {
		running.Add(1)
		sent.Add(1)
		go func() {
			defer running.Done()
			client.run(sent.Done)
		}()
	}
	sent.Wait()
	return clients, running
}

// persistentClient sends one request after another on one connection as long as the connection is open.
type persistentClient struct {
	*testutil.Client
	name, class   string
	deadline      time.Duration
	responses     int
	worstLateness time.Duration // maximum time of a response after its deadline plus half a second; 0: none
}

func (client *persistentClient) run(sent func()) {
	method, key := "POST", ""
	switch client.class {
	case "view":
		method = "GET"
	case "keyed":
		key = "Idempotency-Key: k\r\n"
	}
	for i := 0; ; i++ {
		start := time.Now()
		fmt.Fprintf(client, "%s /%s/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s-%d\r\nX-Deadline: %f\r\n"+
			"%sContent-Length: 0\r\n\r\n", method, client.class, client.name, i, client.deadline.Seconds(), key)
		if i == 0 {
			sent()
		}
		response, _, err := client.ReadResponse()
		if err != nil {
			return
		}
		client.responses++
		client.worstLateness = max(client.worstLateness, time.Since(start)-client.deadline-500*time.Millisecond)
		if response.Close {
			return
		}
	}
}

// If the node drains or lacks descriptors, a response closes its connection. If pipelined requests were read from the
// connection, they are still answered, and only the last response closes it.
func TestPipelinedRequestsAreAnsweredBeforeTheClose(t *testing.T) {
	t.Parallel()
	for _, why := range []string{"drain", "too many connections"} {
		for _, pieces := range []int{1, 2} {
			t.Run(fmt.Sprint(why, " pieces=", pieces), func(t *testing.T) {
				t.Parallel()
				server, received, release := testutil.NewHoldingServer(t, "")
				var reads recordingListener
				n, _ := startNode(t, configWithServers(server), func(n *Node) {
					reads = recordReads(n)
				})
				client := dial(t, n)
				pipelined := testutil.RequestText("second") + testutil.RequestText("third")
				if pieces == 1 {
					io.WriteString(client, testutil.RequestText("first")+pipelined)
				} else {
					client.SendGet("first")
				}
				testutil.Wait(t, received, "the attempt")
				if pieces == 2 {
					io.WriteString(client, pipelined)
				}
				testutil.Until(t, "all requests to be read", func() bool {
					return reads.completeRequests(client.LocalAddr().String()) == 3
				})
				if why == "drain" {
					n.frontend.drain.closeAfterResponse.Store(true)
				} else {
					limits := downstreamLimits(n.cfg)
					limits.Descriptors, limits.UpstreamReserve = 1, 1
					n.frontend.conns.SetLimits(limits)
				}
				release()
				for i := range 3 {
					if response, body := client.Response(t); response.Close != (i == 2) {
						t.Errorf("response %d: got %d %q, close %v; want a close only with response 2",
							i, response.StatusCode, body, response.Close)
					}
				}
				testutil.ExpectClosed(t, client.Reader, "the connection after the last response")
			})
		}
	}
}
