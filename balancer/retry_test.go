package balancer

import (
	"testing"
	"time"
)

// newBudget is how many retries a new budget pays for.
const newBudget = 5.0

// An attempt is cut short only where attempts go unanswered, where it may be retried, and where a retry has
// time and budget.
func TestAttemptTimeoutIsCutOnlyWhereARetryMayFollow(t *testing.T) {
	for _, c := range []struct {
		name       string
		tier       int
		class      string
		failures   int // of the latest attempts
		tokens     float64
		left, want time.Duration
	}{
		{"calls hang", 1, "get", 4, 5, 800 * msec, 400 * msec},
		{"in the first tier", 0, "get", 4, 5, 400 * msec, 400 * msec},
		{"must not run twice", 1, "pay", 4, 5, 800 * msec, 800 * msec},
		{"none fails", 1, "get", 0, 5, 800 * msec, 800 * msec},
		{"the budget is spent", 1, "get", 4, 0, 800 * msec, 800 * msec},
		{"answers may take that long", 1, "get", 4, 5, 500 * msec, 500 * msec},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(t, func(s *Settings) { s.Tier = c.tier })
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(4)})
			failAttempts(b, c.class, c.failures)
			b.retryBudget.Withdraw(newBudget - c.tokens)
			s := sends(b.Handle(0, Request{ID: "a", Class: c.class, Deadline: c.left}))[0]
			if s.Timeout != c.want {
				t.Errorf("%s: time-out %v, want %v", c.name, s.Timeout, c.want)
			}
		})
	}
}

// An attempt that never left the host costs no server anything: its retry is free, but counts against the
// maximum of attempts of a request.
func TestNotSentCostsNoRetryBudget(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.MaxAttempts = 4 })
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(10)})
	b.retryBudget.Withdraw(newBudget - 0.05) // less than any retry costs but a free one
	before := b.retryBudget
	sent := sends(b.Handle(0, Request{ID: "r", Class: "get", Deadline: time.Second}))
	for n := 0; len(sent) > 0; n++ {
		if n == 4 {
			t.Fatal("more attempts than allowed")
		}
		if b.retryBudget != before {
			t.Errorf("attempt %d: the budget is %v, was %v", n, b.retryBudget, before)
		}
		acts := b.Handle(0, AttemptEnded{ID: "r", Attempt: n, Endpoint: sent[0].Endpoint, Result: NotSent})
		if sent = sends(acts); len(sent) == 0 && n != 3 {
			t.Errorf("%d attempts, want 4", n+1)
		}
	}
	if b.requests["r"] != nil {
		t.Error("the request has no answer")
	}
}

// An unmarked retry is recognised by a deadline shorter than that of other requests.
func TestShortDeadlineIdentifiesARetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 900*msec})
	if r := b.requests["first"]; r == nil || r.isRetry || r.arrived != 0 {
		t.Errorf("a first attempt was taken for a retry: %+v", r)
	}
	// The retry's latency objective of 500 ms ended 100 ms before it came: without a server it is still
	// queued.
	r := b.requests["again"]
	if r == nil || !r.isRetry || r.arrived != 5*time.Second-600*msec {
		t.Errorf("the retry was not recognised: %+v", r)
	}
}

// A request that its client sends slowly is not unusual among those that are given the same time, and an
// unusual one is a retry only if it is so by its first byte.
func TestSlowlySentRequestIsNotARetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(time.Second, Request{ID: "first", Class: "get", Deadline: 2500 * msec})
	for _, c := range []struct {
		id                    string
		now, firstByte, given time.Duration
		repeat                bool
		arrived               time.Duration
	}{
		{"slow", 5 * time.Second, 4400 * msec, 1500 * msec, false, 5 * time.Second},
		{"slow and odd", 6 * time.Second, 5500 * msec, 1300 * msec, false, 5300 * msec},
		{"slow repeat", 7 * time.Second, 6950 * msec, 900 * msec, true, 6350 * msec},
		{"first byte after now", 8 * time.Second, 9 * time.Second, 500 * msec, false, 8 * time.Second},
	} {
		t.Run(c.id, func(t *testing.T) {
			b.Handle(c.now, Request{ID: c.id, Class: "get", FirstByte: c.firstByte, Deadline: c.firstByte + c.given})
			if r := b.requests[c.id]; r == nil || r.isRetry != c.repeat || r.arrived != c.arrived {
				t.Errorf("%s: %+v", c.id, r)
			}
			b.classes.byName["get"].timeout.Reset()
			b.classes.byName["get"].timeout.Observe(float64(1500 * msec)) // one vote for the usual timeout
		})
	}
}
