package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/latency"
)

// measurePickShares picks many times from two groups and returns the share of the picks that each endpoint
// got.
func measurePickShares(b *Balancer, left, right []*endpoints.Endpoint) map[*endpoints.Endpoint]float64 {
	const picks = 20000
	shares := map[*endpoints.Endpoint]float64{}
	for range picks {
		shares[b.endpoints.pick(left, right)] += 1.0 / picks
	}
	return shares
}

// The pick draws a candidate from each group and returns the one with fewer attempts in flight. A tie goes to
// the left group or, if neither has any attempt in flight, to a group drawn in proportion to the groups'
// sizes.
func TestPickComparesTwoCandidatesByAttempts(t *testing.T) {
	b := newBalancer(t, nil)
	for _, c := range []struct {
		name        string
		left, right []*endpoints.Endpoint
		want        float64 // share of the left group
	}{
		{"fewer attempts on the left", endpointsWith(1), endpointsWith(2), 1},
		{"fewer attempts on the right", endpointsWith(2), endpointsWith(1), 0},
		{"none against one", endpointsWith(1), endpointsWith(0), 0},
		{"a tie above zero goes left", endpointsWith(3), endpointsWith(3), 1},
		{"a tie at zero is drawn by size", endpointsWith(0, 0, 0), endpointsWith(0), 0.75},
		{"left empty", nil, endpointsWith(1), 0},
		{"right empty", endpointsWith(5), nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, shares := 0.0, measurePickShares(b, c.left, c.right)
			for _, ep := range c.left {
				got += shares[ep]
			}
			if math.Abs(got-c.want) > 0.02 {
				t.Errorf("the left group got %.3f of the picks, want %.2f", got, c.want)
			}
		})
	}
	if b.endpoints.pick(nil, nil) != nil {
		t.Error("picked an endpoint from empty groups, want nil")
	}
}

// Endpoints that nothing distinguishes are picked equally often.
func TestPickIsUniformAmongEqualEndpoints(t *testing.T) {
	left := endpointsWith(0, 0, 0, 0)
	shares := measurePickShares(newBalancer(t, nil), left, nil)
	for _, ep := range left {
		if math.Abs(shares[ep]-0.25) > 0.02 {
			t.Errorf("endpoint %s got %.3f of the picks, want 0.25", ep.ID, shares[ep])
		}
	}
}

// Below the first tier, an endpoint with several attempts of this replica in flight is avoided while others
// are idle.
func TestLoadedEndpointIsAvoidedWhileOthersAreIdle(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(6)})
	slowClass := latency.NewEstimator(time.Hour) // attempts of this class are never suspected
	for range 2 {
		knownEndpoint(t, b, "s00").Attempts.StartAttempt(0, &slowClass)
		b.admission.StartAttempt()
	}
	got := sendTraffic(b, 300, "get", func(string) AttemptResult { return Success })
	if got["s00"] != 0 || len(got) != 5 {
		t.Errorf("first attempts by endpoint are %v, want none at s00 and some at each of the 5 others", got)
	}
}

// Endpoints with less capacity or higher latency are picked less often, even while no attempts are in flight.
func TestPickFollowsCapacityAndLatency(t *testing.T) {
	list := testEndpoints(4)
	for i := range list {
		list[i].Capacity = 1
	}
	list[0].Capacity = 2
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Replicas = 1, 1 })
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: list})
	for range 100 {
		knownEndpoint(t, b, "s02").Latency.Observe(2)
	}
	picks := map[string]int{}
	for range 9000 {
		picks[b.chooseEndpoint(&request{class: b.classes.byName["get"]}).ID]++
	}
	// Both groups are drawn by weight, and so is the tie at zero, so each endpoint gets its share of all
	// weights.
	total := 2 + 0.25
	for id, weight := range map[string]float64{"s00": 1, "s01": 0.5, "s02": 0.25, "s03": 0.5} {
		if share := float64(picks[id]) / 9000; math.Abs(share-weight/total) > 0.02 {
			t.Errorf("endpoint %s got %.3f of the picks, want %.3f", id, share, weight/total)
		}
	}
}

// The host may pass invalid capacities, such as NaN. They don't make any endpoint ineligible.
func TestInvalidCapacitiesLeaveEndpointsEligible(t *testing.T) {
	list := testEndpoints(4)
	for i, capacity := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		list[i].Capacity = capacity
	}
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: list})
	if got := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second})); len(got) != 1 {
		t.Errorf("a request led to sends %v, want one", got)
	}
}

// A coarse clock may measure a latency of 0. That must not give the endpoints a weight of zero.
func TestZeroLatencyLeavesEndpointsEligible(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: testEndpoints(4)})
	for i := range 50 {
		id := fmt.Sprint(i)
		got := sends(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second}))
		if len(got) != 1 {
			t.Fatalf("request %d led to sends %v, want one", i, got)
		}
		succeed(b, msec, id, got[0])
	}
}

// The first endpoint to respond must not appear fast relative to the initial latency estimate: it would win
// every pick.
func TestFirstResponseDoesNotSkewLatency(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: testEndpoints(8)})
	s := sends(b.Handle(msec, Request{ID: "a", Class: "get", Deadline: time.Second}))[0]
	succeed(b, 3*msec, "a", s)
	if got := math.Log(knownEndpoint(t, b, s.Endpoint).Latency.Speed()); got > 0.1 {
		t.Errorf("the logarithm of the speed is %.1f after the first response, want at most 0.1", got)
	}
}

// The endpoints of a failed zone stay in the list for seconds. Replicas that send to their own zone are not
// affected. With subsets of both zones, each replica of each tier would detect each failed endpoint
// only by an attempt that gets no response.
func TestReplicasServeWhileAnotherZoneIsUnresponsive(t *testing.T) {
	const replicas, rounds = 16, 40
	unanswered, sent := 0, 0
	for i := replicas / 2; i < replicas; i++ { // the replicas of the remaining zone
		b := newBalancer(t, func(s *Settings) { setZone(s, i, replicas); s.Tier = 1 })
		b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: zonedEndpoints(40)})
		for round := range rounds {
			id, now := fmt.Sprint(round), time.Duration(round+1)*100*msec
			for _, s := range sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + time.Second})) {
				sent++
				if knownEndpoint(t, b, s.Endpoint).Zone == "north" {
					unanswered++
					continue
				}
				succeed(b, now+20*msec, id, s)
			}
		}
	}
	if sent != replicas/2*rounds || unanswered > 0 {
		t.Errorf("%d of %d attempts went to the unresponsive zone, want none of %d", unanswered, sent,
			replicas/2*rounds)
	}
}
