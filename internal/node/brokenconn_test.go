package node

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"basaltdrum/internal/testutil"
)

// A client whose connection breaks with any error has departed: nothing is forwarded for it any more, and an attempt in
// flight is cancelled. Only an error from the node's own read deadline is no departure.
func TestBrokenConnectionCountsAsDeparture(t *testing.T) {
	t.Parallel()
	for _, cause := range []error{
		syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.EPIPE, os.ErrDeadlineExceeded,
	} {
		for _, stage := range []string{"dial", "in flight"} {
			if errors.Is(cause, os.ErrDeadlineExceeded) && stage == "in flight" {
				continue // the other case covers it: the request is forwarded after the deadline and answered
			}
			t.Run(fmt.Sprint(cause, " ", stage), func(t *testing.T) {
				t.Parallel()
				breakWhileWaiting(t, cause, stage)
			})
		}
	}
}

// breakWhileWaiting breaks the connection of a client while its request waits for a dial or is in flight.
func breakWhileWaiting(t *testing.T, cause error, stage string) {
	staysConnected := errors.Is(cause, os.ErrDeadlineExceeded)
	received, aborted := make(chan struct{}, 1), make(chan struct{}, 1)
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "other" || staysConnected {
			return testutil.Echo(conn, r, body)
		}
		received <- struct{}{}
		conn.Read(make([]byte, 1)) // returns when the node closes the connection
		aborted <- struct{}{}
		return false
	})
	var dials testutil.HoldingDialer
	listener := breakableListener{cause: cause, accepted: make(chan *breakableConn, 2)}
	cfg := configWithServers(server)
	for i := range cfg.Settings.Classes { // no attempt times out before the test fails
		class := &cfg.Settings.Classes[i]
		class.LatencyObjective, class.Deadline = 4*testutil.Timeout, 4*testutil.Timeout
	}
	n, _ := startNode(t, cfg, func(n *Node) {
		listener.TCPListener = n.listener.(*net.TCPListener)
		n.listener = listener
		if dials = holdDials(n); stage == "in flight" {
			close(dials.Release)
		}
	})
	client := dial(t, n)
	client.Send("POST", "/note/k", "leaving", "x", "120")
	testutil.Wait(t, dials.Dialed, "the connection to the endpoint")
	if stage == "in flight" {
		testutil.Wait(t, received, "the attempt at the server")
	}
	conn := testutil.Wait(t, listener.accepted, "the downstream connection")
	conn.breakConn()
	if staysConnected {
		testutil.Wait(t, conn.watchEnded, "the end of the wait for readability")
		close(dials.Release)
		client.Expect(t, 200, "for leaving")
		return
	}
	wantReceived := map[string]int{"other": 1}
	if stage == "dial" {
		testutil.Until(t, "the departure to be noticed", func() bool { return n.frontend.conns.Count() == 0 })
		close(dials.Release)
	} else {
		testutil.Wait(t, aborted, "the end of the attempt")
		wantReceived["leaving"] = 1 // forwarded before the connection broke
	}
	checkNothingForwarded(t, n, server, wantReceived)
}
