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

// hollowTest is a hollow node that runs until it is stopped, with a registry agent that lists the server s1.
type hollowTest struct {
	*hollow
	agent   *testutil.RegistryAgent
	delay   atomic.Int64 // of each attempt, in nanoseconds
	answers chan node.ResponseKind
	stop    context.CancelFunc
	ended   chan struct{}
}

// startHollow starts a hollow node whose attempts are served after a millisecond.
func startHollow(t *testing.T, polled bool) *hollowTest {
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
	h := &hollowTest{agent: agent, answers: make(chan node.ResponseKind, 10), ended: make(chan struct{})}
	h.delay.Store(int64(time.Millisecond))
	h.hollow, err = newHollow(cfg, func(server string) (time.Duration, balancer.AttemptResult) {
		if server != "s1" {
			t.Errorf("sent to %q", server)
		}
		return time.Duration(h.delay.Load()), balancer.Success
	}, testutil.DiscardLog())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		defer close(h.ended)
		h.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		testutil.Wait(t, h.ended, "the end")
	})
	return h
}

// callUntil makes a call whose answer goes to answers.
func (h *hollowTest) callUntil(deadline time.Duration) {
	h.call(load.Class, deadline, func(kind node.ResponseKind) { h.answers <- kind })
}

// A hollow node receives lists from discovery, records each that changes something, and answers calls from
// attempts that end in memory; a call without an answer in time is not served.
func TestHollowNode(t *testing.T) {
	for _, polled := range []bool{false, true} {
		t.Run(fmt.Sprint("polled=", polled), func(t *testing.T) {
			h := startHollow(t, polled)
			testutil.Until(t, "the list", func() bool {
				_, applied := h.appliedAt(int64(h.agent.Version()))
				return applied
			})
			testutil.Until(t, "readiness", h.ready)
			for range 5 {
				h.callUntil(testutil.Timeout)
			}
			for range 5 {
				if kind := testutil.Wait(t, h.answers, "an answer"); kind != node.ResponseServed {
					t.Errorf("answer %v, want served", kind)
				}
			}
			h.delay.Store(int64(time.Hour))
			h.callUntil(50 * time.Millisecond)
			if kind := testutil.Wait(t, h.answers, "an answer"); kind == node.ResponseServed {
				t.Error("a call that no attempt answers in time is served")
			}
			h.stop()
			testutil.Wait(t, h.ended, "the end")
			h.call(load.Class, testutil.Timeout, func(node.ResponseKind) { t.Error("answered after the end") })
		})
	}
}
