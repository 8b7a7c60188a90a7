package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"basaltdrum/internal/testutil"
)

// Requests that a client pipelines while it waits for a response are answered completely and in order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	t.Parallel()
	server, received, release := testutil.NewHoldingServer(t, "")
	n, _ := startNode(t, configWithServers(server), nil)
	client := dial(t, n)
	client.SendGet("r0")
	testutil.Wait(t, received, "the first request")
	const pipelined = 800 // many more than fit into one read
	sent := 0
	for i := 1; i <= pipelined; i++ {
		client.SendGet(fmt.Sprint("r", i))
		sent += len(testutil.RequestText(fmt.Sprint("r", i)))
	}
	testutil.Until(t, "the pipelined bytes to be read", func() bool { return readAheadBytes(n) == sent })
	release()
	for i := 0; i <= pipelined; i++ {
		client.Expect(t, 200, fmt.Sprint("for r", i))
	}
}

// readAheadCase is a client that pipelines more bytes than may be buffered.
type readAheadCase struct {
	name       string
	inFlight   bool  // an attempt for its first request was started
	totalLimit int64 // bytes that all clients together may pipeline
	wantStatus int   // the status code of the first response
}

// The departure of a client that pipelines more than may be buffered cannot be detected. So its request is answered at
// once: it is rejected, unless an attempt may have been executed. The same happens to the pipelined requests until the
// client can be watched again.
func TestClientBeyondTheReadAheadLimitIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []readAheadCase{
		{"held, beyond the limit of the client", false, 16 * readAheadPerConn, 503},
		{"in flight, beyond the limit of the client", true, 16 * readAheadPerConn, 502},
		{"held, beyond the limit of all clients", false, 12 << 10, 503},
		{"in flight, beyond the limit of all clients", true, 12 << 10, 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

func (c readAheadCase) run(t *testing.T) {
	received := make(chan struct{}, 1)
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") != "r" {
			return testutil.Echo(conn, r, body)
		}
		received <- struct{}{}
		conn.Read(make([]byte, 1)) // returns when the node closes the connection
		return false
	})
	state := "terminating"
	if c.inFlight {
		state = "in_service"
	}
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", server.Address(), state)))
	n, _ := startNode(t, cfg, func(n *Node) {
		limits := downstreamLimits(n.cfg)
		limits.ReadAhead = c.totalLimit
		n.frontend.conns.SetLimits(limits)
	})
	client := dial(t, n)
	client.SendGet("r")
	if c.inFlight {
		testutil.Wait(t, received, "the attempt")
	} else {
		untilActive(t, n, 1)
	}
	const pipelined = 2 * readAheadPerConn / 80
	go func() {
		for i := range pipelined {
			client.SendGet(fmt.Sprint("next-", i))
		}
	}()
	client.Expect(t, c.wantStatus, "")
	if !c.inFlight { // requests of a client that can be watched again wait for a server
		n.loop.post(listReceived{listOf(t, true, testutil.ListEntry("s1", server.Address(), "in_service"))})
	}
	served, aborted := readPipelined(t, client, pipelined)
	if c.inFlight {
		served++
	}
	if requests := server.RequestCount(); requests < served || requests > served+aborted {
		t.Errorf("got %d requests at the server, want the %d served and at most %d aborted ones",
			requests, served, aborted)
	}
	client.SendGet("last")
	client.Expect(t, 200, "for last")
	if reserved := n.frontend.conns.ReadAheadReserved(); reserved != 0 {
		t.Errorf("got %d bytes reserved without pipelined requests, want 0", reserved)
	}
}

// readPipelined reads the responses to pipelined requests, and counts those that were served and those whose attempt
// was aborted.
func readPipelined(t *testing.T, client *testutil.Client, requests int) (served, aborted int) {
	t.Helper()
	for i := range requests {
		response, body := client.Response(t)
		switch {
		case response.StatusCode == 200 && body == fmt.Sprint("for next-", i):
			served++
		case response.StatusCode == 502: // its attempt was started before more bytes arrived
			aborted++
		case response.StatusCode != 503:
			t.Fatalf("request %d: got %d %q, want 200, 502 or 503", i, response.StatusCode, body)
		}
	}
	return served, aborted
}
