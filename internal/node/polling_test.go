package node

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"basaltdrum/internal/discovery"
	"basaltdrum/internal/testutil"
)

// However rarely a deployment lets a node poll, and however often polls have failed, the module delays the next one by
// a quarter of the time after which a watch event counts as notified at most. TestLostCallIsMadeUpForInTime, of
// internal/discovery, adds the other delays up.
func TestPollBackoffIsBoundedByTheNotificationTime(t *testing.T) {
	for _, pollWithin := range []time.Duration{
		0, 100 * time.Millisecond, 400 * time.Millisecond, time.Second,
		6 * time.Second, 10 * time.Second, time.Hour,
	} {
		for seed := range uint64(20) {
			cfg := testConfig(testutil.CompleteList())
			cfg.Settings.PollDiscovery, cfg.Settings.PollWithin, cfg.Seed = true, pollWithin, seed
			n, err := New(cfg, testutil.DiscardLog())
			if err != nil {
				t.Fatal(err)
			}
			n.listener.Close()
			for range 6 { // the wait doubles with each failure
				before := n.loop.clock.Now()
				n.loop.handleEvent(subscriptionFailed{})
				for _, timer := range n.loop.timers.pending {
					if delay := timer.at - before; delay > discovery.NotificationDeadline/4 {
						t.Fatalf("polled within %v, seed %d: polls after %v", pollWithin, seed, delay)
					}
				}
			}
		}
	}
}

// refusedPolls runs a node whose polls are refused. It reports the dials and the waits that follow them, and each wait
// is over when something is sent to end.
func refusedPolls(
	t *testing.T, pollWithin time.Duration,
) (n *Node, dials <-chan struct{}, waits <-chan time.Duration, end chan<- time.Time) {
	t.Helper()
	refusing := testutil.ClosedPort(t)
	cfg := testConfig(testutil.CompleteList())
	cfg.Discovery, cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = refusing, true, pollWithin
	dialled, waited, clock := make(chan struct{}, 1000), make(chan time.Duration, 1000), make(chan time.Time)
	n, _ = startNode(t, cfg, func(n *Node) {
		n.discovery.After = func(d time.Duration) <-chan time.Time {
			waited <- d
			return clock
		}
		n.discovery.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == refusing {
				dialled <- struct{}{}
				return nil, syscall.ECONNREFUSED
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	})
	return n, dialled, waited, clock
}

// A discovery that refuses connections is not called again before a minimum wait, however short the backoff of the
// settings is, and at once if its address changes meanwhile.
func TestRefusedDiscoveryIsNotPolledInAHotLoop(t *testing.T) {
	const retryInterval = 100 * time.Millisecond // of internal/discovery
	for _, pollWithin := range []time.Duration{0, time.Millisecond, time.Hour} {
		t.Run(fmt.Sprint("polled within ", pollWithin), func(t *testing.T) {
			t.Parallel()
			n, dials, waits, end := refusedPolls(t, pollWithin)
			n.discovery.Subscribe()
			for range 5 {
				testutil.Wait(t, dials, "a call")
				if d := testutil.Wait(t, waits, "the wait"); d != retryInterval {
					t.Errorf("waits for %v, want %v", d, retryInterval)
				}
				n.discovery.Subscribe()
				testutil.Until(t, "the failure to be handled", func() bool { return len(n.loop.events) == 0 })
				if len(dials) != 0 {
					t.Fatal("called before the wait was over")
				}
				end <- time.Time{}
			}
			testutil.Wait(t, waits, "the wait")
			agent := testutil.NewRegistryAgent(t)
			agent.Set(false, testutil.CompleteList())
			n.discovery.SetAddress(agent.Addr().String())
			testutil.Wait(t, agent.Queries, "the call after the move")
		})
	}
}
