package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// startChangingAgent starts an agent that responds to each of its first polls at once with the entry of another server,
// and to none after them. It reports the versions that it has sent.
func startChangingAgent(t *testing.T, polls int) (address string, sent <-chan int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	versions, version := make(chan int, polls), 0
	agent := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		version++ // polls come one after another
		if version > polls {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"rev":%d,"all":%v,"targets":[%s]}`, version, version == 1,
			testutil.ListEntry(fmt.Sprint("s", version), "127.0.0.1:1", "in_service"))
		versions <- version
	})}
	go agent.Serve(ln)
	t.Cleanup(func() { agent.Close() })
	return ln.Addr().String(), versions
}

// Polls for a list that changes continuously are paced, and each change is still received.
func TestPollsOfAConstantlyChangingListArePaced(t *testing.T) {
	const polls = 20
	for _, polled := range []bool{false, true} {
		t.Run(fmt.Sprint("polled=", polled), func(t *testing.T) {
			t.Parallel()
			address, sent := startChangingAgent(t, polls)
			c, reports := newClient(t, Config{Address: address, Polled: polled, Version: NoVersion})
			c.Hold, c.StartupWait = 100*testutil.Timeout, 100*testutil.Timeout
			started := time.Now()
			c.Subscribe()
			startClient(t, c)
			for range polls {
				testutil.Wait(t, sent, "a poll")
			}
			if elapsed := time.Since(started); elapsed < (polls-1)*minPollInterval {
				t.Errorf("%d polls arrived within %v, want at least %v between two", polls, elapsed, minPollInterval)
			}
			for i := range polls {
				got, want := testutil.Wait(t, reports, "a change"), fmt.Sprint("s", i+1)
				if got.kind != received || len(got.list.Entries) != 1 || got.list.Entries[0].ID != want {
					t.Fatalf("report %d: got %+v, want the entry of %s", i, got, want)
				}
			}
		})
	}
}

// A poll that ends without changes only confirms the list. Reported as a list, it would count as a change for the
// module.
func TestWatchWithoutChangesOnlyConfirmsTheList(t *testing.T) {
	agent := testutil.NewRegistryAgent(t)
	c, reports := newClient(t, Config{Address: agent.Addr().String()})
	entry := testutil.ListEntry("s1", "127.0.0.1:1", "in_service")
	for _, row := range []struct {
		name, text string
		want       reportKind
	}{
		{"no changes", `{"rev":%d,"all":false,"targets":[]}`, confirmed},
		{"an empty complete list", testutil.CompleteList(), received},
		{"a change", `{"rev":%d,"all":false,"targets":[` + entry + `]}`, received},
	} {
		agent.Set(false, row.text)
		if _, err := c.poll(t.Context(), c.currentAddress(), false); err != nil {
			t.Fatal(err)
		}
		if version := c.currentAddress().version; len(reports) != 1 || version != int64(agent.Version()) {
			t.Fatalf("%s: %d reports at version %d, want 1 at %d", row.name, len(reports), version, agent.Version())
		}
		if got := <-reports; got.kind != row.want {
			t.Errorf("%s: reported %q, want %q", row.name, got.kind, row.want)
		}
	}
}

// startClientWithLocalFaults starts a client of an agent whose list has one entry. The client's first dials fail
// because of a local fault. The returned channel delivers the waits between its polls.
func startClientWithLocalFaults(t *testing.T, polled bool, failures int32) (recorder, <-chan time.Duration) {
	t.Helper()
	agent := testutil.NewRegistryAgent(t)
	agent.Set(false, testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
	c, reports := newClient(t, Config{Address: agent.Addr().String(), Polled: polled, Version: NoVersion})
	waits := make(chan time.Duration, 10)
	c.StartupWait = testutil.Timeout
	c.After = func(wait time.Duration) <-chan time.Time {
		waits <- wait
		return time.After(wait)
	}
	fail := testutil.FailTimes(testutil.DialError("connect", syscall.ENETUNREACH), failures)
	c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := fail(); err != nil {
			return nil, err
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	c.Subscribe()
	startClient(t, c)
	return reports, waits
}

// A transient local fault does not delay the list: the dial is retried at once.
func TestTransientLocalDialErrorDelaysNoPoll(t *testing.T) {
	for _, polled := range []bool{false, true} {
		t.Run(fmt.Sprint("polled=", polled), func(t *testing.T) {
			t.Parallel()
			reports, waits := startClientWithLocalFaults(t, polled, 3)
			waitForEntries(t, reports, 1)
			if len(waits) != 0 {
				t.Errorf("waited for %v before a poll, want no wait", <-waits)
			}
		})
	}
}

// A persistent local fault is not reported as a failed subscription, after which the module would back off, and dials
// are not repeated in a busy loop.
func TestLocalDialErrorIsNoDiscoveryFailure(t *testing.T) {
	for _, polled := range []bool{false, true} {
		t.Run(fmt.Sprint("polled=", polled), func(t *testing.T) {
			t.Parallel()
			reports, waits := startClientWithLocalFaults(t, polled, 1e6)
			for range 2 {
				if wait := testutil.Wait(t, waits, "a wait"); wait != retryInterval {
					t.Errorf("waited for %v before a poll, want %v", wait, retryInterval)
				}
			}
			if len(reports) != 0 {
				t.Errorf("got report %+v, want none", <-reports)
			}
		})
	}
}

// However a poll is lost, the next one is sent early enough that its list arrives before it counts as known to the
// node. Where lists are polled, the module delays each poll by a quarter of NotificationDeadline at most
// (TestPollBackoffIsBoundedByTheNotificationTime).
func TestLostPollIsReplacedInTime(t *testing.T) {
	const maxSubscribeDelay = NotificationDeadline / 4
	for _, row := range []struct {
		name   string
		polled bool
		retry  time.Duration
	}{
		{"pushed", false, retryInterval},
		{"polled, retried at once", true, retryInterval},
		{"polled, retried after the module's longest delay", true, max(retryInterval, maxSubscribeDelay)},
	} {
		c, _ := newClient(t, Config{Address: "127.0.0.1:1", Polled: row.polled, Version: NoVersion})
		// The interval, the lost poll, a wait, a dial that is never established, another wait, and the next poll.
		worst := minPollInterval + c.Hold + c.Grace + row.retry + agentDialTimeout + row.retry + agentCheckTimeout
		if worst >= NotificationDeadline {
			t.Errorf("%s: replaced within %v, want less than %v", row.name, worst, NotificationDeadline)
		}
	}
}
