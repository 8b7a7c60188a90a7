package node

import (
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// simulatedLoop is an event loop on simulated clocks, to which a test passes events one by one.
type simulatedLoop struct {
	*Loop
	t       testing.TB
	machine *testutil.MachineClocks
}

// newSimulatedLoop returns the event loop of a node that has received no endpoint list yet.
func newSimulatedLoop(t testing.TB, listsPushed bool) *simulatedLoop {
	t.Helper()
	cfg := testConfig("")
	cfg.Settings.SlowStartFloor, cfg.Settings.SlowStartDuration = 0.12, 24*time.Second
	cfg.Settings.OverloadMultiple, cfg.Settings.OverloadWindow = 2, time.Second
	module, err := balancer.New(cfg.Settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	machine := testutil.NewMachineClocks()
	l := newLoop(module, monotime.Simulated(machine.Elapsed, machine.Unix), testutil.DiscardLog())
	l.rules.Store(newRequestRules(1, cfg.Settings))
	l.listsPushed = listsPushed
	l.SetHooks(LoopHooks{UpdateEndpoints: func([]endpointlist.Entry, bool) {}, Subscribe: func() {}})
	return &simulatedLoop{Loop: l, t: t, machine: machine}
}

// processStart returns the clock time at which the process started.
func (loop *simulatedLoop) processStart() time.Duration {
	return loop.clock.Now() - loop.machine.Elapsed()
}

// receive passes a list from discovery to the loop: a complete one or changes.
func (loop *simulatedLoop) receive(complete bool, entries ...string) {
	loop.t.Helper()
	loop.handleEvent(listReceived{listOf(loop.t, complete, entries...)})
}

// receiveComplete passes a complete list from discovery to the loop.
func (loop *simulatedLoop) receiveComplete(entries ...string) {
	loop.t.Helper()
	loop.receive(true, entries...)
}

// receiveChanges passes changes to the list from discovery to the loop.
func (loop *simulatedLoop) receiveChanges(entries ...string) {
	loop.t.Helper()
	loop.receive(false, entries...)
}

// useCached makes the loop use a cached list because discovery is unresponsive.
func (loop *simulatedLoop) useCached(entries ...string) {
	loop.t.Helper()
	loop.cachedList = listOf(loop.t, true, entries...)
	loop.handleEvent(discoveryUnresponsive{})
}

// neverRestartedEntry returns the list entry of a server that has never restarted.
func neverRestartedEntry(uid string) string {
	return testutil.ListEntry(uid, "127.0.0.1:2", "in_service")
}
