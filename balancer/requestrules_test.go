package balancer

import (
	"testing"
	"time"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/retrybudget"
)

// requestAfter returns a request whose attempts ended with the given results. They were sent every 10 ms, all
// to one endpoint in zone z and cell 0.
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

// Whether a retry is allowed depends on the effect of the class and on whether an attempt may have run.
func TestRetriesFollowTheEffectOfTheClass(t *testing.T) {
	settings := Settings{MaxAttempts: 3, Tick: 2 * msec}
	for _, c := range []struct {
		name            string
		req             *request
		now             time.Duration
		retry, harmless bool // whether a retry by the Balancer is allowed, and one by the client is harmless
	}{
		{"idempotent, may have run", requestAfter(Idempotent, ScopeAll, TimedOut), 50 * msec, true, true},
		{"not idempotent, may have run", requestAfter(NonIdempotent, ScopeAll, TimedOut), 50 * msec, false, false},
		{"not idempotent, never ran", requestAfter(NonIdempotent, ScopeAll, Rejected, NotSent), 50 * msec, true, true},
		{"by key, within the window", requestAfter(IdempotentByKey, ScopeCell, TimedOut), 50 * msec, true, false},
		{"by key, any endpoint", requestAfter(IdempotentByKey, ScopeAll, TimedOut), 50 * msec, true, true},
		{"by key, at the end of the window", requestAfter(IdempotentByKey, ScopeAll, TimedOut), 96 * msec, false, true},
		{"by key, window over, never ran", requestAfter(IdempotentByKey, ScopeCell, Rejected), 200 * msec, true, true},
		{"no attempt left", requestAfter(Idempotent, ScopeAll, TimedOut, TimedOut, TimedOut), 50 * msec, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.req.mayRetry(c.now, &settings); got != c.retry {
				t.Errorf("mayRetry is %v, want %v", got, c.retry)
			}
			if got := c.req.harmlessToRetry(); got != c.harmless {
				t.Errorf("harmlessToRetry is %v, want %v", got, c.harmless)
			}
		})
	}
	for _, startResponse := range []func(*request){
		func(req *request) { req.answered = true },
		func(req *request) { req.streaming = true },
	} {
		req := requestAfter(Idempotent, ScopeAll, TimedOut)
		if startResponse(req); req.mayRetry(50*msec, &settings) {
			t.Error("mayRetry is true for a request that is answered or streaming, want false")
		}
	}
}

// A retry costs less budget the less load the last attempt can have put on an endpoint.
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
		{"not sent after a timeout", []AttemptResult{TimedOut, NotSent}, retrybudget.NotSentCost},
		{"an error after a rejection", []AttemptResult{Rejected, ServerError}, retrybudget.FullCost},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := requestAfter(Idempotent, ScopeAll, c.results...).retryCost(); got != c.want {
				t.Errorf("retry cost is %v, want %v", got, c.want)
			}
		})
	}
}

// A request with an idempotency key is retried only at endpoints that discard repeats, unless no attempt may
// have run.
func TestRetriesStayInTheDeduplicationScope(t *testing.T) {
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
				t.Errorf("inDedupScope is %v, want %v", got, c.want)
			}
		})
	}
}

// A response has a value until the response deadline, and a request may wait until the queue deadline.
func TestDeadlinesOfRequests(t *testing.T) {
	const tick = 2 * msec
	for _, c := range []struct {
		name            string
		tier, ready     int
		retry           bool
		response, queue time.Duration // deadlines
	}{
		{"first tier", 0, 3, false, 500*msec - 2*tick, 250 * msec},
		{"a retry by the client", 0, 3, true, 1500 * msec, 250 * msec},
		{"a later tier", 1, 3, false, 1500 * msec, 250 * msec},
		{"no endpoint is ready", 0, 0, false, 500*msec - 2*tick, 1500*msec - 2*tick},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := Settings{Tier: c.tier, Tick: tick}
			req := requestAfter(Idempotent, ScopeAll)
			req.isRetry = c.retry
			if got := req.responseDeadline(&settings); got != c.response {
				t.Errorf("response deadline is %v, want %v", got, c.response)
			}
			if got := req.queueDeadline(&settings, c.ready); got != c.queue {
				t.Errorf("queue deadline is %v, want %v", got, c.queue)
			}
		})
	}
}
