package endpoints

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basaltdrum/balancer/internal/latency"
)

// listUpdate is a complete list or a set of changes.
type listUpdate struct {
	complete bool
	entries  []Entry
}

// listReference builds the groups and subsets of each list from scratch, by the simplest method: sort all
// ready endpoints, divide them into two groups, and take first the endpoints of the own zone and then the
// others, each starting at the replica's position.
type listReference struct {
	listed    map[string]Entry
	placement Placement
}

func (l *listReference) apply(update listUpdate) {
	if update.complete {
		clear(l.listed)
	}
	for _, entry := range update.entries {
		if l.listed[entry.ID] = entry; entry.State == Removed {
			delete(l.listed, entry.ID)
		}
	}
}

func (l *listReference) ready() (ready []Entry) {
	for entry := range maps.Values(l.listed) {
		if entry.State == Ready {
			ready = append(ready, entry)
		}
	}
	slices.SortFunc(ready, func(entry, other Entry) int { return cmp.Compare(entry.ID, other.ID) })
	return ready
}

// groups returns the IDs of the ready endpoints in two groups, and the parts of the groups in a subset of
// this size.
func (l *listReference) groups(size int) (groups, subsets [2][]string) {
	ready := l.ready()
	cut := int(math.Ceil(leftShare * float64(len(ready))))
	for i, group := range [][]Entry{ready[:cut], ready[cut:]} {
		for _, entry := range group {
			groups[i] = append(groups[i], entry.ID)
		}
		part := int(math.Ceil(float64(size) * float64(len(group)) / max(float64(len(ready)), 1)))
		subset := slices.Concat(l.rotated(group, true), l.rotated(group, false))
		subsets[i] = subset[:min(part, len(group))]
	}
	return groups, subsets
}

// rotated returns the IDs of a group's endpoints, either those of the replica's own zone or the others, starting
// at the replica's position.
func (l *listReference) rotated(group []Entry, own bool) []string {
	var ids []string
	for _, entry := range group {
		if (entry.Zone == l.placement.Zone) == own {
			ids = append(ids, entry.ID)
		}
	}
	p := l.placement
	start := p.Index * max(1, p.ZoneCount) * len(ids) / max(1, p.Replicas) % max(1, len(ids))
	return slices.Concat(ids[start:], ids[:start])
}

// sentAttempt is an attempt in flight.
type sentAttempt struct {
	endpoint *Endpoint
	sent     time.Duration
}

// randomListRun applies random events to a list and compares it with the reference after each.
type randomListRun struct {
	*testing.T
	rng       *rand.Rand
	list      List
	reference listReference
	now       time.Duration
	class     latency.Estimator
	inFlight  []sentAttempt
	history   []string
}

// listedOrNewEntry returns a listed entry or, one time in four, an entry with a random ID.
func (r *randomListRun) listedOrNewEntry() Entry {
	if len(r.reference.listed) > 0 && r.rng.IntN(4) > 0 {
		known := slices.Sorted(maps.Keys(r.reference.listed))
		return r.reference.listed[known[r.rng.IntN(len(known))]]
	}
	return Entry{
		ID: fmt.Sprintf("s%02d", r.rng.IntN(60)), Zone: fmt.Sprint("z", r.rng.IntN(3)), Capacity: 1,
		StartedAt: time.Duration(r.rng.IntN(2)) * r.now,
	}
}

// randomEntry returns an entry that changes an endpoint in one way, or not at all.
func (r *randomListRun) randomEntry() Entry {
	entry := r.listedOrNewEntry()
	switch r.rng.IntN(8) {
	case 0, 1:
		entry.State = Removed
	case 2:
		entry.State = Draining
	case 3:
		entry.State = Ready
	case 4:
		entry.StartedAt = r.now - time.Duration(r.rng.IntN(3))*time.Second
	case 5:
		entry.Zone = fmt.Sprint("z", r.rng.IntN(3))
	case 6:
		entry.Capacity, entry.Cell = r.rng.Float64(), r.rng.IntN(3)
	}
	return entry
}

// randomUpdate returns a few changes, which may contain an endpoint twice, or a complete list in random
// order.
func (r *randomListRun) randomUpdate() listUpdate {
	update := listUpdate{complete: r.rng.IntN(12) == 0}
	if update.complete {
		for _, entry := range r.reference.listed {
			if r.rng.IntN(8) > 0 {
				update.entries = append(update.entries, entry)
			}
		}
		slices.SortFunc(update.entries, func(entry, other Entry) int { return cmp.Compare(entry.ID, other.ID) })
		r.rng.Shuffle(len(update.entries), func(i, j int) {
			update.entries[i], update.entries[j] = update.entries[j], update.entries[i]
		})
	}
	for range 1 + r.rng.IntN(3) {
		update.entries = append(update.entries, r.randomEntry())
	}
	if r.rng.IntN(4) == 0 {
		again := update.entries[r.rng.IntN(len(update.entries))]
		again.State = State(r.rng.IntN(3))
		update.entries = append(update.entries, again)
	}
	return update
}

func (r *randomListRun) randomPlacement() Placement {
	placement := r.reference.placement
	switch r.rng.IntN(3) {
	case 0:
		placement.Zone = fmt.Sprint("z", r.rng.IntN(4)) // the last zone has no endpoints
	case 1:
		placement.Index = r.rng.IntN(100)
	case 2:
		placement.Replicas, placement.ZoneCount = r.rng.IntN(30), r.rng.IntN(4)
	}
	return placement
}

// step applies one random event.
func (r *randomListRun) step() {
	r.now += time.Duration(r.rng.IntN(300)) * time.Millisecond
	switch n := r.rng.IntN(10); {
	case n < 5:
		update := r.randomUpdate()
		r.record("update %+v", update)
		r.reference.apply(update)
		if update.complete {
			r.list.Replace(update.entries)
		} else {
			r.list.ApplyChanges(update.entries)
		}
	case n < 6:
		r.reference.placement = r.randomPlacement()
		r.record("placement %+v", r.reference.placement)
		r.list.Configure(r.reference.placement)
	case n < 8 || len(r.inFlight) == 0:
		r.record("attempt with %d in flight", len(r.inFlight))
		r.send()
	default:
		i := r.rng.IntN(len(r.inFlight))
		r.record("end of attempt %d", i)
		ended := r.inFlight[i]
		ended.endpoint.Attempts.EndAttempt(ended.sent, &r.class)
		r.list.RemoveIfUnused(ended.endpoint)
		r.inFlight = slices.Delete(r.inFlight, i, i+1)
	}
}

// send starts an attempt at an endpoint of the subset.
func (r *randomListRun) send() {
	r.list.ResizeSubset(float64(len(r.inFlight)))
	subset, _ := r.list.Subset()
	if endpoints := slices.Concat(subset.Left, subset.Right); len(endpoints) > 0 {
		ep := endpoints[r.rng.IntN(len(endpoints))]
		ep.Attempts.StartAttempt(r.now, &r.class)
		r.inFlight = append(r.inFlight, sentAttempt{ep, r.now})
	}
}

func (r *randomListRun) check() {
	groups, size := r.list.Subset()
	want, subsets := r.reference.groups(size)
	r.requireEqual("left group", endpointIDs(r.list.Groups().Left), want[0])
	r.requireEqual("right group", endpointIDs(r.list.Groups().Right), want[1])
	if size > 0 { // otherwise the next request rebuilds the subset
		r.requireEqual("left part of the subset", endpointIDs(groups.Left), subsets[0])
		r.requireEqual("right part of the subset", endpointIDs(groups.Right), subsets[1])
		var marked []string
		for _, ep := range r.list.ready.all {
			if ep.InSubset() {
				marked = append(marked, ep.ID)
			}
		}
		r.requireEqual("marked as in the subset", marked,
			slices.Sorted(slices.Values(slices.Concat(subsets[0], subsets[1]))))
	}
	r.checkKnown()
	r.checkYoungest()
}

// checkKnown compares the known endpoints with those that are listed or have attempts in flight.
func (r *randomListRun) checkKnown() {
	known := slices.Collect(maps.Keys(r.reference.listed))
	for id, ep := range r.list.byID {
		if ep.listed && ep.Entry != r.reference.listed[id] {
			r.fail("entry", ep.Entry, r.reference.listed[id])
		}
		if !ep.listed && ep.Attempts.InFlight() > 0 {
			known = append(known, id)
		}
	}
	r.requireEqual("known endpoints", slices.Sorted(maps.Keys(r.list.byID)), slices.Sorted(slices.Values(known)))
}

// checkYoungest compares the start time of the youngest ready endpoint.
func (r *randomListRun) checkYoungest() {
	ready, youngest := r.reference.ready(), r.list.Youngest()
	if len(ready) == 0 || youngest == nil {
		if len(ready) > 0 || youngest != nil {
			r.fail("youngest", youngest, ready)
		}
		return
	}
	latest := slices.MaxFunc(ready, func(entry, other Entry) int {
		return cmp.Compare(entry.StartedAt, other.StartedAt)
	})
	if youngest.StartedAt != latest.StartedAt {
		r.fail("start of the youngest", youngest.StartedAt, latest.StartedAt)
	}
}

func (r *randomListRun) record(format string, args ...any) {
	r.history = append(r.history, fmt.Sprintf("%v ", r.now)+fmt.Sprintf(format, args...))
}

func (r *randomListRun) requireEqual(what string, got, want []string) {
	if !slices.Equal(got, want) {
		r.fail(what, got, want)
	}
}

func (r *randomListRun) fail(what string, got, want any) {
	r.Helper()
	last := r.history[max(0, len(r.history)-5):]
	r.Fatalf("step %d: %s: got %v, want %v; last events: %q", len(r.history), what, got, want, last)
}

// Whatever the changes to a list, its groups, subsets and marks equal those built from scratch.
func TestChangedListEqualsRebuiltList(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			placement := Placement{Zone: "z1", ZoneCount: 3, Replicas: 9, Index: 4}
			r := randomListRun{
				T: t, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Hour, list: NewList(),
				reference: listReference{map[string]Entry{}, placement},
			}
			r.list.Configure(placement)
			for range 400 {
				r.step()
				r.check()
			}
		})
	}
}

// A restart discards all records of an endpoint but its attempts in flight; other changes keep all records.
func TestRestartDiscardsTheRecords(t *testing.T) {
	class := latency.NewEstimator(time.Second)
	for _, c := range []struct {
		name   string
		change Entry
		kept   bool
	}{
		{"another cell and capacity", Entry{ID: "s00", Zone: "z", Cell: 1, Capacity: 2}, true},
		{"another zone", Entry{ID: "s00", Zone: "other"}, true},
		{"draining", Entry{ID: "s00", Zone: "z", State: Draining}, true},
		{"a restart", Entry{ID: "s00", Zone: "z", StartedAt: time.Minute}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := newTestList(Placement{}, testEntries(3))
			ep := list.byID["s00"]
			ep.Latency.Observe(2)
			ep.Attempts.StartAttempt(time.Second, &class)
			list.ApplyChanges([]Entry{c.change})
			if list.byID["s00"] != ep || ep.Attempts.InFlight() != 1 || ep.Entry != c.change {
				t.Errorf("after the change: got %+v with %d attempts in flight, want the changed entry with 1",
					ep.Entry, ep.Attempts.InFlight())
			}
			if kept := ep.Latency.Speed() != 1; kept != c.kept {
				t.Errorf("latency kept: got %v, want %v", kept, c.kept)
			}
		})
	}
}
