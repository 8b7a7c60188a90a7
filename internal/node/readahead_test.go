package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"basaltdrum/internal/testutil"
)

// What a client sends before its response has come is its next request, in order and complete.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	t.Parallel()
	s, got, release := testutil.NewHoldingServer(t, "")
	n, _ := startNode(t, configWithServers(s), nil)
	c := dial(t, n)
	c.SendGet("r0")
	testutil.Wait(t, got, "the first request")
	const more = 800 // much longer than what is read at once
	sent := 0
	for i := 1; i <= more; i++ {
		c.SendGet(fmt.Sprint("r", i))
		sent += len(testutil.RequestText(fmt.Sprint("r", i)))
	}
	testutil.Until(t, "the bytes to be read", func() bool { return readAheadBytes(n) == sent })
	release()
	for i := 0; i <= more; i++ {
		c.Expect(t, 200, fmt.Sprint("for r", i))
	}
}

// readAheadCase is a client that pipelines more than may be buffered.
type readAheadCase struct {
	name  string
	begun bool  // an attempt has begun for its first request
	all   int64 // what all clients may pipeline
	want  int   // the status code of the first response
}

// A client that pipelines more than may be buffered cannot be watched. Its request is answered at once, as
// rejected unless an attempt may have run, and so is in turn what it pipelined, until it can be watched again.
func TestClientBeyondTheReadAheadLimitIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []readAheadCase{
		{"held, beyond its own bound", false, 16 * readAheadPerConn, 503},
		{"in flight, beyond its own bound", true, 16 * readAheadPerConn, 502},
		{"held, beyond the bound of all", false, 12 << 10, 503},
		{"in flight, beyond the bound of all", true, 12 << 10, 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.play(t)
		})
	}
}

func (c readAheadCase) play(t *testing.T) {
	got := make(chan struct{}, 1)
	s := testutil.NewServer(t, func(nc net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") != "r" {
			return testutil.Echo(nc, r, body)
		}
		got <- struct{}{}
		nc.Read(make([]byte, 1)) // until the node closes
		return false
	})
	state := "terminating"
	if c.begun {
		state = "in_service"
	}
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), state)))
	n, _ := startNode(t, cfg, func(n *Node) {
		limits := downstreamLimits(n.cfg)
		limits.ReadAhead = c.all
		n.frontend.conns.SetLimits(limits)
	})
	many := dial(t, n)
	many.SendGet("r")
	if c.begun {
		testutil.Wait(t, got, "the attempt")
	} else {
		untilActive(t, n, 1)
	}
	const more = 2 * readAheadPerConn / 80
	go func() {
		for i := range more {
			many.SendGet(fmt.Sprint("next-", i))
		}
	}()
	many.Expect(t, c.want, "")
	if !c.begun { // whoever can be watched again waits for a server
		n.loop.post(listReceived{listOf(t, true, testutil.ListEntry("s1", s.Address(), "in_service"))})
	}
	served, aborted := readPipelined(t, many, more)
	if c.begun {
		served++
	}
	if seen := s.RequestCount(); seen < served || seen > served+aborted {
		t.Errorf("%d requests began, %d were served and %d aborted", seen, served, aborted)
	}
	many.SendGet("last")
	many.Expect(t, 200, "for last")
	if kept := n.frontend.conns.ReadAheadReserved(); kept != 0 {
		t.Errorf("%d bytes are kept with nothing sent ahead", kept)
	}
}

// readPipelined reads the responses to pipelined requests, and counts those that were served and those whose attempt
// was aborted.
func readPipelined(t *testing.T, c *testutil.Client, requests int) (served, aborted int) {
	t.Helper()
	for i := range requests {
		r, body := c.Response(t)
		switch {
		case r.StatusCode == 200 && body == fmt.Sprint("for next-", i):
			served++
		case r.StatusCode == 502: // it had begun when more came
			aborted++
		case r.StatusCode != 503:
			t.Fatalf("request %d: got %d %q", i, r.StatusCode, body)
		}
	}
	return served, aborted
}
