package balancer

import (
	"testing"
	"time"
)

// initialRetryBudget is the number of retries at full cost that a new retry budget allows.
const initialRetryBudget = 5.0

// An attempt gets only half of the remaining time if attempts of its class fail, the request may be retried,
// and a retry has enough time and budget.
func TestAttemptTimeoutIsHalvedOnlyIfARetryMayFollow(t *testing.T) {
	for _, c := range []struct {
		name       string
		tier       int
		class      string
		failures   int     // failed attempts observed before
		budget     float64 // number of retries that the retry budget allows
		left, want time.Duration
	}{
		{"attempts fail", 1, "get", 4, 5, 800 * msec, 400 * msec},
		{"in the first tier", 0, "get", 4, 5, 400 * msec, 400 * msec},
		{"not idempotent", 1, "pay", 4, 5, 800 * msec, 800 * msec},
		{"no failures", 1, "get", 0, 5, 800 * msec, 800 * msec},
		{"the budget is spent", 1, "get", 4, 0, 800 * msec, 800 * msec},
		{"responses may take that long", 1, "get", 4, 5, 500 * msec, 500 * msec},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(t, func(s *Settings) { s.Tier = c.tier })
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(4)})
			observeFailures(b, c.class, c.failures)
			b.retryBudget.Withdraw(initialRetryBudget - c.budget)
			s := sends(b.Handle(0, Request{ID: "a", Class: c.class, Deadline: c.left}))[0]
			if s.Timeout != c.want {
				t.Errorf("timeout is %v, want %v", s.Timeout, c.want)
			}
		})
	}
}

// An attempt that the host did not start puts no load on any endpoint, so its retry costs no budget, but it
// counts towards the maximum number of attempts of a request.
func TestNotSentCostsNoRetryBudget(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.MaxAttempts = 4 })
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(10)})
	b.retryBudget.Withdraw(initialRetryBudget - 0.05) // less than the cost of any other retry
	before := b.retryBudget
	sent := sends(b.Handle(0, Request{ID: "r", Class: "get", Deadline: time.Second}))
	for n := 0; len(sent) > 0; n++ {
		if n == 4 {
			t.Fatal("the request got more than 4 attempts")
		}
		if b.retryBudget != before {
			t.Errorf("attempt %d: retry budget is %v, want %v as before", n, b.retryBudget, before)
		}
		actions := b.Handle(0, AttemptEnded{ID: "r", Attempt: n, Endpoint: sent[0].Endpoint, Result: NotSent})
		if sent = sends(actions); len(sent) == 0 && n != 3 {
			t.Errorf("the request got %d attempts, want 4", n+1)
		}
	}
	if b.requests["r"] != nil {
		t.Error("the request has no final response after its last attempt")
	}
}

// A retry that is not marked is identified by a timeout shorter than the usual one of its class.
func TestShortDeadlineIdentifiesARetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "retry", Class: "get", Deadline: 5*time.Second + 900*msec})
	if r := b.requests["first"]; r == nil || r.isRetry || r.arrived != 0 {
		t.Errorf("first attempt is %+v, want an arrival at 0 and no retry", r)
	}
	// The retry arrives 100 ms after its latency objective of 500 ms. It is still queued, as no endpoint is
	// ready.
	r := b.requests["retry"]
	if r == nil || !r.isRetry || r.arrived != 5*time.Second-600*msec {
		t.Errorf("retry is %+v, want a retry whose first attempt arrived at 4.4s", r)
	}
}

// A request that its client writes slowly has the usual timeout, measured from its first byte. A request with
// another timeout is a retry only if it is late by its first byte.
func TestSlowlySentRequestIsNotARetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(time.Second, Request{ID: "first", Class: "get", Deadline: 2500 * msec})
	for _, c := range []struct {
		id                      string
		now, firstByte, timeout time.Duration
		retry                   bool
		arrived                 time.Duration
	}{
		{"slow", 5 * time.Second, 4400 * msec, 1500 * msec, false, 5 * time.Second},
		{"slow with another timeout", 6 * time.Second, 5500 * msec, 1300 * msec, false, 5300 * msec},
		{"slow retry", 7 * time.Second, 6950 * msec, 900 * msec, true, 6350 * msec},
		{"first byte after now", 8 * time.Second, 9 * time.Second, 500 * msec, false, 8 * time.Second},
	} {
		t.Run(c.id, func(t *testing.T) {
			b.Handle(c.now, Request{ID: c.id, Class: "get", FirstByte: c.firstByte, Deadline: c.firstByte + c.timeout})
			if r := b.requests[c.id]; r == nil || r.isRetry != c.retry || r.arrived != c.arrived {
				t.Errorf("request is %+v, want retry %v and arrival at %v", r, c.retry, c.arrived)
			}
			b.classes.byName["get"].timeout.Reset()
			b.classes.byName["get"].timeout.Observe(float64(1500 * msec)) // the usual timeout
		})
	}
}
