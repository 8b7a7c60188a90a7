package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// requestLoad sends requests at a constant rate to a Balancer and ends their attempts after a fixed latency.
type requestLoad struct {
	b        *Balancer
	now      time.Duration
	requests int
	inFlight []Send
	sentAt   []time.Duration // send times of inFlight
}

// play sends requests, one per interval, whose attempts succeed after the latency.
func (l *requestLoad) play(requests int, interval, latency time.Duration) {
	for range requests {
		l.now += interval
		l.requests++
		id := fmt.Sprint(l.requests)
		l.record(l.b.Handle(l.now, Request{ID: id, Class: "get", Deadline: l.now + time.Second}))
		for len(l.inFlight) > 0 && l.sentAt[0]+latency <= l.now {
			first := l.inFlight[0]
			l.inFlight, l.sentAt = l.inFlight[1:], l.sentAt[1:]
			l.record(succeed(l.b, l.now, first.ID, first))
		}
	}
}

// record adds the attempts that the actions start.
func (l *requestLoad) record(actions []Action) {
	for _, s := range sends(actions) {
		l.inFlight, l.sentAt = append(l.inFlight, s), append(l.sentAt, l.now)
	}
}

// The limit grows while responses are fast, and shrinks in overload, but not below its minimum.
func TestLimitFollowsLatency(t *testing.T) {
	const minLimit = 10.0 // five for each of this replica's two endpoints
	for _, c := range []struct {
		name            string
		slow            bool // whether slow responses follow the fast ones
		atLeast, atMost float64
	}{
		{"fast responses", false, 1.5 * minLimit, math.MaxFloat64},
		{"fast responses, then slow ones", true, minLimit, minLimit + 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(4)})
			observeLatency(b.classes.byName["get"], 40*msec, 100) // latency without overload
			load := requestLoad{b: b}
			load.play(3000, 4*msec, 40*msec)
			if c.slow {
				load.play(3000, 4*msec, 450*msec)
			}
			if limit := b.admission.Limit(); limit < c.atLeast || limit > c.atMost {
				t.Errorf("limit is %.1f, want %v to %v", limit, c.atLeast, c.atMost)
			}
		})
	}
}

// The limit of the first tier grows with successes and shrinks with results that indicate overload. Lost
// connections and server errors don't indicate overload.
func TestLimitFollowsResultsThatShowLoad(t *testing.T) {
	for _, c := range []struct {
		result         AttemptResult
		grows, shrinks bool
	}{
		{Success, true, false},
		{TimedOut, false, true},
		{Rejected, false, true},
		{ConnectFailed, false, true},
		{ConnectionLost, false, false},
		{ServerError, false, false},
		{Cancelled, false, false},
		{NotSent, false, false},
	} {
		for _, tier := range []int{0, 1} {
			t.Run(fmt.Sprintf("%v in tier %d", c.result, tier), func(t *testing.T) {
				b := newBalancer(t, func(s *Settings) { s.Tier = tier })
				b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: testEndpoints(10)})
				a := &attempt{request: &request{class: b.classes.byName["get"]}}
				b.now = 40 * msec
				startAttempts(b, 25)
				b.adjustLimit(a, Success)
				b.adjustLimit(a, Success)
				before := b.admission.Limit()
				for range 50 {
					b.adjustLimit(a, c.result)
				}
				after := b.admission.Limit()
				if (after > before) != (c.grows && tier == 0) || (after < before) != (c.shrinks && tier == 0) {
					t.Errorf("limit went from %.1f to %.1f, want growth %v, shrinkage %v in the first tier",
						before, after, c.grows, c.shrinks)
				}
			})
		}
	}
}

// With hundreds of replicas, one replica's share of the endpoints' capacity is one attempt in flight or less.
// A limit that starts or stays that low rejects requests that the endpoints could serve, so it must grow
// within seconds of good responses.
func TestLimitGrowsOnOneOfManyReplicas(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 300 })
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(60)})
	load := requestLoad{b: b}
	load.play(150, 33*msec, 100*msec) // 30 requests per second: 3 attempts in flight
	if b.admission.Limit() < 3 {
		t.Errorf("limit is %.1f after five seconds, want at least 3", b.admission.Limit())
	}
}

// Retries by clients prolong an overload, so they get only half of the limit.
func TestRetriesGetHalfOfTheLimit(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(4)})
	startAttempts(b, 6) // the limit is 10
	retry := sends(b.Handle(msec, Request{ID: "retry", Class: "get", Deadline: time.Second, Retry: true}))
	first := sends(b.Handle(msec, Request{ID: "first", Class: "get", Deadline: time.Second}))
	if len(retry) != 0 || len(first) != 1 {
		t.Errorf("sent %v for a retry and %v for a first attempt, want none and one", retry, first)
	}
}

// A request marked as a retry has mostly missed its latency objective already, so first attempts have
// priority while capacity is short.
func TestFirstAttemptsGoBeforeRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(1)})
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	startAttempts(b, 2) // with the first one, the limit is reached
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "retry", Class: "get", Deadline: time.Second, Retry: true})
	b.classes.byName["get"].admission.LateValue = 0.5
	next := sends(succeed(b, 10*msec, "a", first[0]))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after a response %v was sent, want request new", next)
	}
}

// The Retry-After of a rejection is short: a client that waits long returns when most of its latency
// objective is used up.
func TestRetryAfterOfARejectionIsShort(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: testEndpoints(2)})
	startAttempts(b, 5) // the limit is reached
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*msec, r)
	for _, a := range b.Handle(600*msec, Timer{Token: "r:a"}) {
		if reject, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].LatencyObjective / 10; reject.RetryAfter > limit {
				t.Errorf("RetryAfter is %v, want at most %v", reject.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("the queued request is not rejected at its queue deadline")
}
