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
)

// Where lists are polled, a watch follows only a Subscribe, and its failure is reported.
func TestPolledDiscoveryFollowsSubscribe(t *testing.T) {
	ag := newRegistryAgent(t)
	events := make(chan event, 10)
	cfg := testConfig("")
	cfg.Discovery = ag.Addr().String()
	cfg.Settings.PollDiscovery = true
	d := newDiscovery(cfg, 7, func(e event) { events <- e }, testLog())
	ag.set(false, completeList(entry("s1", "127.0.0.1:1", "in_service")))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.runPolled(ctx)
	d.subscribe()
	if q := wait(t, ag.calls, "a watch"); !strings.HasPrefix(q, "from=7&") {
		t.Errorf("called with %q", q)
	}
	if e, ok := wait(t, events, "the list").(listReceived); !ok || len(e.list.entries) != 1 {
		t.Errorf("got %v", e)
	}
	wait(t, ag.calls, "the watch to go on")
	ag.set(false, "{bad %d")
	if e, ok := wait(t, events, "the failure").(subscriptionFailed); !ok {
		t.Errorf("got %v", e)
	}
	select {
	case q := <-ag.calls:
		t.Errorf("called with %q without a Subscribe", q)
	default:
	}
}

// Where lists are polled, a changed discovery address opens a watch though none is in progress: what discovery has
// there counts as notified whether it was polled or not.
func TestAddressChangePollsAnew(t *testing.T) {
	ag := newRegistryAgent(t)
	ag.set(false, completeList(entry("s1", "127.0.0.1:1", "in_service")))
	events := make(chan event, 10)
	cfg := testConfig("")
	cfg.Settings.PollDiscovery = true
	d := newDiscovery(cfg, 7, func(e event) { events <- e }, testLog())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.runPolled(ctx)
	d.setAddress(ag.Addr().String())
	if q := wait(t, ag.calls, "a call"); q != "" {
		t.Errorf("called with %q, want the complete list", q)
	}
	if e, ok := wait(t, events, "the list").(listReceived); !ok || len(e.list.entries) != 1 {
		t.Errorf("got %v", e)
	}
}

// However rarely a deployment lets a node poll, a watch event counts as notified 6 s after the watch became
// unresponsive: the module's backoff between its calls is a part of that.
func TestPollBackoffIsBoundedByTheNotificationTime(t *testing.T) {
	for seed := range uint64(20) {
		cfg := testConfig(completeList())
		cfg.Settings.PollDiscovery, cfg.Settings.PollWithin, cfg.Seed = true, time.Hour, seed
		n, err := New(cfg, testLog())
		if err != nil {
			t.Fatal(err)
		}
		n.listener.Close()
		for range 6 { // the wait doubles with each failure
			n.loop.handleEvent(subscriptionFailed{})
		}
		for _, a := range n.loop.timers {
			if left := n.loop.clock.until(a.at); left > notifiedWithin/4 {
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
			cfg := testConfig(completeList())
			cfg.Discovery, cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = closedPort(t), true, within
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
				wait(t, dials, "a call")
				if d := wait(t, waits, "the wait"); d != retryInterval {
					t.Errorf("waits for %v, want %v", d, retryInterval)
				}
				n.discovery.subscribe()
				until(t, "the failure to be taken", func() bool { return len(n.loop.events) == 0 })
				if len(dials) != 0 {
					t.Fatal("called before the wait was over")
				}
				clock <- time.Time{}
			}
			wait(t, waits, "the wait")
			ag := newRegistryAgent(t)
			ag.set(false, completeList())
			n.discovery.setAddress(ag.Addr().String())
			wait(t, ag.calls, "the call after the move")
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
				cfg := testConfig(completeList())
				cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = asked, within
				n, err := New(cfg, testLog())
				if err != nil {
					t.Fatal(err)
				}
				n.listener.Close()
				d, again := n.discovery, retryInterval
				if asked {
					for range failures {
						n.loop.handleEvent(subscriptionFailed{})
					}
					before := n.loop.clock.now()
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
