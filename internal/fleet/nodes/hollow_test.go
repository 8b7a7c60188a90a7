package nodes

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/node"
	"basaltdrum/internal/testutil"
)

// testHollow is a running hollow node with a registry agent that lists the server s1.
type testHollow struct {
	*hollow
	agent       *testutil.RegistryAgent
	attemptTime atomic.Int64 // in nanoseconds
	responses   chan node.ResponseKind
	stop        context.CancelFunc
	exited      chan struct{}
}

// startHollow starts a hollow node whose attempts succeed after a millisecond.
func startHollow(t *testing.T, polled bool) *testHollow {
	t.Helper()
	agent := testutil.NewRegistryAgent(t)
	agent.Set(false, testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
	text, err := NodeSpec{
		Name: "h", Replicas: 1, Listen: "127.0.0.1:1", Discovery: agent.Addr().String(), PollDiscovery: polled,
	}.Configuration()
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := node.ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	h := &testHollow{agent: agent, responses: make(chan node.ResponseKind, 10), exited: make(chan struct{})}
	h.attemptTime.Store(int64(time.Millisecond))
	h.hollow, err = newHollow(cfg, func(server string) (time.Duration, balancer.AttemptResult) {
		if server != "s1" {
			t.Errorf("attempt at %q, want s1", server)
		}
		return time.Duration(h.attemptTime.Load()), balancer.Success
	}, testutil.DiscardLog())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		defer close(h.exited)
		h.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		testutil.Wait(t, h.exited, "the hollow node to stop")
	})
	return h
}

// callWithDeadline makes a call whose response is sent to the channel responses.
func (h *testHollow) callWithDeadline(deadline time.Duration) {
	h.call(load.Class, deadline, func(kind node.ResponseKind) { h.responses <- kind })
}

// A hollow node receives lists from discovery, records each that changes something, and answers calls by simulated
// attempts. A call whose attempts take longer than its deadline is not served.
func TestHollowNode(t *testing.T) {
	for _, polled := range []bool{false, true} {
		t.Run(fmt.Sprint("polled=", polled), func(t *testing.T) {
			h := startHollow(t, polled)
			testutil.Until(t, "the list to be applied", func() bool {
				_, applied := h.appliedAt(int64(h.agent.Version()))
				return applied
			})
			testutil.Until(t, "readiness", h.ready)
			for range 5 {
				h.callWithDeadline(testutil.Timeout)
			}
			for range 5 {
				if kind := testutil.Wait(t, h.responses, "a response"); kind != node.ResponseServed {
					t.Errorf("response %v, want served", kind)
				}
			}
			h.attemptTime.Store(int64(time.Hour))
			h.callWithDeadline(50 * time.Millisecond)
			if kind := testutil.Wait(t, h.responses, "a response"); kind == node.ResponseServed {
				t.Error("a call whose attempt takes longer than its deadline is served, want it not served")
			}
			h.stop()
			testutil.Wait(t, h.exited, "the hollow node to stop")
			h.call(load.Class, testutil.Timeout, func(node.ResponseKind) { t.Error("got a response, want none") })
		})
	}
}
