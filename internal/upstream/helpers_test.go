package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// testTimeouts are the timeouts for tests that do not wait for them.
var testTimeouts = Timeouts{Connect: testutil.Timeout, Idle: time.Minute}

// newTestPool returns a pool that reuses connections without a delay.
func newTestPool(maxConns int) *Pool {
	pool := NewPool(monotime.New(), maxConns, testTimeouts)
	pool.ReuseDelay = 0
	return pool
}

// readyEntry returns the list entry of a ready endpoint whose uid is its address.
func readyEntry(address string) endpointlist.Entry {
	return endpointlist.Entry{Endpoint: balancer.Endpoint{ID: address, State: balancer.Ready}, Address: address}
}

// addEndpoint adds a ready endpoint to the pool's list and returns its instance.
func addEndpoint(pool *Pool, address string) endpointlist.Instance {
	entry := readyEntry(address)
	pool.UpdateEndpoints([]endpointlist.Entry{entry}, false)
	return entry.Instance()
}

// testAttempt is an attempt with its pool, and the context that cancels it.
type testAttempt struct {
	Attempt
	pool   *Pool
	ctx    context.Context
	cancel context.CancelFunc
}

// newTestAttempt returns an attempt at a ready endpoint with a deadline that a passing test does not reach.
func newTestAttempt(t *testing.T, pool *Pool, address string) *testAttempt {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return &testAttempt{
		Attempt: Attempt{
			Request:  &Request{ID: "id", Method: "POST", Target: "/note/k", Body: []byte("body")},
			Instance: addEndpoint(pool, address),
			Deadline: pool.clock.Now() + testutil.Timeout,
		},
		pool: pool, ctx: ctx, cancel: cancel,
	}
}

// start makes the attempt in another goroutine, and returns the channel that receives its outcome.
func (a *testAttempt) start() <-chan Outcome {
	outcome := make(chan Outcome, 1)
	go func() { outcome <- a.pool.Do(a.ctx, &a.Attempt) }()
	return outcome
}

// do makes the attempt and returns its outcome. It fails the test if the attempt does not end within testutil.Timeout.
func (a *testAttempt) do(t *testing.T) Outcome {
	t.Helper()
	return testutil.Wait(t, a.start(), "the outcome of the attempt")
}

// adopt adds a connection to the idle ones and starts its reader.
func (p *Pool) adopt(nc net.Conn, instance endpointlist.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	p.idle.put(p.startReader(nc, instance, nil))
}

// newRecordingServer starts a server that accepts one connection and, once it is closed, sends all bytes that it has
// received to the channel.
func newRecordingServer(t *testing.T) (address string, received <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	texts := make(chan string, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		text, _ := io.ReadAll(c)
		texts <- string(text)
	}()
	return listener.Addr().String(), texts
}

// checkOutcome checks the result of an attempt and the number of connections that it leaves open.
func checkOutcome(t *testing.T, pool *Pool, got Outcome, want balancer.AttemptResult, wantOpen int) {
	t.Helper()
	if got.Result != want {
		t.Errorf("the result is %v, want %v", got.Result, want)
	}
	if n := pool.Connections(); n != wantOpen {
		t.Errorf("%d connections are open, want %d", n, wantOpen)
	}
}
