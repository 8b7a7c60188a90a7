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

// testSettings returns settings of the first tier with one class of each effect.
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

// newBalancer returns a Balancer with the test settings, changed by change unless it is nil.
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

// testEndpoints returns a list of n ready endpoints of one zone, in two cells.
func testEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return list
}

// sends returns the Send actions among the actions.
func sends(actions []Action) []Send {
	var sent []Send
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			sent = append(sent, s)
		}
	}
	return sent
}

// succeed ends the first attempt of a request with a response.
func succeed(b *Balancer, now time.Duration, id string, s Send) []Action {
	return b.Handle(now, AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: Success, Answered: true})
}

// sendTraffic sends n requests one after another, whose attempts end with the result that resultAt gives for
// the endpoint. It returns the number of first attempts that each endpoint got in the second half.
func sendTraffic(
	b *Balancer, n int, class string, resultAt func(endpoint string) AttemptResult,
) map[string]int {
	firstAttempts := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				firstAttempts[s.Endpoint]++
			}
			for attempt := range 5 {
				result := resultAt(s.Endpoint)
				now += 10 * msec
				retries := sends(b.Handle(now, AttemptEnded{
					ID: id, Attempt: attempt, Endpoint: s.Endpoint, Result: result, Answered: result == Success,
				}))
				if len(retries) == 0 {
					break
				}
				s = retries[0]
			}
		}
	}
	return firstAttempts
}

// observeLatency observes responses of a class, all with the same latency.
func observeLatency(c *class, latency time.Duration, responses int) {
	for range responses {
		c.latency.Observe(float64(latency))
	}
}

// zonedEndpoints returns a list of endpoints in two zones, with endpoints of each zone in both groups of the
// list.
func zonedEndpoints(n int) []Endpoint {
	list := testEndpoints(n)
	for i := range list {
		list[i].Zone = []string{"north", "north", "east", "east"}[i%4]
	}
	return list
}

// setZone sets a replica's index and zone. The replicas of a zone have consecutive indexes.
func setZone(settings *Settings, index, replicas int) {
	settings.Replicas, settings.ReplicaIndex, settings.ZoneCount = replicas, index, 2
	settings.Zone = []string{"north", "east"}[2*index/replicas]
}

// knownEndpoint returns the endpoint with this ID, which must be known.
func knownEndpoint(t testing.TB, b *Balancer, id string) *endpoints.Endpoint {
	t.Helper()
	for ep := range b.endpoints.Known() {
		if ep.ID == id {
			return ep
		}
	}
	t.Fatalf("endpoint %s is not known", id)
	return nil
}

// allReady returns the ready endpoints of the left group, then those of the right group.
func allReady(b *Balancer) []*endpoints.Endpoint {
	groups := b.endpoints.Groups()
	return slices.Concat(groups.Left, groups.Right)
}

// startAttempts adds attempts in flight to the load of the replica, besides those that a test sends.
func startAttempts(b *Balancer, attempts int) {
	for range attempts {
		b.admission.StartAttempt()
	}
}

// shedUpTo sheds requests until the shed share is within 0.02 of the given share.
func shedUpTo(b *Balancer, share float64) {
	for b.admission.ShedShare() < share {
		b.admission.ObserveShed()
	}
	b.admission.ObserveAdmitted()
}

// eject ejects an endpoint for the given time, whatever the results at the others.
func eject(ep *endpoints.Endpoint, now, duration time.Duration) {
	detector := outlier.NewDetector()
	const baseEjection = 12 // duration of a first ejection, in mean latencies
	detector.ObserveFailure(&ep.Health, now, float64(duration)/baseEjection)
}

// observeFailures observes failures of a class at an endpoint that is not in the list.
func observeFailures(b *Balancer, name string, failures int) {
	for range failures {
		(&outlier.Record{}).UpdateFailureRates(b.classes.byName[name].failureRates, true, b.now, float64(msec))
	}
}

// countKnown returns the number of known endpoints.
func countKnown(b *Balancer) (known int) {
	for range b.endpoints.Known() {
		known++
	}
	return known
}

// countFailureRates returns the number of classes whose failure rates an endpoint's health record holds.
func countFailureRates(ep *endpoints.Endpoint) (rates int) {
	ep.Health.RetainClasses(func(*outlier.ClassRate) bool {
		rates++
		return true
	})
	return rates
}

// endpointsWith returns a group of endpoints with the given numbers of attempts in flight.
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
