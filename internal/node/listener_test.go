package node

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// acceptErrors are errors that accept may return although the listener works, and an unknown error.
var acceptErrors = []error{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
	syscall.ENETDOWN, syscall.EPERM, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.EINTR,
	syscall.ETIMEDOUT, errors.New("an unknown error"),
}

// A failed accept is retried: the node keeps serving.
func TestFailedAcceptDoesNotStopTheNode(t *testing.T) {
	t.Parallel()
	for _, cause := range acceptErrors {
		t.Run(cause.Error(), func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, testutil.Echo)
			n, stop := startNode(t, configWithServers(server), func(n *Node) {
				n.drainSchedule = drainSchedule{closeConns: time.Millisecond, answerAll: testutil.Timeout}
				n.drainLimit = 2 * testutil.Timeout
				ln, fail := n.listener.(*net.TCPListener), testutil.FailTimes(cause, 3)
				n.listener = testutil.FailingListener{TCPListener: ln, Fail: fail}
			})
			client := dial(t, n)
			client.SendGet("r")
			client.Expect(t, 200, "for r")
			if err := stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Failed accepts during a drain neither abort a request in flight nor lose one in the accept queue.
func TestFailedAcceptDuringDrainLosesNoRequest(t *testing.T) {
	t.Parallel()
	for _, cause := range acceptErrors {
		t.Run(cause.Error(), func(t *testing.T) {
			t.Parallel()
			server, received, release := testutil.NewHoldingServer(t, "")
			draining, resume := make(chan struct{}), make(chan struct{})
			fail := testutil.FailTimes(cause, 3)
			n, stop := startNode(t, configWithServers(server), func(n *Node) {
				n.drainSchedule = drainSchedule{closeConns: time.Millisecond, answerAll: testutil.Timeout}
				n.drainLimit = 2 * testutil.Timeout
				n.listener = testutil.FailingListener{TCPListener: n.listener.(*net.TCPListener), Fail: func() error {
					if !n.frontend.drain.started.Load() {
						return nil
					}
					select {
					case <-resume:
					default:
						close(draining)
						<-resume
					}
					return fail()
				}}
			})
			held := dial(t, n)
			held.SendGet("held")
			testutil.Wait(t, received, "the attempt")
			stopped := make(chan error, 1)
			go func() { stopped <- stop() }()
			testutil.Wait(t, draining, "an accept during the drain")
			queued := dial(t, n)
			queued.SendGet("queued")
			close(resume)
			testutil.Wait(t, received, "the attempt for the queued request")
			release()
			held.Expect(t, 200, "for held")
			queued.Expect(t, 200, "for queued")
			if err := testutil.Wait(t, stopped, "the end of Run"); err != nil {
				t.Error(err)
			}
		})
	}
}

// If every accept fails, the node still drains, whether or not it is in the backoff before the next accept.
func TestNodeDrainsWhileEveryAcceptFails(t *testing.T) {
	t.Parallel()
	for _, inService := range []bool{true, false} {
		t.Run(fmt.Sprint("in service=", inService), func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{}, 1)
			server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
				received <- struct{}{}
				conn.Read(make([]byte, 1)) // returns when the node closes the connection
				return false
			})
			var failing atomic.Bool
			failed := make(chan struct{}, 1)
			n, stop := startNode(t, configWithServers(server), func(n *Node) {
				n.drainSchedule = drainSchedule{closeConns: time.Millisecond, answerAll: 100 * time.Millisecond}
				n.drainLimit = 2 * testutil.Timeout
				n.listener = testutil.FailingListener{TCPListener: n.listener.(*net.TCPListener), Fail: func() error {
					if !failing.Load() {
						return nil
					}
					select {
					case failed <- struct{}{}:
					default:
					}
					return syscall.EMFILE
				}}
			})
			held := dial(t, n)
			held.Send("POST", "/note/k", "held", "x", "60")
			testutil.Wait(t, received, "the attempt")
			failing.Store(true)
			if inService {
				dial(t, n) // ends the blocked accept
				testutil.Wait(t, failed, "a failed accept")
			}
			stopped := make(chan error, 1)
			go func() { stopped <- stop() }()
			held.Expect(t, http.StatusBadGateway, "") // at the shutdown deadline
			if err := testutil.Wait(t, stopped, "the end of Run"); err != nil {
				t.Error(err)
			}
		})
	}
}
