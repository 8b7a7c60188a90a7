package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/outlier"
)

const msec = time.Millisecond

// testSettings has one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{
				Name: "get", Effect: Idempotent, Scope: ScopeAll, LatencyObjective: 500 * msec,
				Deadline: 1500 * msec, PriorityWeight: 1,
			},
			{
				Name: "post", Effect: IdempotentByKey, Scope: ScopeCell, DedupWindow: 900 * msec,
				LatencyObjective: 500 * msec, Deadline: 1500 * msec, PriorityWeight: 2,
			},
			{
				Name: "pay", Effect: NonIdempotent, LatencyObjective: 500 * msec, Deadline: 1500 * msec,
				PriorityWeight: 3,
			},
		},
		Replicas: 2, Tier: 0, TotalWeight: 0.6, WorstClassWeight: 0.3,
		MaxAttempts: 5, AllowCancel: true, Tick: 2 * msec,
		PollWithin: 10 * time.Second, MaxRetryAfter: 2 * time.Second,
		SlowStartFloor: 0.2, SlowStartDuration: 10 * time.Second,
	}
}

func newBalancer(t testing.TB, change func(*Settings)) *Balancer {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func servers(n int) []Endpoint {
	var l []Endpoint
	for i := range n {
		l = append(l, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return l
}

// sends returns the Send actions among acts.
func sends(acts []Action) []Send {
	var l []Send
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			l = append(l, s)
		}
	}
	return l
}

// succeed ends the only attempt of a request with its answer.
func succeed(b *Balancer, now time.Duration, id string, s Send) []Action {
	return b.Handle(now, AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: Success, Answered: true})
}

// sendTraffic sends n requests one after another; fate decides how attempts at a server end. It returns how
// many first attempts each server got in the second half.
func sendTraffic(b *Balancer, n int, class string, fate func(server string) AttemptResult) map[string]int {
	got := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				got[s.Endpoint]++
			}
			for k := range 5 {
				e := fate(s.Endpoint)
				now += 10 * msec
				again := sends(b.Handle(now, AttemptEnded{
					ID: id, Attempt: k, Endpoint: s.Endpoint, Result: e, Answered: e == Success,
				}))
				if len(again) == 0 {
					break
				}
				s = again[0]
			}
		}
	}
	return got
}

// observeLatency makes so many answers of a class known, all with the same latency.
func observeLatency(c *class, latency time.Duration, samples int) {
	for range samples {
		c.latency.Observe(float64(latency))
	}
}

// zonedServers lists servers of two zones, each in both groups.
func zonedServers(n int) []Endpoint {
	l := servers(n)
	for i := range l {
		l[i].Zone = []string{"north", "north", "east", "east"}[i%4]
	}
	return l
}

// setZone sets a replica's zone, by its index: the replicas of a zone are numbered in a row.
func setZone(s *Settings, index, replicas int) {
	s.Replicas, s.ReplicaIndex, s.ZoneCount = replicas, index, 2
	s.Zone = []string{"north", "east"}[2*index/replicas]
}

// knownEndpoint returns the endpoint with this id.
func knownEndpoint(t testing.TB, b *Balancer, id string) *endpoints.Endpoint {
	t.Helper()
	for ep := range b.endpoints.Known() {
		if ep.ID == id {
			return ep
		}
	}
	t.Fatalf("no endpoint %s is known", id)
	return nil
}

// allReady returns the ready endpoints in order.
func allReady(b *Balancer) []*endpoints.Endpoint {
	groups := b.endpoints.Groups()
	return slices.Concat(groups.Left, groups.Right)
}

// holdAttempts has so many attempts in flight, besides those that a test sends.
func holdAttempts(b *Balancer, attempts int) {
	for range attempts {
		b.admission.StartAttempt()
	}
}

// shedUpTo sheds requests until a share of them is shed, within two hundredths and not over it.
func shedUpTo(b *Balancer, share float64) {
	for b.admission.ShedShare() < share {
		b.admission.ObserveShed()
	}
	b.admission.ObserveAdmitted()
}

// eject ejects an endpoint for so long, whatever the others do.
func eject(ep *endpoints.Endpoint, now, length time.Duration) {
	detector := outlier.NewDetector()
	const baseEjection = 12 // mean latencies that a first ejection lasts
	detector.ObserveFailure(&ep.Health, now, float64(length)/baseEjection)
}

// failAttempts makes so many failures of a class known, at an endpoint that is not listed.
func failAttempts(b *Balancer, name string, failures int) {
	for range failures {
		(&outlier.Record{}).UpdateFailureRates(b.classes.byName[name].failureRates, true, b.now, float64(msec))
	}
}

// countKnown returns how many endpoints are known.
func countKnown(b *Balancer) (known int) {
	for range b.endpoints.Known() {
		known++
	}
	return known
}

// countRates counts the failure rates that an endpoint's record holds.
func countRates(ep *endpoints.Endpoint) (rates int) {
	ep.Health.RetainClasses(func(*outlier.ClassRate) bool {
		rates++
		return true
	})
	return rates
}

// endpointsWith returns a group of endpoints with so many attempts in flight each.
func endpointsWith(inFlight ...int) (group []*endpoints.Endpoint) {
	for i, attempts := range inFlight {
		ep := &endpoints.Endpoint{Entry: Endpoint{ID: fmt.Sprint(i)}}
		for range attempts {
			ep.Attempts.StartAttempt(0, nil)
		}
		group = append(group, ep)
	}
	return group
}
