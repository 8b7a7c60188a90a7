package standin

import (
	"context"
	"testing"
	"time"

	"basaltdrum/internal/fleet/stats"
	"basaltdrum/internal/testutil"
)

// A call without a version gets the complete list, in service or not, without what was removed.
func TestCompleteList(t *testing.T) {
	entries := testEntries(3)
	r := newTestRegistry(t, entries)
	body := r.get(t, "")
	if body.Rev != 1 || !body.All || len(body.Entries) != 3 || body.Entries[0].State != InService {
		t.Errorf("at first: %+v", body)
	}
	r.change(t, inState(entries[1], Terminating))
	r.change(t, inState(entries[1], Terminated))
	if body := r.get(t, ""); body.Rev != 3 || len(body.Entries) != 2 {
		t.Errorf("after a removal: %+v", body)
	}
}

// A watch gets each entry that has changed since its version once, as it is now.
func TestWatchGetsWhatHasChanged(t *testing.T) {
	entries := testEntries(3)
	r := newTestRegistry(t, entries)
	if body := r.get(t, "?from=1&hold_ms=1"); body.Rev != 1 || body.All || len(body.Entries) != 0 {
		t.Errorf("nothing changes during the hold: %+v", body)
	}
	r.change(t, inState(entries[1], Terminating))
	r.change(t, inState(entries[1], Terminated))
	body := r.get(t, "?from=1&hold_ms=60000")
	if body.Rev != 3 || body.All || len(body.Entries) != 1 || body.Entries[0].State != Terminated {
		t.Errorf("two changes of one entry: %+v", body)
	}
	if body := r.get(t, "?from=2&hold_ms=60000"); body.Rev != 3 || len(body.Entries) != 1 {
		t.Errorf("the last change: %+v", body)
	}
}

// Where the changes since a version are not known, the watch gets the complete list at once.
func TestWatchFromAnUnknownVersion(t *testing.T) {
	entries := testEntries(3)
	r := newTestRegistry(t, entries)
	r.change(t, inState(entries[1], Terminating))
	r.change(t, inState(entries[1], Terminated))
	if body := r.get(t, "?from=77&hold_ms=60000"); body.Rev != 3 || !body.All {
		t.Errorf("a version that never was: %+v", body)
	}
	for range maxChanges {
		r.change(t, entries[0])
	}
	if body := r.get(t, "?from=1&hold_ms=60000"); !body.All || len(body.Entries) != 2 {
		t.Errorf("a version whose changes are dropped: all %v, %d entries", body.All, len(body.Entries))
	}
}

func TestBadWatchParameters(t *testing.T) {
	r := newTestRegistry(t, testEntries(1))
	for _, test := range []struct{ name, query string }{
		{"version is no number", "?from=x&hold_ms=1"},
		{"no hold", "?from=1"},
		{"hold is no number", "?from=1&hold_ms=x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if body, err := r.tryGet(t.Context(), test.query); err == nil {
				t.Errorf("%+v", body)
			}
		})
	}
}

// All calls are counted, those that get an error too, with their bytes both ways.
func TestRegistryCountsTraffic(t *testing.T) {
	const goodCalls, badCalls = 7, 3
	r := newTestRegistry(t, testEntries(3))
	for range goodCalls {
		r.get(t, "")
	}
	for range badCalls {
		if _, err := r.tryGet(t.Context(), "?from=x"); err == nil {
			t.Error("a bad call is answered")
		}
	}
	counted := r.Traffic.Snapshot()
	const all = goodCalls + badCalls
	sum, peak, _ := counted.Between(time.Unix(0, counted.StartNS), time.Now().Add(stats.BucketWidth))
	if sum.Calls != all || sum.Conns < 1 || peak < 1 || peak > all {
		t.Errorf("counted %+v, peak %d", sum, peak)
	}
	if sum.BytesIn < all*50 || sum.BytesOut < all*50 { // bytes of the shortest request and response
		t.Errorf("bytes %+v", sum)
	}
}

func TestWatchIsAnsweredByAChange(t *testing.T) {
	entries := testEntries(2)
	r := newTestRegistry(t, entries)
	watch := r.watch(t.Context(), t, "?from=1&hold_ms=60000")
	r.change(t, entries[1])
	got := testutil.Wait(t, watch, "the answer to the watch")
	if got.err != nil || got.body.Rev != 2 || len(got.body.Entries) != 1 {
		t.Errorf("%v: %+v", got.err, got.body)
	}
}

// lostCallTime is how long it is watched that a call gets no answer. Time is the subject: there is no event to wait
// for, and an answer that comes later is found when the call is cancelled.
const lostCallTime = 100 * time.Millisecond

// A registry that is silent accepts calls and answers none: neither those that waited when the outage began, nor those
// that come during it, even after its end. A call that comes after the outage is answered.
func TestSilence(t *testing.T) {
	entries := testEntries(2)
	r := newTestRegistry(t, entries)
	ctx, cancel := context.WithCancel(t.Context())
	before := r.watch(ctx, t, "?from=1&hold_ms=50")
	r.Silence(true)
	during := r.watch(ctx, t, "")
	r.change(t, entries[0])
	r.Silence(false)
	r.change(t, entries[0])
	if body := r.get(t, "?from=1&hold_ms=60000"); body.Rev != 3 {
		t.Errorf("after the outage: %+v", body)
	}
	select {
	case result := <-before:
		t.Errorf("the call from before the outage ended: %+v", result)
	case result := <-during:
		t.Errorf("the call from the outage ended: %+v", result)
	case <-time.After(lostCallTime):
	}
	cancel()
	for _, lost := range []<-chan watchResult{before, during} {
		if result := testutil.Wait(t, lost, "the end of a lost call"); result.err == nil {
			t.Errorf("a lost call was answered: %+v", result.body)
		}
	}
}

// A broken watch ends without an answer; the next one is answered.
func TestBreakWatches(t *testing.T) {
	entries := testEntries(2)
	r := newTestRegistry(t, entries)
	watch := r.watch(t.Context(), t, "?from=1&hold_ms=60000")
	var result watchResult
	testutil.Until(t, "the end of the watch", func() bool {
		r.BreakWatches() // the call is counted just before its watch is open, so the first may break none
		select {
		case result = <-watch:
			return true
		default:
			return false
		}
	})
	if result.err == nil {
		t.Errorf("a broken watch was answered: %+v", result.body)
	}
	r.change(t, entries[0])
	if body := r.get(t, "?from=1&hold_ms=60000"); body.Rev != 2 || len(body.Entries) != 1 {
		t.Errorf("after the break: %+v", body)
	}
}
