package balancer

import (
	"fmt"
	"testing"
	"time"

	"basaltdrum/balancer/internal/outlier"
)

// An endpoint that fails fast has few attempts in flight and, without ejection, would win every pick.
func TestEndpointThatFailsFastIsEjected(t *testing.T) {
	for _, result := range []AttemptResult{ServerError, ConnectFailed, ConnectionLost} {
		t.Run(fmt.Sprint("result ", int(result)), func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(10)})
			got := sendTraffic(b, 600, "get", func(endpoint string) AttemptResult {
				if endpoint == "s03" {
					return result
				}
				return Success
			})
			if got["s03"] > 10 {
				t.Errorf("result %v: the faulty endpoint got %d of 300 first attempts, want at most 10",
					result, got["s03"])
			}
		})
	}
}

// When all endpoints fail alike, the fault is below them, and nearly all of them must still be used.
func TestFailuresEverywhereEjectFewEndpoints(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(10)})
	got := sendTraffic(b, 800, "get", func(string) AttemptResult { return ServerError })
	if len(got) < 8 {
		t.Errorf("%d of 10 endpoints are still used, want at least 8", len(got))
	}
}

// An unresponsive endpoint can be detected only by an old attempt in flight while other endpoints respond.
func TestUnresponsiveEndpointIsAvoided(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(10)})
	stuck, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Endpoint == "s03" {
				stuck++
			} else {
				succeed(b, now+10*msec, id, s)
			}
		}
	}
	if stuck == 0 || stuck > 6 {
		t.Errorf("the unresponsive endpoint has %d attempts in flight, want 1 to 6", stuck)
	}
}

// An endpoint on trial after an ejection gets no request that can't be retried.
func TestEndpointOnTrialGetsNoNonIdempotentRequest(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(10)})
	ep := knownEndpoint(t, b, "s03")
	eject(ep, 0, 0)
	if got := sendTraffic(b, 400, "pay", func(string) AttemptResult { return Success }); got["s03"] != 0 {
		t.Errorf("an endpoint on trial got %d non-idempotent requests, want none", got["s03"])
	}
	if got := sendTraffic(b, 400, "get", func(string) AttemptResult { return Success }); got["s03"] == 0 {
		t.Error("the endpoint on trial got no idempotent request, want some")
	}
}

// In overload every endpoint is needed: the more load is shed, the fewer unhealthy endpoints are excluded.
func TestLoadSheddingExcludesFewerEndpoints(t *testing.T) {
	for _, c := range []struct {
		shed float64 // share of the requests
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 0}} {
		t.Run(fmt.Sprint("shed share ", c.shed), func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: testEndpoints(20)})
			for _, ep := range allReady(b)[:10] {
				eject(ep, msec, time.Minute)
			}
			shedUpTo(b, c.shed)
			excluded := 0
			choice := selection{
				endpointSelector: &b.endpoints, now: b.now, req: &request{class: b.classes.byName["get"]},
				load: replicaLoad{shedShare: b.admission.ShedShare()},
			}
			choice.excludeUnhealthy(candidates{groups: b.endpoints.Groups(), excludeOutliers: true})
			for _, ep := range allReady(b) {
				if ep.Excluded {
					excluded++
				}
			}
			if excluded != c.want {
				t.Errorf("shed share %.1f: %d endpoints are excluded, want %d", c.shed, excluded, c.want)
			}
		})
	}
}

// An endpoint whose connection table is filled by other replicas refuses connections at once. It gets no more
// attempts of this replica than it had in flight, however many other endpoints refuse too, and is tried again
// later.
func TestEndpointThatRefusesConnectionsGetsNoMoreAttempts(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Replicas = 1, 1 })
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: testEndpoints(10)})
	now, id := msec, 0
	full := map[string]bool{"s00": true, "s02": true, "s03": true, "s05": true, "s06": true, "s08": true}
	countRefusals := func(requests int) (refusals int) {
		for range requests {
			now += 5 * msec
			id++
			sent := sends(b.Handle(now, Request{ID: fmt.Sprint(id), Class: "get", Deadline: now + time.Second}))
			for attempt := 0; len(sent) > 0; attempt++ {
				result := Success
				if full[sent[0].Endpoint] {
					result = ConnectFailed
					refusals++
				}
				now += 20 * msec
				sent = sends(b.Handle(now, AttemptEnded{
					ID: fmt.Sprint(id), Attempt: attempt, Endpoint: sent[0].Endpoint,
					Result: result, Answered: result == Success,
				}))
			}
		}
		return refusals
	}
	// 6 of 10 endpoints refuse. If refusals were not remembered, each request would meet more than one.
	if got := countRefusals(24); got < 3 || got > 16 {
		t.Errorf("24 requests met %d refusals, want 3 to 16", got)
	}
	now += time.Minute
	if countRefusals(20) == 0 {
		t.Error("endpoints that refused connections were not tried again after a minute")
	}
}

// An overloaded endpoint responds, but late. One slow response must be enough to eject it for a while,
// because one of many replicas sends it too few requests to average over several responses. Where slow
// responses are common, the endpoint is not ejected.
func TestSlowResponseEjectsEndpoint(t *testing.T) {
	for _, c := range []struct {
		otherFailures int // among the latest results at all endpoints; with 11, half of them are failures
		want          bool
	}{{0, true}, {11, false}} {
		t.Run(fmt.Sprint(c.otherFailures, " other failures"), func(t *testing.T) {
			b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
			b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: testEndpoints(10)})
			sendTraffic(b, 40, "get", func(string) AttemptResult { return Success })
			b.endpoints.outliers = outlier.NewDetector()
			for range c.otherFailures {
				b.endpoints.outliers.ObserveFailure(&outlier.Record{}, b.now, float64(msec))
			}
			now := b.now
			s := sends(b.Handle(now, Request{ID: "slow", Class: "get", Deadline: now + time.Second}))[0]
			succeed(b, now+400*msec, "slow", s)
			if ejected := knownEndpoint(t, b, s.Endpoint).Health.IsEjected(b.now); ejected != c.want {
				t.Errorf("with %d other failures: ejected is %v, want %v", c.otherFailures, ejected, c.want)
			}
		})
	}
}
