package endpoints

import (
	"fmt"
	"slices"
	"testing"
)

// Replicas order the endpoints alike, whatever the order of the entries that they receive.
func TestReplicasOrderEndpointsAlike(t *testing.T) {
	entries := testEntries(7)
	complete, changed := NewList(), NewList()
	complete.Replace(entries)
	for _, entry := range slices.Backward(entries) {
		changed.ApplyChanges([]Entry{entry})
	}
	if got, want := endpointIDs(changed.ready.all), endpointIDs(complete.ready.all); !slices.Equal(got, want) {
		t.Errorf("order after single changes: got %v, want %v as after a complete list", got, want)
	}
}

// coverage counts the subsets that each endpoint is in, over many replicas with the same list.
type coverage map[string]int

func (c coverage) add(groups Groups) {
	for _, ep := range slices.Concat(groups.Left, groups.Right) {
		c[ep.ID]++
	}
}

// bounds returns the smallest and the largest count of the endpoints.
func (c coverage) bounds(entries []Entry) (least, most int) {
	least = c[entries[0].ID]
	for _, entry := range entries {
		least, most = min(least, c[entry.ID]), max(most, c[entry.ID])
	}
	return least, most
}

// The subsets of many replicas cover each group evenly, and a busy replica uses a larger subset.
func TestSubsetsCoverTheGroupsEvenly(t *testing.T) {
	const replicas = 60
	entries, count := testEntries(40), coverage{}
	for i := range replicas {
		list := newTestList(Placement{Replicas: replicas, Index: i}, entries)
		list.ResizeSubset(0)
		groups, idle := list.Subset()
		count.add(groups)
		if idle >= 20 {
			t.Fatalf("size of an idle replica's subset: got %d, want less than 20", idle)
		}
		list.ResizeSubset(8)
		if _, busy := list.Subset(); busy < 12 {
			t.Fatalf("size of a busy replica's subset: got %d, want at least 12", busy)
		}
	}
	if least, most := count.bounds(entries); least < 4 || most-least > 3 {
		t.Errorf("subsets per endpoint: got %d to %d, want at least 4 and a difference of at most 3", least, most)
	}
}

// The subsets of a zone's replicas cover its endpoints evenly, however the replicas are numbered. Subsets
// that are larger than the zone include endpoints of the other zone.
func TestSubsetsPreferTheirZoneAndCoverItEvenly(t *testing.T) {
	const replicas = 60
	for _, c := range []struct {
		name string
		zone func(index int) string
	}{
		{"numbered in a row", func(index int) string { return []string{"north", "east"}[2*index/replicas] }},
		{"numbered in turns", func(index int) string { return []string{"north", "east"}[index%2] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			entries, count := zonedEntries(40), coverage{}
			for i := range replicas {
				placement := Placement{Zone: c.zone(i), ZoneCount: 2, Replicas: replicas, Index: i}
				list := newTestList(placement, entries)
				list.ResizeSubset(0)
				groups, size := list.Subset()
				count.add(groups)
				for _, ep := range slices.Concat(groups.Left, groups.Right) {
					if ep.Zone != placement.Zone {
						t.Fatalf("replica %d in %s has %s of %s in a subset of %d, want only its own zone", i,
							placement.Zone, ep.ID, ep.Zone, size)
					}
				}
				list.ResizeSubset(100)
				if groups, _ := list.Subset(); len(groups.Left)+len(groups.Right) != 40 {
					t.Fatalf("largest subset: got %d and %d endpoints, want 40 in total", len(groups.Left),
						len(groups.Right))
				}
			}
			if least, most := count.bounds(entries); least < 4 || most-least > 4 {
				t.Errorf("subsets per endpoint: got %d to %d, want at least 4 and a difference of at most 4",
					least, most)
			}
		})
	}
}

// A subset is rebuilt if it is too small or much too large, or if the placement has changed.
func TestSubsetIsResizedRarely(t *testing.T) {
	placement := Placement{Replicas: 20}
	list := newTestList(placement, testEntries(40))
	for _, step := range []struct {
		name         string
		meanInFlight float64
		index        int
		want         bool
	}{
		{"at first", 0, 0, true},
		{"the same", 0, 0, false},
		{"a little more", 3, 0, false},
		{"too small", 12, 0, true},
		{"a little less", 8, 0, false},
		{"much too large", 0, 0, true},
		{"another place among the replicas", 0, 1, true},
	} {
		placement.Index = step.index
		list.Configure(placement)
		if got := list.ResizeSubset(step.meanInFlight); got != step.want {
			t.Errorf("%s: rebuilt: got %v, want %v", step.name, got, step.want)
		}
	}
}

func Example() {
	list := NewList()
	list.Configure(Placement{Zone: "north", ZoneCount: 2, Replicas: 4, Index: 1})
	var entries []Entry
	for i := range 12 {
		entries = append(entries, Entry{ID: fmt.Sprintf("s%02d", i), Zone: []string{"north", "east"}[i%2]})
	}
	list.Replace(entries)
	list.ResizeSubset(0)
	subset, _ := list.Subset()
	fmt.Println("left:", endpointIDs(subset.Left))
	fmt.Println("right:", endpointIDs(subset.Right))
	// Output:
	// left: [s02 s04 s00 s03]
	// right: [s08 s10 s06 s09]
}
