package balancer

import (
	"fmt"
	"testing"
	"time"
)

// With 1,024 endpoints and as many replicas, the subsets together contain every endpoint, all about equally
// often, and each replica can send a request.
func TestSubsetsOfAThousandReplicasCoverAThousandEndpoints(t *testing.T) {
	const size, minSubsets = 1024, 2 // length of the list and number of replicas; subsets per endpoint
	var list []Endpoint
	for i := range size {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: "z", Capacity: 1})
	}
	subsets := map[string]int{} // number of subsets by endpoint
	for i := range size {
		b := newBalancer(t, func(s *Settings) {
			s.Replicas, s.ReplicaIndex, s.Zone, s.ZoneCount, s.Tier = size, i, "z", 1, 1
		})
		b.Handle(0, EndpointUpdate{Complete: true, Endpoints: list})
		actions := b.Handle(0, Request{ID: "r", Class: "get", Deadline: time.Second})
		if len(sends(actions)) != 1 {
			t.Fatalf("replica %d: a request led to the actions %v, want one Send", i, actions)
		}
		for ep := range b.endpoints.Known() {
			if ep.InSubset() {
				subsets[ep.ID]++
			}
		}
	}
	if len(subsets) != size {
		t.Errorf("%d of %d endpoints are in a subset, want all", len(subsets), size)
	}
	fewest, most := size, 0
	for _, n := range subsets {
		fewest, most = min(fewest, n), max(most, n)
	}
	if fewest < minSubsets || most > 2*fewest {
		t.Errorf("endpoints are in %d to %d subsets, want at least %d and a ratio of at most 2",
			fewest, most, minSubsets)
	}
}
