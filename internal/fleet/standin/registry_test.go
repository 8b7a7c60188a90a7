package standin

import (
	"context"
	"testing"
	"time"

	"basaltdrum/internal/fleet/stats"
	"basaltdrum/internal/testutil"
)

// A call without a version gets the complete list: entries in any state, but none that was removed.
func TestCompleteList(t *testing.T) {
	entries := newTestEntries(3)
	r := newTestRegistry(t, entries)
	body := r.mustGet(t, "")
	if body.Rev != 1 || !body.All || len(body.Entries) != 3 || body.Entries[0].State != InService {
		t.Errorf("first list %+v, want version 1, complete, with 3 entries in service", body)
	}
	r.mustChange(t, withState(entries[1], Terminating))
	r.mustChange(t, withState(entries[1], Terminated))
	if body := r.mustGet(t, ""); body.Rev != 3 || len(body.Entries) != 2 {
		t.Errorf("list after a removal %+v, want version 3 with 2 entries", body)
	}
}

// A watch receives each entry that changed since its version once, in its current state.
func TestWatchReceivesChanges(t *testing.T) {
	entries := newTestEntries(3)
	r := newTestRegistry(t, entries)
	if body := r.mustGet(t, "?from=1&hold_ms=1"); body.Rev != 1 || body.All || len(body.Entries) != 0 {
		t.Errorf("response without a change %+v, want version 1 and no entries", body)
	}
	r.mustChange(t, withState(entries[1], Terminating))
	r.mustChange(t, withState(entries[1], Terminated))
	body := r.mustGet(t, "?from=1&hold_ms=60000")
	if body.Rev != 3 || body.All || len(body.Entries) != 1 || body.Entries[0].State != Terminated {
		t.Errorf("response after two changes of one entry %+v, want version 3 and the terminated entry", body)
	}
	if body := r.mustGet(t, "?from=2&hold_ms=60000"); body.Rev != 3 || len(body.Entries) != 1 {
		t.Errorf("response with the last change %+v, want version 3 and one entry", body)
	}
}

// If the changes since a version are not known, the watch receives the complete list immediately.
func TestWatchFromUnknownVersion(t *testing.T) {
	entries := newTestEntries(3)
	r := newTestRegistry(t, entries)
	r.mustChange(t, withState(entries[1], Terminating))
	r.mustChange(t, withState(entries[1], Terminated))
	if body := r.mustGet(t, "?from=77&hold_ms=60000"); body.Rev != 3 || !body.All {
		t.Errorf("response to a version that never existed %+v, want the complete list of version 3", body)
	}
	for range maxChanges {
		r.mustChange(t, entries[0])
	}
	if body := r.mustGet(t, "?from=1&hold_ms=60000"); !body.All || len(body.Entries) != 2 {
		t.Errorf("response to a version whose changes are dropped: complete %v, %d entries; want a complete list of 2",
			body.All, len(body.Entries))
	}
}

func TestBadWatchParameters(t *testing.T) {
	r := newTestRegistry(t, newTestEntries(1))
	for _, test := range []struct{ name, query string }{
		{"version is not a number", "?from=x&hold_ms=1"},
		{"no hold time", "?from=1"},
		{"hold time is not a number", "?from=1&hold_ms=x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if body, err := r.get(t.Context(), test.query); err == nil {
				t.Errorf("response %+v, want an error", body)
			}
		})
	}
}

// All calls are counted, including those that get an error, with their bytes in both directions.
func TestRegistryCountsTraffic(t *testing.T) {
	const goodCalls, badCalls = 7, 3
	r := newTestRegistry(t, newTestEntries(3))
	for range goodCalls {
		r.mustGet(t, "")
	}
	for range badCalls {
		if _, err := r.get(t.Context(), "?from=x"); err == nil {
			t.Error("a call with a bad version succeeded, want an error")
		}
	}
	snapshot := r.Traffic.Snapshot()
	const totalCalls = goodCalls + badCalls
	sum, peak, _ := snapshot.Between(time.Unix(0, snapshot.StartNS), time.Now().Add(stats.BucketWidth))
	if sum.Calls != totalCalls || sum.Conns < 1 || peak < 1 || peak > totalCalls {
		t.Errorf("counted %+v, peak %d; want 10 calls, at least 1 connection, a peak from 1 to 10", sum, peak)
	}
	if sum.ReceivedBytes < totalCalls*50 || sum.SentBytes < totalCalls*50 { // less than any request and response
		t.Errorf("counted %+v, want at least 50 bytes per call in each direction", sum)
	}
}

func TestChangeAnswersOpenWatch(t *testing.T) {
	entries := newTestEntries(2)
	r := newTestRegistry(t, entries)
	watch := r.watch(t.Context(), t, "?from=1&hold_ms=60000")
	r.mustChange(t, entries[1])
	got := testutil.Wait(t, watch, "the response to the watch")
	if got.err != nil || got.body.Rev != 2 || len(got.body.Entries) != 1 {
		t.Errorf("error %v, response %+v, want version 2 and one entry", got.err, got.body)
	}
}

// noResponseTime is how long the test checks that a call gets no response. It needs real time, since there is no event
// to wait for; a later response is detected when the call is cancelled.
const noResponseTime = 100 * time.Millisecond

// An unresponsive registry accepts calls but answers neither those that waited when the outage started nor those that
// arrive during it, even after the outage. A call that arrives after the outage is answered.
func TestUnresponsiveRegistry(t *testing.T) {
	entries := newTestEntries(2)
	r := newTestRegistry(t, entries)
	ctx, cancel := context.WithCancel(t.Context())
	before := r.watch(ctx, t, "?from=1&hold_ms=50")
	r.SetUnresponsive(true)
	during := r.watch(ctx, t, "")
	r.mustChange(t, entries[0])
	r.SetUnresponsive(false)
	r.mustChange(t, entries[0])
	if body := r.mustGet(t, "?from=1&hold_ms=60000"); body.Rev != 3 {
		t.Errorf("response after the outage %+v, want version 3", body)
	}
	select {
	case result := <-before:
		t.Errorf("the call from before the outage ended with %+v, want no response", result)
	case result := <-during:
		t.Errorf("the call from during the outage ended with %+v, want no response", result)
	case <-time.After(noResponseTime):
	}
	cancel()
	for _, unanswered := range []<-chan watchResult{before, during} {
		if result := testutil.Wait(t, unanswered, "the end of a cancelled call"); result.err == nil {
			t.Errorf("a call that must get no response got %+v", result.body)
		}
	}
}

// A broken watch ends without a response; the next one is answered.
func TestBreakWatches(t *testing.T) {
	entries := newTestEntries(2)
	r := newTestRegistry(t, entries)
	watch := r.watch(t.Context(), t, "?from=1&hold_ms=60000")
	var result watchResult
	testutil.Until(t, "the end of the watch", func() bool {
		r.BreakWatches() // the call is counted just before its watch opens, so the first one may break none
		select {
		case result = <-watch:
			return true
		default:
			return false
		}
	})
	if result.err == nil {
		t.Errorf("a broken watch got the response %+v, want an error", result.body)
	}
	r.mustChange(t, entries[0])
	if body := r.mustGet(t, "?from=1&hold_ms=60000"); body.Rev != 2 || len(body.Entries) != 1 {
		t.Errorf("response to the next watch %+v, want version 2 and one entry", body)
	}
}
