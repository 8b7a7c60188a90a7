package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// holdOnAverage has so many attempts in flight on average.
func holdOnAverage(b *Balancer, attempts int) {
	holdAttempts(b, attempts)
	for range 200 {
		b.admission.End()
		b.admission.Begin()
	}
}

// Replicas order the endpoints alike, whatever order their lists came in.
func TestReplicasOrderEndpointsAlike(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	l := servers(7)
	a.Handle(0, EndpointUpdate{Complete: true, Endpoints: l})
	for i := len(l) - 1; i >= 0; i-- {
		b.Handle(0, EndpointUpdate{Endpoints: l[i : i+1]})
	}
	for i := range l {
		if a.ready.all[i].ID != b.ready.all[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.ready.all[i].ID, b.ready.all[i].ID)
		}
	}
}

// The subsets of many replicas cover each group evenly, and a busy node takes a wider one.
func TestSubsetsCoverTheGroupsEvenly(t *testing.T) {
	count := map[string]int{}
	const nodes = 60
	for i := range nodes {
		b := newBalancer(t, func(s *Settings) { s.Tier, s.Replicas, s.ReplicaIndex = 1, nodes, i })
		b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(40)})
		b.choose(&request{class: b.classes.byName["get"]})
		for _, s := range append(append([]*endpoint{}, b.subset.own.left...), b.subset.own.right...) {
			count[s.ID]++
		}
		if idle := b.subset.size; idle >= 20 {
			t.Fatalf("an idle node's subset has %d servers", idle)
		}
		holdOnAverage(b, 8)
		if b.resizeSubset(); b.subset.size < 12 {
			t.Fatalf("a busy node's subset has %d servers", b.subset.size)
		}
	}
	least, most := nodes, 0
	for _, s := range servers(40) {
		least, most = min(least, count[s.ID]), max(most, count[s.ID])
	}
	if least < 4 || most-least > 3 {
		t.Errorf("servers are in %d to %d subsets", least, most)
	}
}

// The subsets of a zone's replicas cover its servers evenly, however the replicas are numbered, and include
// the other zone when they are wider than their own.
func TestSubsetsPreferTheirZoneAndCoverItEvenly(t *testing.T) {
	for _, numbered := range []string{"in a row", "in turns"} {
		count := map[string]int{}
		const replicas = 60
		for i := range replicas {
			b := newBalancer(t, func(s *Settings) {
				setZone(s, i, replicas)
				if s.Tier = 1; numbered == "in turns" {
					s.Zone = []string{"north", "east"}[i%2]
				}
			})
			b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: zonedServers(40)})
			b.resizeSubset()
			for _, s := range slices.Concat(b.subset.own.left, b.subset.own.right) {
				if count[s.ID]++; s.Zone != b.settings.Zone {
					t.Fatalf("replica %d in %s has %s of %s in a subset of %d", i, b.settings.Zone, s.ID, s.Zone, b.subset.size)
				}
			}
			holdOnAverage(b, 100)
			if b.resizeSubset(); len(b.subset.own.left)+len(b.subset.own.right) != 40 {
				t.Fatalf("a replica's widest subset has %d and %d servers", len(b.subset.own.left), len(b.subset.own.right))
			}
		}
		least, most := replicas, 0
		for _, s := range servers(40) {
			least, most = min(least, count[s.ID]), max(most, count[s.ID])
		}
		if least < 4 || most-least > 4 {
			t.Errorf("numbered %s: servers are in %d to %d subsets", numbered, least, most)
		}
	}
}

// Lists of 1,024 servers and as many replicas are used completely: all subsets together contain each server,
// each about as often as the others, and a replica whose subset rejects it finds the rest.
func TestSubsetsOfAThousandReplicasCoverAThousandServers(t *testing.T) {
	const many = 1024
	var list []Endpoint
	for i := range many {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: "z", Capacity: 1})
	}
	pooled := map[string]int{}
	for i := range many {
		b := newBalancer(t, func(s *Settings) { s.Replicas, s.ReplicaIndex, s.Zone, s.ZoneCount, s.Tier = many, i, "z", 1, 1 })
		b.Handle(0, EndpointUpdate{Complete: true, Endpoints: list})
		acts := b.Handle(0, Request{ID: "r", Class: "get", Deadline: time.Second})
		if len(sends(acts)) != 1 {
			t.Fatalf("replica %d: a request led to %v", i, acts)
		}
		for _, s := range b.ready.all {
			if s.inSubset {
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
	if least < minReplicasPerEndpoint || most > 2*least {
		t.Errorf("servers are in %d to %d subsets, want alike and at least %d", least, most, minReplicasPerEndpoint)
	}
}
