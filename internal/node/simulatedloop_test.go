package node

import (
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// simulatedLoop is an event loop on simulated clocks, which a test feeds with events one by one.
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
func (l *simulatedLoop) processStart() time.Duration { return l.clock.Now() - l.machine.Elapsed() }

// receive has a list received from discovery.
func (l *simulatedLoop) receive(complete bool, entries ...string) {
	l.t.Helper()
	l.handleEvent(listReceived{listOf(l.t, complete, entries...)})
}

// receiveComplete has a complete list received from discovery.
func (l *simulatedLoop) receiveComplete(entries ...string) {
	l.t.Helper()
	l.receive(true, entries...)
}

// receiveChanges has changes to the list received from discovery.
func (l *simulatedLoop) receiveChanges(entries ...string) {
	l.t.Helper()
	l.receive(false, entries...)
}

// useCached has a cached list used for want of an answer from discovery.
func (l *simulatedLoop) useCached(entries ...string) {
	l.t.Helper()
	l.cachedList = listOf(l.t, true, entries...)
	l.handleEvent(discoveryUnresponsive{})
}

// unchangingEntry is the entry of a server that has never restarted.
func unchangingEntry(uid string) string { return testutil.ListEntry(uid, "127.0.0.1:2", "in_service") }
