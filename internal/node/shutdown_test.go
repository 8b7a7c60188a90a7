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

// recordingConns records what the node reads of each downstream connection, by its remote address.
type recordingConns struct {
	*net.TCPListener
	mu   *sync.Mutex
	read map[string]*bytes.Buffer
}

func recordReads(n *Node) recordingConns {
	l := recordingConns{n.listener.(*net.TCPListener), &sync.Mutex{}, map[string]*bytes.Buffer{}}
	n.listener = l
	return l
}

type recordingConn struct {
	*net.TCPConn
	of   recordingConns
	read *bytes.Buffer
}

func (l recordingConns) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	read := &bytes.Buffer{}
	l.read[c.RemoteAddr().String()] = read
	return recordingConn{c, l, read}, nil
}

func (c recordingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.read.Write(p[:n])
	return n, err
}

// complete is how many requests the node has read to their last byte on a connection.
func (l recordingConns) complete(remote string) (requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	read := l.read[remote]
	if read == nil {
		return 0 // never accepted
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

// Whatever the deadlines of the classes, a draining node answers each request that it has read before the kill
// that the protocol announces, and has ended by then: though clients send on their connections for as long as
// these stay open, and though servers never answer, fail at once, or never accept.
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

// killAt is when the protocol has a node killed, counted from the moment in which it begins to drain.
func killAt(longest time.Duration) time.Duration {
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

func neverAnswer(c net.Conn, _ *http.Request, _ string) bool {
	io.Copy(io.Discard, c)
	return false
}

func answer500(c net.Conn, _ *http.Request, _ string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func drainUnderLoad(t *testing.T, deadlines []time.Duration, mayCancel bool) {
	hangs, fails := testutil.NewServer(t, neverAnswer), testutil.NewServer(t, answer500)
	mute := testutil.ClosedPort(t)
	cfg := testConfig(testutil.CompleteList(
		testutil.ListEntry("s1", hangs.Address(), "in_service"),
		testutil.ListEntry("s2", fails.Address(), "in_service"),
		testutil.ListEntry("s3", mute, "in_service"),
	))
	cfg.Settings.AllowCancel = mayCancel
	longest := time.Duration(0)
	for i := range cfg.Settings.Classes {
		c, deadline := &cfg.Settings.Classes[i], deadlines[i%len(deadlines)]
		c.Deadline, c.LatencyObjective, c.DedupWindow = deadline, deadline/2, deadline
		longest = max(longest, deadline)
	}
	var reads recordingConns
	n, stop := startNode(t, cfg, func(n *Node) {
		reads = recordReads(n)
		through := n.upstream.Dial
		n.upstream.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == mute {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return through(ctx, network, address)
		}
	})
	clients, running := startPersistentClients(t, n, cfg.Settings.Classes)
	stalled := watchStalls(t, 5*time.Millisecond)
	begin := time.Now()
	if err := stop(); err != nil {
		t.Error(err)
	}
	ended := time.Since(begin)
	running.Wait()
	late := stalled()
	t.Logf("ended after %v; timers late by %v in all", ended, late)
	if most := killAt(longest); ended > most+late {
		t.Errorf("the node ended after %v, and was to be killed after %v", ended, most)
	}
	for _, c := range clients {
		if read := reads.complete(c.LocalAddr().String()); read != c.answers {
			t.Errorf("%s: %d requests were read and %d answered", c.name, read, c.answers)
		}
		if c.slowest > late {
			t.Errorf("%s: an answer came %v after its time and the half second that may go by", c.name, c.slowest)
		}
	}
}

// startPersistentClients starts clients of each class, and returns once each of them has sent a request.
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
	for _, c := range clients {
		running.Add(1)
		sent.Add(1)
		go func() {
			defer running.Done()
			c.run(sent.Done)
		}()
	}
	sent.Wait()
	return clients, running
}

// persistentClient sends one request after another on one connection for as long as that stays open.
type persistentClient struct {
	*testutil.Client
	name, class string
	deadline    time.Duration
	answers     int
	slowest     time.Duration // how long after its time and half a second the latest answer came, if one did
}

func (c *persistentClient) run(sent func()) {
	method, key := "POST", ""
	switch c.class {
	case "view":
		method = "GET"
	case "keyed":
		key = "Idempotency-Key: k\r\n"
	}
	for i := 0; ; i++ {
		begin := time.Now()
		fmt.Fprintf(c, "%s /%s/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s-%d\r\nX-Deadline: %f\r\n"+
			"%sContent-Length: 0\r\n\r\n", method, c.class, c.name, i, c.deadline.Seconds(), key)
		if i == 0 {
			sent()
		}
		r, _, err := c.ReadResponse()
		if err != nil {
			return
		}
		c.answers++
		c.slowest = max(c.slowest, time.Since(begin)-c.deadline-500*time.Millisecond)
		if r.Close {
			return
		}
	}
}

// Requests that were read behind another one are answered, though the connection is to be closed with the response
// to the first: because the node drains, or for lack of descriptors. The last response closes it.
func TestPipelinedRequestsAreAnsweredBeforeTheClose(t *testing.T) {
	t.Parallel()
	for _, why := range []string{"the node ends", "too many connections"} {
		for _, pieces := range []int{1, 2} {
			t.Run(fmt.Sprint(why, " pieces=", pieces), func(t *testing.T) {
				t.Parallel()
				s, got, release := testutil.NewHoldingServer(t, "")
				var reads recordingConns
				n, _ := startNode(t, configWithServers(s), func(n *Node) {
					reads = recordReads(n)
				})
				c := dial(t, n)
				more := testutil.RequestText("second") + testutil.RequestText("third")
				if pieces == 1 {
					io.WriteString(c, testutil.RequestText("first")+more)
				} else {
					c.SendGet("first")
				}
				testutil.Wait(t, got, "the attempt")
				if pieces == 2 {
					io.WriteString(c, more)
				}
				testutil.Until(t, "all to be read", func() bool { return reads.complete(c.LocalAddr().String()) == 3 })
				if why == "the node ends" {
					n.frontend.drain.closeAfterResponse.Store(true)
				} else {
					limits := downstreamLimits(n.cfg)
					limits.Descriptors, limits.UpstreamReserve = 1, 1
					n.frontend.conns.SetLimits(limits)
				}
				release()
				for i := range 3 {
					if r, body := c.Response(t); r.Close != (i == 2) {
						t.Errorf("answer %d: %d %q, close %v", i, r.StatusCode, body, r.Close)
					}
				}
				testutil.ExpectClosed(t, c.Reader, "the connection after the last answer")
			})
		}
	}
}
