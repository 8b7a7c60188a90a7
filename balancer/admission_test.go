package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// requestLoad sends requests at a steady rate and answers their attempts after a fixed time.
type requestLoad struct {
	b        *Balancer
	now      time.Duration
	requests int
	open     []Send
	sentAt   []time.Duration // of the open ones
}

// play sends requests, one each interval, whose answers take so long.
func (l *requestLoad) play(requests int, interval, latency time.Duration) {
	for range requests {
		l.now += interval
		l.requests++
		id := fmt.Sprint(l.requests)
		l.record(l.b.Handle(l.now, Request{ID: id, Class: "get", Deadline: l.now + time.Second}))
		for len(l.open) > 0 && l.sentAt[0]+latency <= l.now {
			first := l.open[0]
			l.open, l.sentAt = l.open[1:], l.sentAt[1:]
			l.record(succeed(l.b, l.now, first.ID, first))
		}
	}
}

func (l *requestLoad) record(actions []Action) {
	for _, s := range sends(actions) {
		l.open, l.sentAt = append(l.open, s), append(l.sentAt, l.now)
	}
}

// In overload the limit shrinks, though never below its floor.
func TestLimitFollowsLatency(t *testing.T) {
	const floor = 10.0 // five for each of two endpoints
	for _, c := range []struct {
		name        string
		slow        bool // after the fast answers
		least, most float64
	}{
		{"fast answers", false, 1.5 * floor, math.MaxFloat64},
		{"fast answers, then slow ones", true, floor, floor + 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(4)})
			observeLatency(b.classes.byName["get"], 40*msec, 100) // without overload
			load := requestLoad{b: b}
			load.play(3000, 4*msec, 40*msec)
			if c.slow {
				load.play(3000, 4*msec, 450*msec)
			}
			if limit := b.admission.Limit(); limit < c.least || limit > c.most {
				t.Errorf("the limit is %.1f, want %v to %v", limit, c.least, c.most)
			}
		})
	}
}

// Which results of attempts move the limit. Lost connections and server errors are no sign of overload.
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
				b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(10)})
				a := &attempt{request: &request{class: b.classes.byName["get"]}}
				b.now = 40 * msec
				holdAttempts(b, 25)
				b.adjustLimit(a, Success)
				b.adjustLimit(a, Success)
				before := b.admission.Limit()
				for range 50 {
					b.adjustLimit(a, c.result)
				}
				after := b.admission.Limit()
				if (after > before) != (c.grows && tier == 0) || (after < before) != (c.shrinks && tier == 0) {
					t.Errorf("the limit went from %.1f to %.1f", before, after)
				}
			})
		}
	}
}

// With hundreds of replicas a node's quota of the servers is one call or less: a limit that starts or stays
// there rejects requests that the servers could serve, so it must open within seconds of good responses.
func TestLimitGrowsOnOneOfManyReplicas(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 300 })
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(60)})
	load := requestLoad{b: b}
	load.play(150, 33*msec, 100*msec) // thirty a second: three in flight
	if b.admission.Limit() < 3 {
		t.Errorf("the limit is %.1f after five seconds", b.admission.Limit())
	}
}

// Retries by clients prolong an overload: they get only half of the limit.
func TestRetriesLeaveHalfOfTheLimit(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(4)})
	holdAttempts(b, 6) // of ten
	repeat := sends(b.Handle(msec, Request{ID: "again", Class: "get", Deadline: time.Second, Retry: true}))
	first := sends(b.Handle(msec, Request{ID: "first", Class: "get", Deadline: time.Second}))
	if len(repeat) != 0 || len(first) != 1 {
		t.Errorf("sent %v for a retry and %v for a first attempt", repeat, first)
	}
}

// A marked retry is mostly past its latency objective already: while there is little capacity, first attempts
// go first.
func TestFirstAttemptsGoBeforeRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(1)})
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	holdAttempts(b, 2) // with the first one, as many as are admitted
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "repeat", Class: "get", Deadline: time.Second, Retry: true})
	b.classes.byName["get"].admission.LateValue = 0.5
	next := sends(succeed(b, 10*msec, "a", first[0]))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent", next)
	}
}

// The Retry-After of a rejection is short: a client that waits long returns when its latency objective is
// mostly over.
func TestRetryAfterOfARejectionIsShort(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(2)})
	holdAttempts(b, 5) // as many as are admitted
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*msec, r)
	for _, a := range b.Handle(600*msec, Timer{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].LatencyObjective / 10; f.RetryAfter > limit {
				t.Errorf("RetryAfter %v, want at most %v", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("not rejected")
}
