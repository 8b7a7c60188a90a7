package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Lists of 1,024 servers and as many replicas are used completely: all subsets together contain each server,
// each about as often as the others, and a replica whose subset rejects it finds the rest.
func TestSubsetsOfAThousandReplicasCoverAThousandServers(t *testing.T) {
	const many, replicasPerServer = 1024, 2
	var list []Endpoint
	for i := range many {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: "z", Capacity: 1})
	}
	pooled := map[string]int{}
	for i := range many {
		b := newBalancer(t, func(s *Settings) {
			s.Replicas, s.ReplicaIndex, s.Zone, s.ZoneCount, s.Tier = many, i, "z", 1, 1
		})
		b.Handle(0, EndpointUpdate{Complete: true, Endpoints: list})
		acts := b.Handle(0, Request{ID: "r", Class: "get", Deadline: time.Second})
		if len(sends(acts)) != 1 {
			t.Fatalf("replica %d: a request led to %v", i, acts)
		}
		for s := range b.endpoints.Known() {
			if s.InSubset() {
				pooled[s.ID]++
			}
		}
	}
	if len(pooled) != many {
		t.Errorf("%d of %d servers are in a subset", len(pooled), many)
	}
	least, most := many, 0
	for _, n := range pooled {
		least, most = min(least, n), max(most, n)
	}
	if least < replicasPerServer || most > 2*least {
		t.Errorf("servers are in %d to %d subsets, want alike and at least %d", least, most, replicasPerServer)
	}
}
