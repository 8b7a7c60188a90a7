package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/latency"
)

// pickShares picks often from two groups, and returns the share of each endpoint.
func pickShares(b *Balancer, left, right []*endpoints.Endpoint) map[*endpoints.Endpoint]float64 {
	const picks = 20000
	shares := map[*endpoints.Endpoint]float64{}
	for range picks {
		shares[b.endpoints.pick(left, right)] += 1.0 / picks
	}
	return shares
}

// The pick draws a candidate from each group and takes the one with fewer attempts in flight; a tie goes to
// the first group, and with no attempt at all by the groups' sizes.
func TestPickComparesTwoCandidatesByAttempts(t *testing.T) {
	b := newBalancer(t, nil)
	for _, c := range []struct {
		name        string
		left, right []*endpoints.Endpoint
		want        float64 // share of the left group
	}{
		{"fewer left", endpointsWith(1), endpointsWith(2), 1},
		{"fewer right", endpointsWith(2), endpointsWith(1), 0},
		{"zero beats one", endpointsWith(1), endpointsWith(0), 0},
		{"nonzero tie goes left", endpointsWith(3), endpointsWith(3), 1},
		{"zero tie by shares", endpointsWith(0, 0, 0), endpointsWith(0), 0.75},
		{"left empty", nil, endpointsWith(1), 0},
		{"right empty", endpointsWith(5), nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, shares := 0.0, pickShares(b, c.left, c.right)
			for _, ep := range c.left {
				got += shares[ep]
			}
			if math.Abs(got-c.want) > 0.02 {
				t.Errorf("%s: left share %.3f, want %.2f", c.name, got, c.want)
			}
		})
	}
	if b.endpoints.pick(nil, nil) != nil {
		t.Error("picked from nothing")
	}
}

// Endpoints that nothing distinguishes are picked equally often.
func TestPickIsUniformAmongEqualEndpoints(t *testing.T) {
	left := endpointsWith(0, 0, 0, 0)
	shares := pickShares(newBalancer(t, nil), left, nil)
	for _, ep := range left {
		if math.Abs(shares[ep]-0.25) > 0.02 {
			t.Errorf("uniform draw gave endpoint %s %.3f", ep.ID, shares[ep])
		}
	}
}

// Below the first tier a server that holds several of the node's calls is avoided while others are idle.
func TestLoadedServerIsAvoidedWhileOthersAreIdle(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(6)})
	patient := latency.NewEstimator(time.Hour) // of a class whose attempts make no endpoint suspect
	for range 2 {
		knownEndpoint(t, b, "s00").Attempts.StartAttempt(0, &patient)
		b.admission.StartAttempt()
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
		got[b.chooseEndpoint(&request{class: b.classes.byName["get"]}).ID]++
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
		succeed(b, msec, id, got[0])
	}
}

// The first server to respond must not look fast against a guess of the latency, and then win every pick.
func TestFirstResponseDoesNotSkewLatency(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(8)})
	s := sends(b.Handle(msec, Request{ID: "a", Class: "get", Deadline: time.Second}))[0]
	succeed(b, 3*msec, "a", s)
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
				succeed(b, now+20*msec, id, s)
			}
		}
	}
	if sent != replicas/2*rounds || hung > 0 {
		t.Errorf("%d of %d calls went to an unresponsive zone, want none of %d", hung, sent, replicas/2*rounds)
	}
}
