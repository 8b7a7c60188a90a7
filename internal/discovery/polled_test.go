package discovery

import (
	"strings"
	"testing"

	"basaltdrum/internal/testutil"
)

// Where lists are polled, a watch follows only a Subscribe, and its failure is reported.
func TestPolledDiscoveryFollowsSubscribe(t *testing.T) {
	agent := testutil.NewRegistryAgent(t)
	c, reports := newClient(t, Config{Address: agent.Addr().String(), Polled: true, Version: 7})
	agent.Set(false, testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
	run(t, c)
	c.Subscribe()
	if query := testutil.Wait(t, agent.Queries, "a watch"); !strings.HasPrefix(query, "from=7&") {
		t.Errorf("called with %q", query)
	}
	waitForEntries(t, reports, 1)
	testutil.Wait(t, agent.Queries, "the watch to go on")
	agent.Set(false, "{bad %d")
	if got := testutil.Wait(t, reports, "the failure"); got.kind != failed {
		t.Errorf("got %+v", got)
	}
	select {
	case query := <-agent.Queries:
		t.Errorf("called with %q without a Subscribe", query)
	default:
	}
}

// Where lists are polled, a changed address opens a watch though none is in progress: what the registry has there
// counts as notified whether it was polled or not.
func TestAddressChangePollsAnew(t *testing.T) {
	agent := testutil.NewRegistryAgent(t)
	agent.Set(false, testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
	c, reports := newClient(t, Config{Address: "127.0.0.1:1", Polled: true, Version: 7})
	run(t, c)
	c.SetAddress(agent.Addr().String())
	if query := testutil.Wait(t, agent.Queries, "a call"); query != "" {
		t.Errorf("called with %q, want the complete list", query)
	}
	waitForEntries(t, reports, 1)
}
