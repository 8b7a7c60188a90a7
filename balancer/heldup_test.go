package balancer

import (
	"fmt"
	"testing"
	"time"

	"basaltdrum/balancer/internal/admission"
	"basaltdrum/balancer/internal/endpoints"
)

// An attempt that the host itself held up says nothing about its server, nor about the load of all of them,
// however it ended and however long that took.
func TestHeldUpAttemptsAreNotCounted(t *testing.T) {
	limiter := playHeldUpAttempts(t, Cancelled)
	for result := range attemptResultCount {
		t.Run(result.String(), func(t *testing.T) {
			// The limiter counts the same sends after any result, so that all of it must be equal.
			if got := playHeldUpAttempts(t, result); got != limiter {
				t.Errorf("the concurrency limit is %s, after cancelled attempts %s", got, limiter)
			}
		})
	}
}

// playHeldUpAttempts ends fifty attempts, held up by the host, in one way, and checks that nothing is learned
// from them. It returns the concurrency limit.
func playHeldUpAttempts(t *testing.T, result AttemptResult) string {
	t.Helper()
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(10)})
	sendTraffic(b, 200, "get", func(string) AttemptResult { return Success })
	now, limit, before := b.now, b.admission.Limit(), observationsOf(b)
	for i := range 50 {
		id := fmt.Sprint("held-", i)
		sent := sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + time.Second}))
		if len(sent) != 1 {
			t.Fatalf("%v: %d sends", result, len(sent))
		}
		now += 400 * msec
		b.Handle(now, AttemptEnded{
			ID: id, Endpoint: sent[0].Endpoint, Result: result, Latency: 400 * msec, Answered: true, HeldUp: true,
		})
	}
	if b.admission.Limit() != limit {
		t.Errorf("%v: the concurrency limit went from %v to %v", result, limit, b.admission.Limit())
	}
	after := observationsOf(b)
	for what, was := range before {
		if after[what] != was {
			t.Errorf("%v: %s is %s, was %s", result, what, after[what], was)
		}
	}
	limiter := b.admission
	limiter.Configure(admission.Priorities{}) // whose classes are others in each run
	return fmt.Sprintf("%+v", limiter)
}

// observationsOf prints what was observed of all endpoints, of each and of the class of the traffic.
func observationsOf(b *Balancer) map[string]string {
	class := b.classes.byName["get"]
	observations := map[string]string{
		"health":        fmt.Sprintf("%+v %+v", b.endpoints.outliers, b.endpoints.unresponsive),
		"class latency": fmt.Sprintf("%+v %+v", class.latency, class.failureRate),
	}
	for ep := range b.endpoints.Known() {
		observations[ep.ID] = withoutSends(*ep)
	}
	return observations
}

// withoutSends prints an endpoint without what a send alone changes.
func withoutSends(ep endpoints.Endpoint) string {
	return fmt.Sprintf("%+v %+v %+v %+v %+v", ep.Entry, ep.Attempts, ep.Latency, ep.Health, ep.Rejections)
}
