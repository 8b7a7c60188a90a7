package upstream

import (
	"maps"
	"slices"
	"testing"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
)

// newEntry returns an entry of an endpoint list.
func newEntry(id string, state balancer.EndpointState, bootMS float64) endpointlist.Entry {
	return endpointlist.Entry{
		Endpoint: balancer.Endpoint{ID: id, State: state}, Address: "127.0.0.1:1", BootMS: bootMS,
	}
}

// instancesOf returns the initial instances of ready endpoints with the given uids.
func instancesOf(ids ...string) []endpointlist.Instance {
	var instances []endpointlist.Instance
	for _, id := range ids {
		instances = append(instances, newEntry(id, balancer.Ready, 0).Instance())
	}
	return instances
}

// tableUpdate is a case of TestEndpointTableAppliesUpdates: an update of a list of the ready endpoints a and b.
type tableUpdate struct {
	name     string
	entries  []endpointlist.Entry
	complete bool
	unready  []endpointlist.Instance // reported by apply
	ready    []endpointlist.Instance // of the initial instances of a, b and c, after the update
	listed   []string
}

func tableUpdates() []tableUpdate {
	ready, draining, removed := balancer.Ready, balancer.Draining, balancer.Removed
	return []tableUpdate{
		{
			name:  "nothing",
			ready: instancesOf("a", "b"), listed: []string{"a", "b"},
		},
		{
			name: "the same entry", entries: []endpointlist.Entry{newEntry("a", ready, 0)},
			ready: instancesOf("a", "b"), listed: []string{"a", "b"},
		},
		{
			name: "a new endpoint", entries: []endpointlist.Entry{newEntry("c", ready, 0)},
			ready: instancesOf("a", "b", "c"), listed: []string{"a", "b", "c"},
		},
		{
			name: "an endpoint drains", entries: []endpointlist.Entry{newEntry("a", draining, 0)},
			unready: instancesOf("a"), ready: instancesOf("b"), listed: []string{"a", "b"},
		},
		{
			name: "an endpoint restarts", entries: []endpointlist.Entry{newEntry("a", ready, 1)},
			unready: instancesOf("a"), ready: instancesOf("b"), listed: []string{"a", "b"},
		},
		{
			name: "an endpoint is removed", entries: []endpointlist.Entry{newEntry("a", removed, 0)},
			unready: instancesOf("a"), ready: instancesOf("b"), listed: []string{"b"},
		},
		{
			name: "an unknown endpoint is removed", entries: []endpointlist.Entry{newEntry("c", removed, 0)},
			ready: instancesOf("a", "b"), listed: []string{"a", "b"},
		},
		{
			name: "a complete list without one", entries: []endpointlist.Entry{newEntry("b", ready, 0)},
			complete: true,
			unready:  instancesOf("a"), ready: instancesOf("b"), listed: []string{"b"},
		},
		{
			name: "a complete list in which one drains", complete: true,
			entries: []endpointlist.Entry{newEntry("a", draining, 0), newEntry("c", ready, 0)},
			unready: instancesOf("a", "b"), ready: instancesOf("c"), listed: []string{"a", "c"},
		},
		{
			name: "an empty complete list", complete: true,
			unready: instancesOf("a", "b"),
		},
	}
}

func TestEndpointTableAppliesUpdates(t *testing.T) {
	for _, test := range tableUpdates() {
		t.Run(test.name, func(t *testing.T) {
			table := endpointTable{}
			first := []endpointlist.Entry{newEntry("a", balancer.Ready, 0), newEntry("b", balancer.Ready, 0)}
			table.apply(first, true, func(instance endpointlist.Instance) {
				t.Errorf("apply reports %v as unready for an empty table", instance)
			})
			var unready []endpointlist.Instance
			table.apply(test.entries, test.complete, func(instance endpointlist.Instance) {
				unready = append(unready, instance)
			})
			slices.SortFunc(unready, func(a, b endpointlist.Instance) int { return int(a.UID[0]) - int(b.UID[0]) })
			if !slices.Equal(unready, test.unready) {
				t.Errorf("unready instances %v, want %v", unready, test.unready)
			}
			var ready []endpointlist.Instance
			for _, instance := range instancesOf("a", "b", "c") {
				if table.isReady(instance) {
					ready = append(ready, instance)
				}
			}
			if !slices.Equal(ready, test.ready) {
				t.Errorf("ready instances %v, want %v", ready, test.ready)
			}
			if listed := slices.Sorted(maps.Keys(table)); !slices.Equal(listed, test.listed) {
				t.Errorf("listed endpoints %v, want %v", listed, test.listed)
			}
		})
	}
}
