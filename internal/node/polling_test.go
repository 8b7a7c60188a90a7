package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// Where lists are polled, a watch follows only a Subscribe, and its failure is reported.
func TestPolledDiscoveryFollowsSubscribe(t *testing.T) {
	ag := testutil.NewRegistryAgent(t)
	events := make(chan event, 10)
	cfg := testConfig("")
	cfg.Discovery = ag.Addr().String()
	cfg.Settings.PollDiscovery = true
	d := newDiscovery(cfg, 7, func(e event) { events <- e }, testutil.DiscardLog())
	ag.Set(false, testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.runPolled(ctx)
	d.subscribe()
	if q := testutil.Wait(t, ag.Calls, "a watch"); !strings.HasPrefix(q, "from=7&") {
		t.Errorf("called with %q", q)
	}
	if e, ok := testutil.Wait(t, events, "the list").(listReceived); !ok || len(e.list.Entries) != 1 {
		t.Errorf("got %v", e)
	}
	testutil.Wait(t, ag.Calls, "the watch to go on")
	ag.Set(false, "{bad %d")
	if e, ok := testutil.Wait(t, events, "the failure").(subscriptionFailed); !ok {
		t.Errorf("got %v", e)
	}
	select {
	case q := <-ag.Calls:
		t.Errorf("called with %q without a Subscribe", q)
	default:
	}
}

// Where lists are polled, a changed discovery address opens a watch though none is in progress: what discovery has
// there counts as notified whether it was polled or not.
func TestAddressChangePollsAnew(t *testing.T) {
	ag := testutil.NewRegistryAgent(t)
	ag.Set(false, testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
	events := make(chan event, 10)
	cfg := testConfig("")
	cfg.Settings.PollDiscovery = true
	d := newDiscovery(cfg, 7, func(e event) { events <- e }, testutil.DiscardLog())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.runPolled(ctx)
	d.setAddress(ag.Addr().String())
	if q := testutil.Wait(t, ag.Calls, "a call"); q != "" {
		t.Errorf("called with %q, want the complete list", q)
	}
	if e, ok := testutil.Wait(t, events, "the list").(listReceived); !ok || len(e.list.Entries) != 1 {
		t.Errorf("got %v", e)
	}
}

// However rarely a deployment lets a node poll, a watch event counts as notified 6 s after the watch became
// unresponsive: the module's backoff between its calls is a part of that.
func TestPollBackoffIsBoundedByTheNotificationTime(t *testing.T) {
	for seed := range uint64(20) {
		cfg := testConfig(testutil.CompleteList())
		cfg.Settings.PollDiscovery, cfg.Settings.PollWithin, cfg.Seed = true, time.Hour, seed
		n, err := New(cfg, testutil.DiscardLog())
		if err != nil {
			t.Fatal(err)
		}
		n.listener.Close()
		for range 6 { // the wait doubles with each failure
			n.loop.handleEvent(subscriptionFailed{})
		}
		for _, a := range n.loop.timers {
			if left := n.loop.clock.Until(a.at); left > notifiedWithin/4 {
				t.Fatalf("seed %d: polls %v from now", seed, left)
			}
		}
	}
}

// A discovery that refuses connections is not called again before a minimum wait, however short the backoff of the
// settings is, and at once if its address changes meanwhile.
func TestRefusedDiscoveryIsNotPolledInAHotLoop(t *testing.T) {
	for _, within := range []time.Duration{0, time.Millisecond, time.Hour} {
		t.Run(fmt.Sprint(within), func(t *testing.T) {
			cfg := testConfig(testutil.CompleteList())
			cfg.Discovery, cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = testutil.ClosedPort(t), true, within
			dials, waits := make(chan struct{}, 1000), make(chan time.Duration, 1000)
			clock := make(chan time.Time)
			n, _ := startNode(t, cfg, func(n *Node) {
				n.discovery.after = func(d time.Duration) <-chan time.Time {
					waits <- d
					return clock
				}
				n.discovery.currentAddress().client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
					dials <- struct{}{}
					return nil, syscall.ECONNREFUSED
				}
			})
			n.discovery.subscribe()
			for range 5 {
				testutil.Wait(t, dials, "a call")
				if d := testutil.Wait(t, waits, "the wait"); d != retryInterval {
					t.Errorf("waits for %v, want %v", d, retryInterval)
				}
				n.discovery.subscribe()
				testutil.Until(t, "the failure to be taken", func() bool { return len(n.loop.events) == 0 })
				if len(dials) != 0 {
					t.Fatal("called before the wait was over")
				}
				clock <- time.Time{}
			}
			testutil.Wait(t, waits, "the wait")
			ag := testutil.NewRegistryAgent(t)
			ag.Set(false, testutil.CompleteList())
			n.discovery.setAddress(ag.Addr().String())
			testutil.Wait(t, ag.Calls, "the call after the move")
		})
	}
}

// However a call was lost, and whatever the settings say, the next call is made early enough for its list to be
// known before it counts as notified.
func TestLostCallIsMadeUpForInTime(t *testing.T) {
	for _, within := range []time.Duration{
		0, 100 * time.Millisecond, 400 * time.Millisecond, time.Second,
		6 * time.Second, 10 * time.Second, time.Hour,
	} {
		for _, asked := range []bool{false, true} {
			for failures := range 6 {
				cfg := testConfig(testutil.CompleteList())
				cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = asked, within
				n, err := New(cfg, testutil.DiscardLog())
				if err != nil {
					t.Fatal(err)
				}
				n.listener.Close()
				d, again := n.discovery, retryInterval
				if asked {
					for range failures {
						n.loop.handleEvent(subscriptionFailed{})
					}
					before := n.loop.clock.Now()
					n.loop.handleEvent(subscriptionFailed{})
					for _, a := range n.loop.timers {
						again = max(again, a.at-before)
					}
				}
				// The pace, the call that is lost, the wait, a dial that never comes up and its wait, and the next call.
				worst := watchInterval + d.hold + d.grace + again + agentDialTimeout + again + agentCheckTimeout
				if worst >= notifiedWithin {
					t.Errorf("polled %v, ask-within %v, after %d failures: %v", asked, within, failures, worst)
				}
			}
		}
	}
}
