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

// acceptErrors are errors that accept may return though its listener is sound, and an unknown one.
var acceptErrors = []error{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
	syscall.ENETDOWN, syscall.EPERM, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.EINTR,
	syscall.ETIMEDOUT, errors.New("an unknown error"),
}

// A failed accept is retried: the node keeps serving.
func TestFailedAcceptDoesNotEndTheNode(t *testing.T) {
	t.Parallel()
	for _, cause := range acceptErrors {
		t.Run(cause.Error(), func(t *testing.T) {
			t.Parallel()
			s := testutil.NewServer(t, testutil.Echo)
			n, stop := startNode(t, configWithServers(s), func(n *Node) {
				n.drainSchedule = drainSchedule{closeConns: time.Millisecond, answerAll: testutil.Timeout}
				n.drainLimit = 2 * testutil.Timeout
				ln, fail := n.listener.(*net.TCPListener), testutil.FailTimes(cause, 3)
				n.listener = testutil.FailingListener{TCPListener: ln, Fail: fail}
			})
			c := dial(t, n)
			c.SendGet("r")
			c.Expect(t, 200, "for r")
			if err := stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Failed accepts while the node drains neither abort a request in flight nor lose one that waits in the listener's
// queue.
func TestFailedAcceptWhileDrainingLosesNoRequest(t *testing.T) {
	t.Parallel()
	for _, cause := range acceptErrors {
		t.Run(cause.Error(), func(t *testing.T) {
			t.Parallel()
			s, got, release := testutil.NewHoldingServer(t, "")
			draining, resume := make(chan struct{}), make(chan struct{})
			fail := testutil.FailTimes(cause, 3)
			n, stop := startNode(t, configWithServers(s), func(n *Node) {
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
			testutil.Wait(t, got, "the attempt")
			end := make(chan error, 1)
			go func() { end <- stop() }()
			testutil.Wait(t, draining, "an accept after the listener was shut")
			queued := dial(t, n)
			queued.SendGet("queued")
			close(resume)
			testutil.Wait(t, got, "the attempt for the queued request")
			release()
			held.Expect(t, 200, "for held")
			queued.Expect(t, 200, "for queued")
			if err := testutil.Wait(t, end, "the node's end"); err != nil {
				t.Error(err)
			}
		})
	}
}

// Where every accept fails, the node still shuts down in order, whether or not it is backing off before the next
// accept.
func TestNodeDrainsWhileEveryAcceptFails(t *testing.T) {
	t.Parallel()
	for _, inService := range []bool{true, false} {
		t.Run(fmt.Sprint("in service=", inService), func(t *testing.T) {
			t.Parallel()
			got := make(chan struct{}, 1)
			s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
				got <- struct{}{}
				c.Read(make([]byte, 1)) // until the node closes
				return false
			})
			var failing atomic.Bool
			failed := make(chan struct{}, 1)
			n, stop := startNode(t, configWithServers(s), func(n *Node) {
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
			testutil.Wait(t, got, "the attempt")
			failing.Store(true)
			if inService {
				dial(t, n) // ends the accept that waits
				testutil.Wait(t, failed, "a failed accept")
			}
			end := make(chan error, 1)
			go func() { end <- stop() }()
			held.Expect(t, http.StatusBadGateway, "") // at the shutdown deadline
			if err := testutil.Wait(t, end, "the node's end"); err != nil {
				t.Error(err)
			}
		})
	}
}
