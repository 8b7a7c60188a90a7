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

// testTimeouts are those of a test that does not wait for them.
var testTimeouts = Timeouts{Connect: testutil.Timeout, Idle: time.Minute}

// newTestPool returns a pool that reuses connections without a delay.
func newTestPool(maxConns int) *Pool {
	pool := NewPool(monotime.New(), maxConns, testTimeouts)
	pool.ReuseDelay = 0
	return pool
}

// readyEntry is a ready endpoint whose uid is its address.
func readyEntry(address string) endpointlist.Entry {
	return endpointlist.Entry{Endpoint: balancer.Endpoint{ID: address, State: balancer.Ready}, Address: address}
}

// addEndpoint adds a ready endpoint to the pool's list.
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

// newTestAttempt returns an attempt at a ready endpoint with plenty of time.
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

// start begins the attempt and returns the channel that receives its outcome.
func (a *testAttempt) start() <-chan Outcome {
	outcome := make(chan Outcome, 1)
	go func() { outcome <- a.pool.Do(a.ctx, &a.Attempt) }()
	return outcome
}

// do makes the attempt, which must end within the limit of a test.
func (a *testAttempt) do(t *testing.T) Outcome {
	t.Helper()
	return testutil.Wait(t, a.start(), "the outcome of the attempt")
}

// adopt puts a connection among the idle ones, with a reader.
func (p *Pool) adopt(nc net.Conn, to endpointlist.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	p.idle.put(p.startReader(nc, to, nil))
}

// newRecordingServer accepts one connection, and reports all that came on it once the connection is closed.
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

// checkOutcome compares the result of an attempt and the number of connections that it leaves open.
func checkOutcome(t *testing.T, pool *Pool, got Outcome, want balancer.AttemptResult, open int) {
	t.Helper()
	if got.Result != want {
		t.Errorf("the result is %v, want %v", got.Result, want)
	}
	if n := pool.Connections(); n != open {
		t.Errorf("%d connections are open, want %d", n, open)
	}
}
