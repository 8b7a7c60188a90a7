package balancer

import (
	"fmt"
	"testing"
	"time"

	"basaltdrum/balancer/internal/admission"
	"basaltdrum/balancer/internal/endpoints"
)

// An attempt that the host itself delayed tells nothing about its endpoint or about the load of all
// endpoints, whatever its result and latency.
func TestAttemptsDelayedByHostAreNotCounted(t *testing.T) {
	want := playDelayedAttempts(t, Cancelled)
	for result := range attemptResultCount {
		t.Run(result.String(), func(t *testing.T) {
			// The limiter counts the same sends whatever the result, so its whole state must be equal.
			if got := playDelayedAttempts(t, result); got != want {
				t.Errorf("concurrency limiter is %s, want %s as after cancelled attempts", got, want)
			}
		})
	}
}

// playDelayedAttempts ends 50 attempts that the host delayed, all with the same result, and checks that they
// change neither the concurrency limit nor any statistics. It returns the state of the concurrency limiter.
func playDelayedAttempts(t *testing.T, result AttemptResult) string {
	t.Helper()
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(10)})
	sendTraffic(b, 200, "get", func(string) AttemptResult { return Success })
	now, limit, before := b.now, b.admission.Limit(), observations(b)
	for i := range 50 {
		id := fmt.Sprint("held-", i)
		sent := sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + time.Second}))
		if len(sent) != 1 {
			t.Fatalf("%v: request %s led to %d sends, want 1", result, id, len(sent))
		}
		now += 400 * msec
		b.Handle(now, AttemptEnded{
			ID: id, Endpoint: sent[0].Endpoint, Result: result, Latency: 400 * msec, Answered: true,
			DelayedByHost: true,
		})
	}
	if b.admission.Limit() != limit {
		t.Errorf("%v: concurrency limit is %v, want %v as before", result, b.admission.Limit(), limit)
	}
	after := observations(b)
	for name, want := range before {
		if after[name] != want {
			t.Errorf("%v: %s is %s, want %s as before", result, name, after[name], want)
		}
	}
	limiter := b.admission
	limiter.Configure(admission.Priorities{}) // removes the pointers to classes, which differ from run to run
	return fmt.Sprintf("%+v", limiter)
}

// observations formats the statistics of all endpoints together, of the class get and of each endpoint.
func observations(b *Balancer) map[string]string {
	class := b.classes.byName["get"]
	formatted := map[string]string{
		"health":        fmt.Sprintf("%+v %+v", b.endpoints.outliers, b.endpoints.unresponsive),
		"class latency": fmt.Sprintf("%+v %+v", class.latency, class.failureRate),
	}
	for ep := range b.endpoints.Known() {
		formatted[ep.ID] = formatObservations(*ep)
	}
	return formatted
}

// formatObservations formats the state of an endpoint without the parts that sending alone changes.
func formatObservations(ep endpoints.Endpoint) string {
	return fmt.Sprintf("%+v %+v %+v %+v %+v", ep.Entry, ep.Attempts, ep.Latency, ep.Health, ep.Rejections)
}
