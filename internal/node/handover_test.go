package node

import (
	"fmt"
	"strings"
	"testing"

	"basaltdrum/internal/testutil"
)

// An older list at a new address of discovery takes no drain back: the node sent requests to a server that it had been
// told drains, for as long as the new address was late. Once everything that the new address lists counts as told, it
// is in force, also without another event.
func TestReloadToAnOlderListKeepsADrain(t *testing.T) {
	t.Parallel()
	for _, polled := range []bool{false, true} {
		for _, versionAfter := range []int{1, 7, 1000} {
			t.Run(fmt.Sprintf("polled %v, version %d", polled, versionAfter), func(t *testing.T) {
				t.Parallel()
				checkDrainIsKept(t, polled, versionAfter)
			})
		}
	}
}

// checkDrainIsKept moves a node from an agent with version 7 and a drain to one with another version and the list from
// before.
func checkDrainIsKept(t *testing.T, polled bool, versionAfter int) {
	t.Helper()
	drained, other := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	older := testutil.CompleteList(inService("s1", drained), inService("s2", other))
	before, after := testutil.NewRegistryAgent(t), testutil.NewRegistryAgent(t)
	before.SetVersion(6)
	before.Set(false, testutil.CompleteList(terminating("s1", drained), inService("s2", other)))
	after.SetVersion(versionAfter - 1)
	after.Set(false, older)
	cfg := testConfig(strings.Replace(older, "%d", "6", 1))
	cfg.Discovery, cfg.Settings.PollDiscovery = before.Addr().String(), polled
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.StartupWait = testutil.Timeout })
	awaitWatch(t, before)
	cfg.Discovery = after.Addr().String()
	n.Reload(cfg)
	awaitWatch(t, after)
	client := dial(t, n)
	for i := range 20 {
		client.SendGet(fmt.Sprint("kept-", i))
		client.Expect(t, 200, "")
	}
	if got := drained.RequestCount(); got != 0 {
		t.Errorf("%d of 20 requests were sent to the draining server, want none", got)
	}
	after.Set(false, testutil.CompleteList(inService("s1", drained)))
	sent := 0
	testutil.Until(t, "the list of the new address to be in force", func() bool {
		client.SendGet(fmt.Sprint("later-", sent))
		client.Response(t)
		sent++
		return drained.RequestCount() > 0
	})
}

// awaitWatch waits until a node has received the list of an agent and watches it for changes.
func awaitWatch(t *testing.T, agent *testutil.RegistryAgent) {
	t.Helper()
	for !strings.HasPrefix(testutil.Wait(t, agent.Queries, "the watch"), fmt.Sprintf("from=%d&", agent.Version())) {
	}
}
