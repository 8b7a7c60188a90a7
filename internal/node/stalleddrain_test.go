package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"basaltdrum/internal/downstream"
	"basaltdrum/internal/testutil"
)

// observedContext calls onErr on each call of Err.
type observedContext struct {
	context.Context
	onErr func()
}

func (c observedContext) Err() error {
	c.onErr()
	return c.Context.Err()
}

// stalledDrain drains a node whose process was stalled until drainSchedule.answerAll and the drain limit had both
// passed. The drain runs in the goroutine of the test. It calls onAnswerAll when it tells the loop to answer all
// requests, and onLimitCheck each time that it checks the drain limit afterwards, which it does at least once for each
// check of the connections.
type stalledDrain struct {
	onAnswerAll, onLimitCheck   func()
	answerAllCount, limitChecks int
}

func (d *stalledDrain) run(t *testing.T, n *Node) error {
	t.Helper()
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	expired, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	ctx := observedContext{expired, func() {
		if d.answerAllCount > 0 {
			d.limitChecks++
			d.onLimitCheck()
		}
	}}
	served := make(chan struct{})
	close(served)
	drain := &drainer{clock: n.frontend.clock, conns: n.frontend.conns, post: func(Event) {
		d.answerAllCount++
		d.onAnswerAll()
	}}
	ln := downstream.NewListener(unused, drain.conns, 0, testutil.DiscardLog())
	return drain.awaitClosed(ctx, ln, served, func() bool { return true })
}

// startNodeWithOpenRequest starts a node that closes its connections after each response, with a request in flight that
// the server does not answer.
func startNodeWithOpenRequest(t *testing.T) (*Node, *testutil.Client) {
	t.Helper()
	received := make(chan struct{}, 1)
	server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		received <- struct{}{}
		io.Copy(io.Discard, conn)
		return false
	})
	n, _ := startNode(t, configWithServers(server), nil)
	client := dial(t, n)
	client.Send("POST", "/note/k", "open", "x", "60")
	testutil.Wait(t, received, "the attempt")
	n.frontend.drain.closeAfterResponse.Store(true)
	return n, client
}

// If a stall lasts until the time of the final responses and the drain limit have both passed, the node still sends the
// final responses before it gives up. That holds even if the loop answers, or the client reads, only after more checks.
func TestStalledDrainAnswersBeforeItGivesUp(t *testing.T) {
	t.Parallel()
	for limitChecks := range 3 {
		t.Run(fmt.Sprint("answered after checks=", limitChecks), func(t *testing.T) {
			t.Parallel()
			n, client := startNodeWithOpenRequest(t)
			answered := false
			answerAll := func() {
				answered = true
				n.loop.post(shutdownDeadline{})
				client.Expect(t, http.StatusBadGateway, "")
				client.Close()
				testutil.Until(t, "all connections to be closed", func() bool { return n.frontend.conns.Count() == 0 })
			}
			d := &stalledDrain{}
			d.onAnswerAll = func() {
				if limitChecks == 0 {
					answerAll()
				}
			}
			d.onLimitCheck = func() {
				if d.limitChecks == limitChecks {
					answerAll()
				}
			}
			if err := d.run(t, n); err != nil || !answered {
				t.Errorf("got answered %v, error %v; want true, nil", answered, err)
			}
		})
	}
}

// If connections are still open after the last checks, a stalled drain returns an error.
func TestStalledDrainGivesUpAfterTheLastChecks(t *testing.T) {
	t.Parallel()
	n, _ := startNodeWithOpenRequest(t)
	d := &stalledDrain{onAnswerAll: func() {}, onLimitCheck: func() {}}
	if err := d.run(t, n); !errors.Is(err, context.DeadlineExceeded) || d.answerAllCount != 1 {
		t.Errorf("got error %v after %d shutdown deadlines, want DeadlineExceeded after 1", err, d.answerAllCount)
	}
	if spent, left := finalResponseChecks*drainPollInterval, killMargin; spent >= left {
		t.Errorf("got %v for the last checks, want less than the %v before the kill", spent, left)
	}
}
