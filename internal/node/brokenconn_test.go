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

// A client whose connection breaks, by whatever error, has departed: nothing begins for it any more, and its
// attempt is cancelled. Only the node's own read deadline says nothing about the client.
func TestBrokenConnectionIsADeparture(t *testing.T) {
	t.Parallel()
	for _, cause := range []error{
		syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.EPIPE, os.ErrDeadlineExceeded,
	} {
		for _, where := range []string{"dial", "in flight"} {
			if errors.Is(cause, os.ErrDeadlineExceeded) && where == "in flight" {
				continue // one row shows it: the request is forwarded after the deadline, and answered
			}
			t.Run(fmt.Sprint(cause, " ", where), func(t *testing.T) {
				t.Parallel()
				breakWhileWaiting(t, cause, where)
			})
		}
	}
}

func breakWhileWaiting(t *testing.T, cause error, where string) {
	stays := errors.Is(cause, os.ErrDeadlineExceeded)
	got, calledOff := make(chan struct{}, 1), make(chan struct{}, 1)
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "other" || stays {
			return testutil.Echo(c, r, body)
		}
		got <- struct{}{}
		c.Read(make([]byte, 1)) // until the node closes
		calledOff <- struct{}{}
		return false
	})
	var dials testutil.HoldingDialer
	conns := breakableListener{cause: cause, accepted: make(chan *breakableConn, 2)}
	cfg := configWithServers(s)
	for i := range cfg.Settings.Classes { // no attempt times out before the test fails
		class := &cfg.Settings.Classes[i]
		class.LatencyObjective, class.Deadline = 4*testutil.Timeout, 4*testutil.Timeout
	}
	n, _ := startNode(t, cfg, func(n *Node) {
		conns.TCPListener = n.listener.(*net.TCPListener)
		n.listener = conns
		if dials = holdDials(n); where == "in flight" {
			close(dials.Release)
		}
	})
	c := dial(t, n)
	c.Send("POST", "/note/k", "leaving", "x", "120")
	testutil.Wait(t, dials.Dialed, "the connection")
	if where == "in flight" {
		testutil.Wait(t, got, "the attempt")
	}
	conn := testutil.Wait(t, conns.accepted, "the downstream connection")
	conn.breakConn()
	if stays {
		testutil.Wait(t, conn.watchEnded, "the end of the watch")
		close(dials.Release)
		c.Expect(t, 200, "for leaving")
		return
	}
	seen := map[string]int{"other": 1}
	if where == "dial" {
		testutil.Until(t, "the node to notice", func() bool { return n.frontend.conns.Count() == 0 })
		close(dials.Release)
	} else {
		testutil.Wait(t, calledOff, "the end of the attempt")
		seen["leaving"] = 1 // begun before its connection broke
	}
	checkNothingForwarded(t, n, s, seen)
}
