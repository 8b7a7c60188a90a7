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

// observedContext calls onErr whenever it is asked for its error.
type observedContext struct {
	context.Context
	onErr func()
}

func (c observedContext) Err() error {
	c.onErr()
	return c.Context.Err()
}

// heldUpDrain drains a node that was held up until the time to answer all and its limit had both passed. The drain
// runs in the goroutine of the test, which sees each order to the loop to answer all, and each later look of the
// drain at its limit, of which there is at least one for each check.
type heldUpDrain struct {
	onOrder, onLook func()
	orders, looks   int
}

func (d *heldUpDrain) run(t *testing.T, n *Node) error {
	t.Helper()
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	passed, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	ctx := observedContext{passed, func() {
		if d.orders > 0 {
			d.looks++
			d.onLook()
		}
	}}
	served := make(chan struct{})
	close(served)
	drain := &drainer{clock: n.frontend.clock, conns: n.frontend.conns, post: func(Event) {
		d.orders++
		d.onOrder()
	}}
	ln := downstream.NewListener(unused, drain.conns, 0, testutil.DiscardLog())
	return drain.awaitClosed(ctx, ln, served, func() bool { return true })
}

// startNodeWithOpenRequest starts a node that is to close its connections, with a request that no server answers.
func startNodeWithOpenRequest(t *testing.T) (*Node, *testutil.Client) {
	t.Helper()
	got := make(chan struct{}, 1)
	s := testutil.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		got <- struct{}{}
		io.Copy(io.Discard, c)
		return false
	})
	n, _ := startNode(t, configWithServers(s), nil)
	c := dial(t, n)
	c.Send("POST", "/note/k", "open", "x", "60")
	testutil.Wait(t, got, "the attempt")
	n.frontend.drain.closeAfterResponse.Store(true)
	return n, c
}

// A node that is held up until the time of the final answers and its limit have both passed gives them before it
// gives up, also if the loop comes to the order, or the client to its response, only after further checks.
func TestHeldUpDrainAnswersBeforeItGivesUp(t *testing.T) {
	t.Parallel()
	for looks := range 3 {
		t.Run(fmt.Sprint("answered after looks=", looks), func(t *testing.T) {
			t.Parallel()
			n, c := startNodeWithOpenRequest(t)
			answered := false
			answer := func() {
				answered = true
				n.loop.post(shutdownDeadline{})
				c.Expect(t, http.StatusBadGateway, "")
				c.Close()
				testutil.Until(t, "no connection to be left", func() bool { return n.frontend.conns.Count() == 0 })
			}
			d := &heldUpDrain{}
			d.onOrder = func() {
				if looks == 0 {
					answer()
				}
			}
			d.onLook = func() {
				if d.looks == looks {
					answer()
				}
			}
			if err := d.run(t, n); err != nil || !answered {
				t.Errorf("answered: %v, error: %v", answered, err)
			}
		})
	}
}

// A node that is held up does end: with an error, if its connections stay open past the last checks.
func TestHeldUpDrainGivesUpAfterTheLastChecks(t *testing.T) {
	t.Parallel()
	n, _ := startNodeWithOpenRequest(t)
	d := &heldUpDrain{onOrder: func() {}, onLook: func() {}}
	if err := d.run(t, n); !errors.Is(err, context.DeadlineExceeded) || d.orders != 1 {
		t.Errorf("error %v, after %d orders to answer all", err, d.orders)
	}
	if spent, left := finalResponseChecks*drainPollInterval, killMargin; spent >= left {
		t.Errorf("the last checks take %v of the %v before the kill", spent, left)
	}
}
