package balancer

import (
	"testing"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/retrybudget"
)

// requestAfter returns a request of a class whose attempts ended with these results, one each 10 ms, all at
// an endpoint in zone z and cell 0.
func requestAfter(effect Effect, scope Scope, results ...AttemptResult) *request {
	settings := Class{
		Name: "test", Effect: effect, Scope: scope, DedupWindow: 100 * msec, LatencyObjective: 500 * msec,
		Deadline: 1500 * msec,
	}
	stats := newClassStats(settings)
	req := newRequest(0, Request{ID: "r", Deadline: 1500 * msec}, newClass(settings, stats, &stats.failureRate))
	ep := &endpoints.Endpoint{Entry: Endpoint{ID: "first", Zone: "z"}}
	for i, result := range results {
		req.startAttempt(time.Duration(i)*10*msec, ep).end(result)
	}
	return req
}

// What may follow an attempt depends on the effect of the class and on whether the attempt may have run.
func TestRetriesFollowTheEffectOfTheClass(t *testing.T) {
	settings := Settings{MaxAttempts: 3, Tick: 2 * msec}
	for _, c := range []struct {
		name            string
		req             *request
		now             time.Duration
		retry, harmless bool
	}{
		{"idempotent, may have run", requestAfter(Idempotent, ScopeAll, TimedOut), 50 * msec, true, true},
		{"not idempotent, may have run", requestAfter(NonIdempotent, ScopeAll, TimedOut), 50 * msec, false, false},
		{"not idempotent, never ran", requestAfter(NonIdempotent, ScopeAll, Rejected, NotSent), 50 * msec, true, true},
		{"by key, in the window", requestAfter(IdempotentByKey, ScopeCell, TimedOut), 50 * msec, true, false},
		{"by key, everywhere", requestAfter(IdempotentByKey, ScopeAll, TimedOut), 50 * msec, true, true},
		{"by key, at the end of the window", requestAfter(IdempotentByKey, ScopeAll, TimedOut), 96 * msec, false, true},
		{"by key, later, never ran", requestAfter(IdempotentByKey, ScopeCell, Rejected), 200 * msec, true, true},
		{"none is left", requestAfter(Idempotent, ScopeAll, TimedOut, TimedOut, TimedOut), 50 * msec, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.req.mayRetry(c.now, &settings); got != c.retry {
				t.Errorf("a retry is allowed: %v, want %v", got, c.retry)
			}
			if got := c.req.harmlessToRetry(); got != c.harmless {
				t.Errorf("a retry by the client is harmless: %v, want %v", got, c.harmless)
			}
		})
	}
	for _, end := range []func(*request){
		func(req *request) { req.answered = true },
		func(req *request) { req.streaming = true },
	} {
		req := requestAfter(Idempotent, ScopeAll, TimedOut)
		if end(req); req.mayRetry(50*msec, &settings) {
			t.Error("a request is sent again whose answer has begun")
		}
	}
}

// The less an attempt can have asked of an endpoint, the cheaper is the retry.
func TestRetryCostFollowsTheLastAttempt(t *testing.T) {
	for _, c := range []struct {
		name    string
		results []AttemptResult
		want    float64
	}{
		{"timed out", []AttemptResult{TimedOut}, retrybudget.FullCost},
		{"rejected", []AttemptResult{Rejected}, retrybudget.NeverRanCost},
		{"connection refused", []AttemptResult{ConnectFailed}, retrybudget.NeverRanCost},
		{"not sent", []AttemptResult{NotSent}, retrybudget.NotSentCost},
		{"not sent after a time-out", []AttemptResult{TimedOut, NotSent}, retrybudget.NotSentCost},
		{"an error after a rejection", []AttemptResult{Rejected, ServerError}, retrybudget.FullCost},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := requestAfter(Idempotent, ScopeAll, c.results...).retryCost(); got != c.want {
				t.Errorf("costs %v, want %v", got, c.want)
			}
		})
	}
}

// A repeat goes only to endpoints that discard it, unless no attempt may have run.
func TestRepeatsStayInTheScopeOfTheirKey(t *testing.T) {
	same, otherCell, otherZone := Endpoint{Zone: "z"}, Endpoint{Zone: "z", Cell: 1}, Endpoint{Zone: "y"}
	for _, c := range []struct {
		name   string
		effect Effect
		scope  Scope
		result AttemptResult
		entry  Endpoint
		want   bool
	}{
		{"the same cell", IdempotentByKey, ScopeCell, TimedOut, same, true},
		{"another cell", IdempotentByKey, ScopeCell, TimedOut, otherCell, false},
		{"another cell of the zone", IdempotentByKey, ScopeZone, TimedOut, otherCell, true},
		{"another zone", IdempotentByKey, ScopeZone, TimedOut, otherZone, false},
		{"another zone, discarded everywhere", IdempotentByKey, ScopeAll, TimedOut, otherZone, true},
		{"another zone, never ran", IdempotentByKey, ScopeCell, Rejected, otherZone, true},
		{"another zone, idempotent", Idempotent, ScopeCell, TimedOut, otherZone, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := requestAfter(c.effect, c.scope, c.result)
			if got := req.inDedupScope(&endpoints.Endpoint{Entry: c.entry}); got != c.want {
				t.Errorf("in scope: %v, want %v", got, c.want)
			}
		})
	}
}

// How long an answer is worth sending, and how long a request may wait in the queue.
func TestDeadlinesOfRequests(t *testing.T) {
	const tick = 2 * msec
	for _, c := range []struct {
		name          string
		tier, ready   int
		retry         bool
		answer, queue time.Duration
	}{
		{"first tier", 0, 3, false, 500*msec - 2*tick, 250 * msec},
		{"a retry by the client", 0, 3, true, 1500 * msec, 250 * msec},
		{"a later tier", 1, 3, false, 1500 * msec, 250 * msec},
		{"no endpoint", 0, 0, false, 500*msec - 2*tick, 1500*msec - 2*tick},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := Settings{Tier: c.tier, Tick: tick}
			req := requestAfter(Idempotent, ScopeAll)
			req.isRetry = c.retry
			if got := req.responseDeadline(&settings); got != c.answer {
				t.Errorf("an answer has a value until %v, want %v", got, c.answer)
			}
			if got := req.queueDeadline(&settings, c.ready); got != c.queue {
				t.Errorf("waits until %v, want %v", got, c.queue)
			}
		})
	}
}
