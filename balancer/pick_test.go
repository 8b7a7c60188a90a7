package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/latency"
)

// The pick draws a candidate from each group and takes the one with fewer calls in flight; a tie goes to the
// first group, and with no calls at all by the groups' sizes.
func TestPickComparesTwoCandidatesByCalls(t *testing.T) {
	mk := func(calls ...int) []*endpoints.Endpoint {
		var l []*endpoints.Endpoint
		for i, c := range calls {
			ep := &endpoints.Endpoint{Entry: Endpoint{ID: fmt.Sprint(i, c)}}
			for range c {
				ep.Attempts.Begin(0, nil)
			}
			l = append(l, ep)
		}
		return l
	}
	b := newBalancer(t, nil)
	const n = 20000
	shareLeft := func(left, right []*endpoints.Endpoint) float64 {
		got := 0
		for range n {
			s := b.endpoints.pick(left, right)
			for _, l := range left {
				if s == l {
					got++
				}
			}
		}
		return float64(got) / n
	}
	for _, c := range []struct {
		name        string
		left, right []*endpoints.Endpoint
		want        float64
	}{
		{"fewer left", mk(1), mk(2), 1},
		{"fewer right", mk(2), mk(1), 0},
		{"zero beats one", mk(1), mk(0), 0},
		{"nonzero tie goes left", mk(3), mk(3), 1},
		{"zero tie by shares", mk(0, 0, 0), mk(0), 0.75},
		{"left empty", nil, mk(1), 0},
		{"right empty", mk(5), nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := shareLeft(c.left, c.right); math.Abs(got-c.want) > 0.02 {
				t.Errorf("%s: left share %.3f, want %.2f", c.name, got, c.want)
			}
		})
	}
	if b.endpoints.pick(nil, nil) != nil {
		t.Error("picked from nothing")
	}
	left, count := mk(0, 0, 0, 0), map[*endpoints.Endpoint]int{}
	for range n {
		count[b.endpoints.pick(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("uniform draw gave a server %.3f", got)
		}
	}
}

// Below the first tier a server that holds several of the node's calls is avoided while others are idle.
func TestLoadedServerIsAvoidedWhileOthersAreIdle(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(6)})
	patient := latency.NewEstimator(time.Hour) // of a class whose attempts make no endpoint suspect
	for range 2 {
		knownEndpoint(t, b, "s00").Attempts.Begin(0, &patient)
		b.admission.Begin()
	}
	got := sendTraffic(b, 300, "get", func(string) AttemptResult { return Success })
	if got["s00"] != 0 || len(got) != 5 {
		t.Errorf("draws: %v", got)
	}
}

// Servers that are slow for the whole fleet are picked less often, though each node's own counts are zero.
func TestPickFollowsCapacityAndLatency(t *testing.T) {
	list := servers(4)
	for i := range list {
		list[i].Capacity = 1
	}
	list[0].Capacity = 2
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Replicas = 1, 1 })
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: list})
	for range 100 {
		knownEndpoint(t, b, "s02").Latency.Observe(2)
	}
	got := map[string]int{}
	for range 9000 {
		got[b.choose(&request{class: b.classes.byName["get"]}).ID]++
	}
	// A pair's other side is drawn alike, so the zero tie leaves each its share of all weights.
	total := 2 + 0.25
	for id, weight := range map[string]float64{"s00": 1, "s01": 0.5, "s02": 0.25, "s03": 0.5} {
		if f := float64(got[id]) / 9000; math.Abs(f-weight/total) > 0.02 {
			t.Errorf("%s got %.3f of the draws, want %.3f", id, f, weight/total)
		}
	}
}

// Capacities that a host took from elsewhere may be invalid: no server becomes ineligible for that.
func TestInvalidCapacitiesLeaveServersEligible(t *testing.T) {
	list := servers(4)
	for i, size := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		list[i].Capacity = size
	}
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: list})
	if got := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second})); len(got) != 1 {
		t.Errorf("sent %v", got)
	}
}

// A coarse clock measures responses in no time at all: that must not give every server a weight of zero.
func TestZeroLatencyLeavesServersEligible(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(4)})
	for i := range 50 {
		id := fmt.Sprint(i)
		got := sends(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second}))
		if len(got) != 1 {
			t.Fatalf("request %d: sent %v", i, got)
		}
		endAttempt(b, msec, id, got[0], Success)
	}
}

// The first server to respond must not look fast against a guess of the latency, and then win every pick.
func TestFirstResponseDoesNotSkewLatency(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(8)})
	s := sends(b.Handle(msec, Request{ID: "a", Class: "get", Deadline: time.Second}))[0]
	endAttempt(b, 3*msec, "a", s, Success)
	if got := math.Log(knownEndpoint(t, b, s.Endpoint).Latency.Speed()); got > 0.1 {
		t.Errorf("the first answer made its server look fast by %.1f in log speed", got)
	}
}

// The servers of a lost zone are listed for seconds more. Replicas that call their own zone lose nothing by
// it; with subsets of both zones, each replica of each tier would have to discover each lost server by a call
// that is never answered.
func TestReplicasServeWhileAnotherZoneIsUnresponsive(t *testing.T) {
	const replicas, rounds = 16, 40
	hung, sent := 0, 0
	for i := replicas / 2; i < replicas; i++ { // those of the remaining zone
		b := newBalancer(t, func(s *Settings) { setZone(s, i, replicas); s.Tier = 1 })
		b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: zonedServers(40)})
		for k := range rounds {
			id, now := fmt.Sprint(k), time.Duration(k+1)*100*msec
			for _, s := range sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + time.Second})) {
				sent++
				if knownEndpoint(t, b, s.Endpoint).Zone == "north" {
					hung++
					continue
				}
				endAttempt(b, now+20*msec, id, s, Success)
			}
		}
	}
	if sent != replicas/2*rounds || hung > 0 {
		t.Errorf("%d of %d calls went to an unresponsive zone, want none of %d", hung, sent, replicas/2*rounds)
	}
}
