package endpointlist

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// handoverTest is a table with a handover, on a simulated clock.
type handoverTest struct {
	*Handover
	machine *testutil.MachineClocks
}

func newHandoverTest() handoverTest {
	machine := testutil.NewMachineClocks()
	return handoverTest{NewHandover(NewTable(monotime.Simulated(machine.Elapsed, machine.Unix))), machine}
}

// receive passes a list from discovery to the handover, and applies what it returns.
func (h handoverTest) receive(complete bool, entries ...Entry) {
	h.table.Apply(h.Receive(List{Version: 1, Complete: complete, Entries: entries}))
}

// advance moves the clock, and applies each list that is due by then.
func (h handoverTest) advance(d time.Duration) {
	h.machine.Advance(d)
	for range 2 {
		if list, changed := h.Advance(); changed {
			h.table.Apply(list)
		}
	}
}

// expect checks the endpoints in the table: their ids, with a "-" behind those that drain.
func (h handoverTest) expect(t *testing.T, when string, want ...string) {
	t.Helper()
	var got []string
	for _, id := range slices.Sorted(maps.Keys(h.table.entries)) {
		if h.table.entries[id].State == balancer.Draining {
			id += "-"
		}
		got = append(got, id)
	}
	if !slices.Equal(got, want) {
		t.Errorf("%s: got the endpoints %q, want %q", when, got, want)
	}
}

func ready(id string) Entry    { return newEntry(id, balancer.Ready) }
func draining(id string) Entry { return newEntry(id, balancer.Draining) }
func removed(id string) Entry  { return newEntry(id, balancer.Removed) }

// bootedAt returns a copy of an entry with another start of its process.
func bootedAt(entry Entry, bootMS float64) Entry {
	entry.BootMS = bootMS
	return entry
}

// A process that drains or was removed does not return by an older list of a new address, and a restarted one keeps its
// start. A node took a drain back, and sent requests to the server for as long as the list of the new address was late.
func TestOlderListTakesNothingBack(t *testing.T) {
	for name, told := range map[string]func(h handoverTest){
		"by changes": func(h handoverTest) {
			h.receive(false, draining("s1"), removed("s2"), bootedAt(ready("s3"), 5))
		},
		"by a list": func(h handoverTest) {
			h.receive(true, draining("s1"), bootedAt(ready("s3"), 5), ready("s4"))
		},
	} {
		for _, moveAfter := range []time.Duration{0, time.Second, removalMemory - returnDelay} {
			h := newHandoverTest()
			older := []Entry{ready("s1"), ready("s2"), bootedAt(ready("s3"), 4), ready("s4")}
			h.receive(true, older...)
			told(h)
			h.advance(moveAfter)
			h.Start()
			for _, step := range []struct {
				name string
				do   func()
			}{
				{"the whole older list", func() { h.receive(true, older...) }},
				{"older changes", func() { h.receive(false, older[:2]...) }},
				{"3.4 s", func() { h.advance(absenceDelay - 100*time.Millisecond) }},
				{"3.9 s", func() { h.advance(400 * time.Millisecond) }},
				{"the current list", func() { h.receive(true, draining("s1"), bootedAt(ready("s3"), 5), ready("s4")) }},
				{"5 s", func() { h.advance(time.Second) }},
			} {
				step.do()
				when := fmt.Sprintf("%s, moved after %v: %s", name, moveAfter, step.name)
				h.expect(t, when, "s1-", "s3", "s4")
				if boot := h.table.entries["s3"].BootMS; boot != 5 {
					t.Errorf("%s: the start of s3 is %v, want that of the later process", when, boot)
				}
			}
		}
	}
}

// Whatever the new address has to tell is in force 4 s after the start of the handover, whenever its list arrives and
// however it numbers its lists. What it removes is removed half a second earlier.
func TestNewAddressIsInForceAfterTheHandover(t *testing.T) {
	for _, arrival := range []time.Duration{
		0, time.Second, absenceDelay, returnDelay - 1, returnDelay, 10 * time.Second,
	} {
		h := newHandoverTest()
		h.receive(true, ready("s1"), draining("s2"), ready("s3"))
		h.receive(false, removed("s3"))
		h.Start()
		h.advance(arrival)
		h.receive(true, ready("s2"), ready("s3"), ready("s4")) // s1 was removed; s2 and s3 are in service again
		when := fmt.Sprintf("list after %v", arrival)
		if arrival < absenceDelay {
			h.expect(t, when, "s1", "s2-", "s4")
			h.advance(absenceDelay - arrival)
		}
		if arrival < returnDelay {
			h.expect(t, when+", 3.5 s", "s2-", "s4")
			h.advance(returnDelay - 1 - max(arrival, absenceDelay))
			h.expect(t, when+", just before 4 s", "s2-", "s4")
			h.advance(1)
		}
		h.expect(t, when+", 4 s", "s2", "s3", "s4")
		if _, found := h.Next(); found {
			t.Errorf("%s: another phase is due, want the handover ended", when)
		}
		h.receive(false, draining("s4"), ready("s5"))
		h.receive(true, ready("s4"))
		h.expect(t, when+", the next list", "s4")
	}
}

// There is always an endpoint to use if the older list names only such as drain or were removed: those that it does not
// name are kept until those that it names may return.
func TestHandoverLeavesAnEndpointToUse(t *testing.T) {
	h := newHandoverTest()
	h.receive(true, draining("s1"), ready("s2"), ready("s3"))
	h.receive(false, removed("s2"))
	h.Start()
	h.receive(true, ready("s1"), ready("s2"))
	h.expect(t, "an older list", "s1-", "s3")
	h.advance(returnDelay - 1)
	h.expect(t, "just before 4 s", "s1-", "s3")
	h.advance(1)
	h.expect(t, "4 s", "s1", "s2")
}

// A start that was long ago may be listed as 0 at one address and not at another: it is the same process. A drain that
// the new address tells of it is in force at once, and a ready process is no restarted one.
func TestStartsOfLongAgoAreTheSame(t *testing.T) {
	h := newHandoverTest()
	longAgo := float64(h.machine.BootMS())
	h.advance(removalMemory + time.Second)
	recently := float64(h.machine.BootMS())
	h.receive(true, bootedAt(ready("s1"), longAgo), ready("s2"), bootedAt(draining("s3"), longAgo), draining("s4"),
		bootedAt(ready("s5"), recently), draining("s6"), ready("s7"), ready("s8"))
	h.receive(false, removed("s7"), removed("s8"))
	h.Start()
	h.receive(true, draining("s1"), bootedAt(draining("s2"), longAgo), ready("s3"), bootedAt(ready("s4"), longAgo),
		draining("s5"), bootedAt(ready("s6"), recently), bootedAt(ready("s7"), longAgo),
		bootedAt(ready("s8"), recently))
	h.expect(t, "the new address", "s1-", "s2-", "s3-", "s4-", "s5", "s6", "s8")
	h.advance(returnDelay)
	h.expect(t, "4 s", "s1-", "s2-", "s3", "s4", "s5-", "s6", "s7", "s8")
}

// A list of the new address that is not older is in force at once, and so is what an older one adds or drains.
func TestListsAreInForceAtOnceInAHandover(t *testing.T) {
	h := newHandoverTest()
	h.receive(true, ready("s1"), ready("s2"), draining("s3"))
	h.Start()
	h.expect(t, "before the list", "s1", "s2", "s3-")
	h.receive(true, draining("s1"), ready("s4"))
	h.expect(t, "a list without s2 and s3", "s1-", "s4")
	h.receive(false, removed("s1"), draining("s4"), bootedAt(ready("s5"), 1))
	h.expect(t, "changes", "s4-", "s5")
	h.receive(false, bootedAt(ready("s4"), float64(h.machine.BootMS())), removed("s5"))
	h.expect(t, "a restart, and a removal that does not name the start", "s4")

	h = newHandoverTest()
	h.receive(true, ready("s1"), draining("s2"), ready("s3"))
	h.Start()
	h.receive(true, draining("s1"), ready("s2"), ready("s4"))
	h.expect(t, "an older list", "s1-", "s2-", "s3", "s4")
}

// In a handover that follows another one, what the first address removed is removed in time, unless the second one
// lists it.
func TestHandoverDuringAnotherOne(t *testing.T) {
	for _, listsAgain := range []bool{false, true} {
		h := newHandoverTest()
		h.receive(true, ready("s1"), draining("s2"), ready("s3"))
		h.Start()
		h.advance(time.Second)
		h.receive(true, ready("s2"), ready("s3")) // older, or numbered anew and without s1
		h.advance(time.Second)
		h.Start()
		want := []string{"s2-", "s3"}
		if listsAgain {
			h.receive(true, ready("s1"), ready("s2"), ready("s3"))
			want = []string{"s1", "s2-", "s3"}
		} else {
			h.expect(t, "2 s", "s1", "s2-", "s3")
		}
		h.advance(absenceDelay - 2*time.Second)
		h.expect(t, fmt.Sprint("3.5 s, listed again ", listsAgain), want...)
		h.advance(returnDelay - absenceDelay + time.Second)
		h.expect(t, fmt.Sprint("5 s, listed again ", listsAgain), want...)
	}
}

// Changes that arrive before the list of the new address are applied, and end no handover.
func TestChangesBeforeTheListOfTheNewAddress(t *testing.T) {
	h := newHandoverTest()
	h.receive(true, ready("s1"), draining("s2"))
	h.Start()
	h.receive(false, draining("s1"), ready("s2"))
	h.expect(t, "changes", "s1-", "s2-")
	h.advance(time.Minute)
	h.expect(t, "after a minute", "s1-", "s2-")
}

// Removed processes are remembered for a limited time.
func TestRemovalsAreForgotten(t *testing.T) {
	h := newHandoverTest()
	for i := range 100 {
		id := fmt.Sprint("s", i)
		h.receive(false, ready(id))
		h.receive(false, removed(id))
		h.advance(removalMemory / 10)
	}
	if got := len(h.table.removed); got > 12 {
		t.Errorf("%d removals are remembered, want those of %v", got, removalMemory)
	}
}
