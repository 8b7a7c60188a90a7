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

// A pool at its limit closes an idle connection before it opens a new one. If there is none, the attempt is not sent,
// which does not count against the endpoint.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	idleServer := testutil.NewServer(t, testutil.Echo)
	busyServer, received, release := testutil.NewHoldingServer(t, "id")
	pool := newTestPool(1)
	checkOutcome(t, pool, newTestAttempt(t, pool, idleServer.Address()).do(t), balancer.Success, 1)
	busy := newTestAttempt(t, pool, busyServer.Address()).start()
	testutil.Wait(t, received, "the attempt whose connection replaces the idle one")
	checkOutcome(t, pool, newTestAttempt(t, pool, idleServer.Address()).do(t), balancer.NotSent, 1)
	release()
	checkOutcome(t, pool, testutil.Wait(t, busy, "the outcome"), balancer.Success, 1)
	if n := idleServer.RequestCount(); n != 1 {
		t.Errorf("%d requests at the first server, want 1", n)
	}
}

// Allowance limits a pool as its own limit does.
func TestConnectionsBeyondTheAllowance(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	pool := newTestPool(10)
	allowance := 0
	pool.Allowance = func() int { return allowance - pool.Connections() } // Allowance may call Connections
	checkOutcome(t, pool, newTestAttempt(t, pool, server.Address()).do(t), balancer.NotSent, 0)
	allowance = 1
	checkOutcome(t, pool, newTestAttempt(t, pool, server.Address()).do(t), balancer.Success, 1)
}

func TestIdleConnectionsCloseBeforeTheServersDo(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	pool := newTestPool(10)
	pool.SetTimeouts(Timeouts{Connect: testutil.Timeout, Idle: 20 * time.Millisecond})
	newTestAttempt(t, pool, server.Address()).do(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go pool.CloseExpired(ctx)
	testutil.Until(t, "the close of the idle connection", func() bool {
		stats := pool.Stats()
		return stats.Open == 0 && stats.IdleInstances == 0
	})
	if limit := testTimeouts.idleLimit(); limit >= testTimeouts.Idle {
		t.Errorf("idle connections are kept for %v, want less than %v", limit, testTimeouts.Idle)
	}
}

func TestStatsCountConnectionsAndEndpoints(t *testing.T) {
	server, received, release := testutil.NewHoldingServer(t, "held")
	pool := newTestPool(10)
	pool.UpdateEndpoints([]endpointlist.Entry{readyEntry("127.0.0.1:1")}, true)
	newTestAttempt(t, pool, server.Address()).do(t)
	if got, want := pool.Stats(), (Stats{Open: 1, Idle: 1, IdleInstances: 1, Endpoints: 2}); got != want {
		t.Errorf("after an attempt: %+v, want %+v", got, want)
	}
	held := newTestAttempt(t, pool, server.Address())
	held.Request.ID = "held"
	outcome := held.start()
	testutil.Wait(t, received, "the request")
	if got := pool.Stats(); got.Open != 1 || got.Idle != 0 {
		t.Errorf("during an attempt: %+v, want 1 open and 0 idle connections", got)
	}
	release()
	testutil.Wait(t, outcome, "the outcome")
	pool.UpdateEndpoints(nil, true)
	if got := pool.Stats(); got != (Stats{}) {
		t.Errorf("without endpoints: %+v, want zeros", got)
	}
}

// A duplicate of a response must not be taken for the response to the next request, however late during the reuse delay
// it arrives. That request uses another connection, and the connection on which the duplicate arrives is closed.
func TestLateDuplicateResponseIsDiscarded(t *testing.T) {
	conns := make(chan net.Conn, 10)
	server := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		conns <- c
		return testutil.Echo(c, r, body)
	})
	pool := NewPool(monotime.New(), 10, testTimeouts)
	delay, limit := testTimeouts.reuseDelay(pool.ReuseDelay), testTimeouts.idleLimit()
	if delay <= 0 || delay >= limit {
		t.Fatalf("reuse delay %v, want more than 0 and less than the idle limit %v", delay, limit)
	}
	pool.SetTimeouts(Timeouts{Connect: testutil.Timeout, Idle: 1000 * testutil.Timeout})
	pool.ReuseDelay = 100 * testutil.Timeout
	checkAttempt := func(id string, wantConns int) {
		t.Helper()
		a := newTestAttempt(t, pool, server.Address())
		a.Request.ID = id
		if outcome := a.do(t); string(outcome.Body) != "for "+id || server.ConnCount() != wantConns {
			t.Errorf("body %q on %d connections, want %q on %d", outcome.Body, server.ConnCount(), "for "+id, wantConns)
		}
	}
	checkAttempt("one", 1)
	first := testutil.Wait(t, conns, "the first connection")
	checkAttempt("two", 2)
	testutil.RespondOK(first, "for one")
	testutil.Until(t, "the close of the first connection", func() bool { return pool.Connections() == 1 })
	pool.endReuseDelay(readyEntry(server.Address()).Instance())
	checkAttempt("three", 2)
}

// endReuseDelay makes the idle connections to an instance reusable at once.
func (p *Pool) endReuseDelay(instance endpointlist.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[instance] {
		c.reusableAt = 0
	}
}

// A connection that is established too late for its attempt is used by the next one.
func TestLateConnectionIsPooled(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	pool := newTestPool(10)
	dials := testutil.NewHoldingDialer()
	pool.Dial = dials.Dial
	late := newTestAttempt(t, pool, server.Address())
	outcome := late.start()
	testutil.Wait(t, dials.Dialed, "the connection")
	late.Request.MarkDeparted()
	close(dials.Release)
	testutil.Wait(t, outcome, "the outcome")
	checkOutcome(t, pool, newTestAttempt(t, pool, server.Address()).do(t), balancer.Success, 1)
	if server.ConnCount() != 1 || server.RequestCount() != 1 {
		t.Errorf("the server has %d connections and %d requests, want 1 and 1",
			server.ConnCount(), server.RequestCount())
	}
}
