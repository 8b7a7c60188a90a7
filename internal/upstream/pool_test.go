package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// testTimeouts are those of a test that does not wait for them.
var testTimeouts = Timeouts{Connect: testutil.Limit, Idle: time.Minute}

// testPool is an upstream pool that reuses connections without a delay.
func testPool(most int) *Pool {
	b := NewPool(monotime.New(), most, testTimeouts)
	b.ReuseDelay = 0
	return b
}

// testInstance puts a server that is named by its address into the pool's list.
func testInstance(b *Pool, endpoint string) endpointlist.Instance {
	t := endpointlist.Entry{Endpoint: balancer.Endpoint{ID: endpoint, State: balancer.Ready}, Address: endpoint}
	b.UpdateEndpoints([]endpointlist.Entry{t}, false)
	return t.Instance()
}

// instanceOf is a server as testInstance names it.
func instanceOf(s *testutil.Server) endpointlist.Instance {
	return endpointlist.Instance{UID: s.Address(), Address: s.Address()}
}

// testedAttempt is an attempt that a test may cancel.
type testedAttempt struct {
	Attempt
	pool   *Pool
	ctx    context.Context
	cancel context.CancelFunc
}

// testAttempt is an attempt at an address with plenty of time.
func testAttempt(t *testing.T, b *Pool, endpoint string) *testedAttempt {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return &testedAttempt{
		Attempt: Attempt{
			Request:  &Request{ID: "id", Method: "POST", Target: "/note/k", Body: []byte("body")},
			Instance: testInstance(b, endpoint), Deadline: b.clock.Now() + testutil.Limit,
		},
		pool: b, ctx: ctx, cancel: cancel,
	}
}

func (a *testedAttempt) do() Outcome { return a.pool.Do(a.ctx, &a.Attempt) }

// doAttempt makes an attempt that must end within the limit.
func doAttempt(t *testing.T, b *Pool, a *testedAttempt) Outcome {
	t.Helper()
	end := make(chan Outcome, 1)
	go func() { end <- a.do() }()
	return testutil.Wait(t, end, "the attempt's end")
}

// adopt puts a connection among the idle ones.
func (b *Pool) adopt(nc net.Conn, to endpointlist.Instance) {
	waiter := make(chan exchangeResult, 1)
	b.open++
	c := b.startReader(nc, to, waiter)
	b.mu.Lock()
	defer b.mu.Unlock()
	c.waiter = nil
	b.idle[to] = append(b.idle[to], c)
}

// A node short of descriptors closes idle connections first; its own lack of them is no fault of the server.
func TestUpstreamConnectionsBeyondTheBudget(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	one, two := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-hold
		return testutil.Echo(c, r, body)
	})
	b := testPool(1)
	if r := doAttempt(t, b, testAttempt(t, b, one.Address())); r.Result != balancer.Success {
		t.Fatalf("ending %d", r.Result)
	}
	end := make(chan Outcome, 1)
	go func() { end <- testAttempt(t, b, two.Address()).do() }()
	testutil.Wait(t, got, "the attempt that took the idle one's place")
	if r := doAttempt(t, b, testAttempt(t, b, one.Address())); r.Result != balancer.NotSent {
		t.Errorf("with no descriptor left: ending %d, want NotSent", r.Result)
	}
	close(hold)
	if r := testutil.Wait(t, end, "the attempt"); r.Result != balancer.Success {
		t.Errorf("ending %d", r.Result)
	}
	if one.Received() != 1 || b.Connections() != 1 {
		t.Errorf("%d requests at the first server, %d connections open", one.Received(), b.Connections())
	}
}

func TestIdleConnectionsCloseBeforeTheServersDo(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	b := testPool(10)
	b.SetTimeouts(Timeouts{Connect: testutil.Limit, Idle: 20 * time.Millisecond})
	doAttempt(t, b, testAttempt(t, b, s.Address()))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go b.CloseExpired(ctx)
	testutil.Until(t, "the close", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open == 0 && len(b.idle) == 0
	})
	if full := testPool(1); full.idleTimeout() >= testTimeouts.Idle {
		t.Errorf("kept for %v", full.idleTimeout())
	}
}

// A second copy of a response is no response to the next request, however late during the reuse delay it comes:
// that request goes on another connection, and the one on which the copy comes is closed.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	conns := make(chan net.Conn, 10)
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		conns <- c
		return testutil.Echo(c, r, body)
	})
	b := NewPool(monotime.New(), 10, testTimeouts)
	if b.reuseDelay() <= 0 || b.reuseDelay() >= b.idleTimeout() {
		t.Fatalf("connections rest for %v and stay for %v", b.reuseDelay(), b.idleTimeout())
	}
	b.SetTimeouts(Timeouts{Connect: testutil.Limit, Idle: 1000 * testutil.Limit})
	b.ReuseDelay = 100 * testutil.Limit
	send := func(id string) Outcome {
		a := testAttempt(t, b, s.Address())
		a.Request.ID = id
		return doAttempt(t, b, a)
	}
	if r := send("one"); string(r.Body) != "for one" {
		t.Fatalf("got %q", r.Body)
	}
	first := testutil.Wait(t, conns, "the first connection")
	if r := send("two"); string(r.Body) != "for two" || s.Accepted() != 2 {
		t.Errorf("got %q on %d connections", r.Body, s.Accepted())
	}
	testutil.ReplyOK(first, "for one")
	testutil.Until(t, "the close", func() bool { return b.Connections() == 1 })
	b.mu.Lock()
	for _, c := range b.idle[instanceOf(s)] {
		c.reusableAt = 0
	}
	b.mu.Unlock()
	if r := send("three"); string(r.Body) != "for three" || s.Accepted() != 2 {
		t.Errorf("got %q on %d connections", r.Body, s.Accepted())
	}
}

// A connection that was established too late for its attempt serves the next one.
func TestLateConnectionIsPooled(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	b := testPool(10)
	held := testutil.NewHeldDials()
	b.Dial = held.Dial
	a := testAttempt(t, b, s.Address())
	end := make(chan Outcome, 1)
	go func() { end <- a.do() }()
	testutil.Wait(t, held.Dialed, "the connection")
	a.Request.MarkDeparted()
	close(held.Release)
	testutil.Wait(t, end, "the attempt's end")
	if r := doAttempt(t, b, testAttempt(t, b, s.Address())); r.Result != balancer.Success || s.Accepted() != 1 || s.Received() != 1 {
		t.Errorf("ending %d, %d connections, %d requests", r.Result, s.Accepted(), s.Received())
	}
}
