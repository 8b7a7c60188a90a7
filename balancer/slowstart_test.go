package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// After an outage the whole subset of a replica may be warming up. Slow start must still apply while the rest
// of the list is warm: otherwise many such replicas would overload the endpoints that are warming up.
func TestSlowStartAppliesToASubsetThatIsWarmingUp(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Replicas = 1, 50 })
	list := testEndpoints(40)
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: list})
	b.chooseEndpoint(&request{class: b.classes.byName["get"]})
	subset, _ := b.endpoints.Subset()
	for _, ep := range slices.Concat(subset.Left, subset.Right) {
		for i := range list {
			if list[i].ID == ep.ID {
				list[i].StartedAt = time.Second
			}
		}
	}
	b.Handle(time.Second, EndpointUpdate{Complete: true, Endpoints: list})
	warming := 0
	for range 1000 {
		if ep := b.chooseEndpoint(&request{class: b.classes.byName["get"]}); ep.StartedAt > 0 {
			warming++
		}
	}
	if got := float64(warming) / 1000; got > 0.05 { // a few of 40 endpoints, each with a fifth of its share
		t.Errorf("the subset that is warming up got %.2f of the attempts, want at most 0.05", got)
	}
}

// An endpoint that is warming up gets no heavy requests, which would take it much longer than a warm one, but
// gets light ones, whose responses come well within the latency objective.
func TestWarmingEndpointGetsNoHeavyRequests(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	list := testEndpoints(4)
	list[1].StartedAt = time.Second
	b.Handle(2*time.Second, EndpointUpdate{Complete: true, Endpoints: list}) // capacity share 0.28
	// Number of requests sent to the endpoint that is warming up, by expected work.
	requests := map[time.Duration]int{}
	for i := range 400 {
		work := []time.Duration{10 * msec, 100 * msec}[i%2]
		id, now := fmt.Sprint(i), b.now+10*time.Microsecond
		s := sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + time.Second, ExpectedWork: work}))[0]
		if succeed(b, now, id, s); s.Endpoint == "s01" && i >= 20 {
			requests[work]++
		}
	}
	if requests[100*msec] > 0 || requests[10*msec] < 20 {
		t.Errorf("the warming endpoint got %d heavy and %d light requests, want none and at least 20",
			requests[100*msec], requests[10*msec])
	}
}

// overloadMultiple and overloadWindow are the overload limit of the endpoints. testSettings does not set it.
const overloadMultiple, overloadWindow = 3.0, 2 * time.Second

// warmCapacity is the number of requests per second that a warm endpoint can serve. They take meanWork on
// average.
const warmCapacity, meanWork = 50.0, 20 * msec

// warmingEndpointResult holds the load of an endpoint that starts during a run.
type warmingEndpointResult struct {
	requests      int
	maxLimitShare float64 // most work received in any overloadWindow, as a share of the limit
	earlyShare    float64 // share of all the work between 3 s and 6 s
}

// playWarmingEndpoint lets replicas send requests at three quarters of the capacity of 6 endpoints, one of
// which, s02, starts at 1 s. work draws the work of a request, relative to the mean; send sends a request and
// returns the endpoint that gets it.
func playWarmingEndpoint(settings Settings, replicas int, seed uint64, work func(*rand.Rand) float64,
	send func(replica int, now time.Duration, id string, work float64) string,
) (result warmingEndpointResult) {
	rng := rand.New(rand.NewPCG(seed, seed))
	type receivedRequest struct {
		at   time.Duration
		work float64
	}
	var received []receivedRequest
	earlyWork, earlyTotal := 0.0, 0.0
	for i := range int(0.75 * 6 * warmCapacity * 12) {
		now := time.Second + time.Duration(float64(i)/(0.75*6*warmCapacity)*float64(time.Second))
		relativeWork := work(rng)
		endpoint := send(rng.IntN(replicas), now, fmt.Sprint(i), relativeWork)
		// The capacity share is then 0.36 to 0.6, and so the share of the capacity of all endpoints 0.06 to
		// 0.1.
		isEarly := now > 3*time.Second && now < 6*time.Second
		if isEarly {
			earlyTotal += relativeWork
		}
		if endpoint != "s02" {
			continue
		}
		received = append(received, receivedRequest{now, relativeWork})
		if isEarly {
			earlyWork += relativeWork
		}
	}
	for i := range received {
		sum := 0.0
		for _, later := range received[i:] {
			if later.at < received[i].at+overloadWindow {
				sum += later.work
			}
		}
		progress := float64(received[i].at-time.Second) / float64(settings.SlowStartDuration)
		share := min(1, settings.SlowStartFloor+(1-settings.SlowStartFloor)*progress)
		limit := overloadMultiple * warmCapacity * share * overloadWindow.Seconds()
		result.maxLimitShare = max(result.maxLimitShare, sum/limit)
	}
	result.requests, result.earlyShare = len(received), earlyWork/earlyTotal
	return result
}

// warmingReplicas returns replicas whose list has six endpoints, of which s02 starts at 1 s.
func warmingReplicas(t *testing.T, settings Settings, replicas int) (balancers []*Balancer) {
	t.Helper()
	list := testEndpoints(6)
	list[2].StartedAt = time.Second
	for i := range replicas {
		settings.ReplicaIndex = i
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Complete: true, Endpoints: list})
		balancers = append(balancers, b)
	}
	return balancers
}

// meanWorkOnly gives each request the mean work.
func meanWorkOnly(*rand.Rand) float64 { return 1 }

// All replicas together send an endpoint that is warming up at most its overload limit in each window.
func TestWarmingEndpointStaysWithinItsLimit(t *testing.T) {
	settings := testSettings()
	for _, replicas := range []int{12, 200} {
		t.Run(fmt.Sprint(replicas, " replicas"), func(t *testing.T) {
			settings.Tier, settings.Replicas = 1, replicas
			balancers := warmingReplicas(t, settings, replicas)
			send := func(replica int, now time.Duration, id string, _ float64) string {
				b := balancers[replica]
				s := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))[0]
				b.Handle(now+meanWork, AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: Success, Answered: true})
				return s.Endpoint
			}
			result := playWarmingEndpoint(settings, replicas, 3, meanWorkOnly, send)
			if result.requests < 20 || result.maxLimitShare > 1 {
				t.Errorf("the endpoint got %d requests and %.2f of its limit, want at least 20 and at most 1",
					result.requests, result.maxLimitShare)
			}
		})
	}
	// The check can fail: if all requests go to the endpoint that is warming up, they exceed its limit.
	result := playWarmingEndpoint(settings, 12, 3, meanWorkOnly,
		func(int, time.Duration, string, float64) string { return "s02" })
	if result.maxLimitShare <= 1 {
		t.Errorf("all requests are %.2f of the endpoint's limit, want more than 1", result.maxLimitShare)
	}
}

// If requests carry their expected work, an endpoint that is warming up gets light requests. All replicas
// together stay within its limit, but use more than half of its capacity while the other endpoints are busy.
func TestWarmingEndpointIsUsedWithinItsLimit(t *testing.T) {
	settings := testSettings()
	for _, replicas := range []int{12, 100} {
		t.Run(fmt.Sprint(replicas, " replicas"), func(t *testing.T) {
			settings.Tier, settings.Replicas = 1, replicas
			balancers := warmingReplicas(t, settings, replicas)
			work := func(rng *rand.Rand) float64 { return max(0.01, rng.ExpFloat64()) }
			send := func(replica int, now time.Duration, id string, work float64) string {
				b, latency := balancers[replica], time.Duration(work*float64(meanWork))
				s := sends(b.Handle(now, Request{
					ID: id, Class: "get", Deadline: now + time.Second, ExpectedWork: latency,
				}))[0]
				b.Handle(now+latency, AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: Success, Answered: true})
				return s.Endpoint
			}
			result := playWarmingEndpoint(settings, replicas, 9, work, send)
			if result.maxLimitShare > 1 || result.earlyShare < 0.1 {
				t.Errorf("the endpoint got %.2f of its limit and %.3f of the work, want at most 1 and at least 0.1",
					result.maxLimitShare, result.earlyShare)
			}
		})
	}
}
