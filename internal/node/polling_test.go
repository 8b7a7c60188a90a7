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

// With any polling interval and after any number of failed polls, the module delays the next poll by at most a quarter
// of discovery.NotificationDeadline. TestLostPollIsReplacedInTime, of internal/discovery, adds up the other delays.
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
			for range 6 { // the delay doubles with each failure
				before := n.loop.clock.Now()
				n.loop.handleEvent(subscriptionFailed{})
				for _, timer := range n.loop.timers.pending {
					if delay := timer.at - before; delay > discovery.NotificationDeadline/4 {
						t.Fatalf("polled within %v, seed %d: got delay %v, want at most NotificationDeadline/4",
							pollWithin, seed, delay)
					}
				}
			}
		}
	}
}

// refusedPolls runs a node whose polls are refused. It reports the dials and the waits that follow them. A send to
// finishWait ends a wait.
func refusedPolls(
	t *testing.T, pollWithin time.Duration,
) (n *Node, dials <-chan struct{}, waits <-chan time.Duration, finishWait chan<- time.Time) {
	t.Helper()
	refusing := testutil.ClosedPort(t)
	cfg := testConfig(testutil.CompleteList())
	cfg.Discovery, cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = refusing, true, pollWithin
	dialed, waited, clock := make(chan struct{}, 1000), make(chan time.Duration, 1000), make(chan time.Time)
	n, _ = startNode(t, cfg, func(n *Node) {
		n.discovery.After = func(d time.Duration) <-chan time.Time {
			waited <- d
			return clock
		}
		n.discovery.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == refusing {
				dialed <- struct{}{}
				return nil, syscall.ECONNREFUSED
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	})
	return n, dialed, waited, clock
}

// Discovery that refuses connections is not called again before a minimum wait, even if the backoff of the settings is
// shorter. It is called at once if its address changes in the meantime.
func TestRefusedDiscoveryIsNotPolledInABusyLoop(t *testing.T) {
	const retryInterval = 100 * time.Millisecond // of internal/discovery
	for _, pollWithin := range []time.Duration{0, time.Millisecond, time.Hour} {
		t.Run(fmt.Sprint("polled within ", pollWithin), func(t *testing.T) {
			t.Parallel()
			n, dials, waits, finishWait := refusedPolls(t, pollWithin)
			n.discovery.Subscribe()
			for range 5 {
				testutil.Wait(t, dials, "a dial")
				if d := testutil.Wait(t, waits, "the wait"); d != retryInterval {
					t.Errorf("got a wait of %v, want %v", d, retryInterval)
				}
				n.discovery.Subscribe()
				testutil.Until(t, "the failure to be handled", func() bool { return len(n.loop.events) == 0 })
				if len(dials) != 0 {
					t.Fatal("got a dial during the wait, want none")
				}
				finishWait <- time.Time{}
			}
			testutil.Wait(t, waits, "the wait")
			agent := testutil.NewRegistryAgent(t)
			agent.Set(false, testutil.CompleteList())
			n.discovery.SetAddress(agent.Addr().String())
			testutil.Wait(t, agent.Queries, "the call after the move")
		})
	}
}
