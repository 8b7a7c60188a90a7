package discovery

import (
	"strings"
	"testing"

	"basaltdrum/internal/testutil"
)

// Where lists are polled, a watch starts only after a Subscribe, and its failure is reported.
func TestPolledDiscoveryFollowsSubscribe(t *testing.T) {
	agent := testutil.NewRegistryAgent(t)
	c, reports := newClient(t, Config{Address: agent.Addr().String(), Polled: true, Version: 7})
	agent.Set(false, testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
	startClient(t, c)
	c.Subscribe()
	if query := testutil.Wait(t, agent.Queries, "a watch"); !strings.HasPrefix(query, "from=7&") {
		t.Errorf("polled with query %q, want from=7", query)
	}
	waitForEntries(t, reports, 1)
	testutil.Wait(t, agent.Queries, "the next poll of the watch")
	agent.Set(false, "{bad %d")
	if got := testutil.Wait(t, reports, "the failure"); got.kind != failed {
		t.Errorf("got report %+v, want a failed subscription", got)
	}
	select {
	case query := <-agent.Queries:
		t.Errorf("polled with query %q, want no poll without a Subscribe", query)
	default:
	}
}

// Where lists are polled, a change of address starts a watch even if none is in progress: the changes at the new
// address count as known to the node whether it has polled for them or not.
func TestAddressChangeStartsAWatch(t *testing.T) {
	agent := testutil.NewRegistryAgent(t)
	agent.Set(false, testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
	c, reports := newClient(t, Config{Address: "127.0.0.1:1", Polled: true, Version: 7})
	startClient(t, c)
	c.Subscribe()
	if got := testutil.Wait(t, reports, "the failed poll of the old address"); got.kind != failed {
		t.Fatalf("got %+v, want a failed poll", got)
	}
	c.SetAddress(agent.Addr().String())
	if query := testutil.Wait(t, agent.Queries, "a poll"); query != "" {
		t.Errorf("polled with query %q, want none for the complete list", query)
	}
	if got := testutil.Wait(t, reports, "the change of the address"); got.kind != moved {
		t.Errorf("got %+v before the list, want the change of the address", got)
	}
	waitForEntries(t, reports, 1)
}
