package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A new node's window begins at its floor, and each good response opens it by one call, for as long as it is
// in use; a few rejections end that.
func TestNewWindowGrowsUntilServersReject(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(10)})
	floor := minLimitPerEndpoint * b.endpointsPerReplica()
	if b.admission.limit != floor {
		t.Fatalf("a new window is %.1f, want its floor, %.1f", b.admission.limit, floor)
	}
	r := &request{class: b.classes.byName["get"], attempts: []*attempt{{sent: 0}}}
	answers := func(n int, ending AttemptResult, share float64) {
		for range n {
			b.now, b.inFlight.now = time.Duration(share*r.class.target(0)), int(b.admission.limit)
			b.adjustLimit(r, AttemptEnded{Result: ending})
		}
	}
	answers(20, Success, 0.8)
	if want := floor + 20; b.admission.limit != want {
		t.Errorf("20 good answers opened the window from %.1f to %.1f, want %.1f", floor, b.admission.limit, want)
	}
	answers(8, Rejected, 0.1)
	crowded := b.admission.limit
	if answers(20, Success, 0.8); b.admission.limit > crowded+5 {
		t.Errorf("after rejections 20 good responses opened the window from %.1f to %.1f", crowded, b.admission.limit)
	}
}

// In overload the window shrinks, though never below its floor.
func TestWindowFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * msec, false}, {40 * msec, true}} {
		t.Run(fmt.Sprint("responses after ", tc.took), func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(4)})
			observeLatency(b.classes.byName["get"], 40*msec, 100) // without overload
			b.admission.limit = 15                                // less than its growth may reach with the ten calls that are out here
			start, now := b.admission.limit, time.Duration(0)
			var open []Send
			for i := range 3000 {
				now += 4 * msec
				open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
				for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+tc.took <= now {
					s := open[0]
					open = append(open[1:], sends(endAttempt(b, now, s.ID, s, Success))...)
				}
			}
			if grew := b.admission.limit > start; grew != tc.grow && tc.grow || b.admission.limit < minLimitPerEndpoint*b.endpointsPerReplica() {
				t.Errorf("answers after %v: window %.1f from %.1f", tc.took, b.admission.limit, start)
			}
			if !tc.grow && b.admission.limit > minLimitPerEndpoint*b.endpointsPerReplica()+1 {
				t.Errorf("late answers left the window at %.1f", b.admission.limit)
			}
		})
	}
}

// windowAfter is the window after 50 results of one kind, from 100 calls; after is the latency of each.
func windowAfter(t *testing.T, shed float64, ending AttemptResult, after func(*class) float64) float64 {
	t.Helper()
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(10)})
	b.admission.limit, b.inFlight.mean = 100, 100
	r := &request{class: b.classes.byName["get"], attempts: []*attempt{{sent: 0}}}
	for range 50 {
		b.shedding.share = shed
		b.now, b.inFlight.now = time.Duration(after(r.class)), int(b.admission.limit)
		b.adjustLimit(r, AttemptEnded{Result: ending})
	}
	return b.admission.limit
}

// While much load is shed some servers are overloaded for certain, so the window must shrink at lower
// latencies.
func TestWindowShrinksSoonerUnderLoadShedding(t *testing.T) {
	late := func(c *class) float64 { return 0.95 * c.target(0) }
	calm, shedding := windowAfter(t, 0, Success, late), windowAfter(t, 0.8, Success, late)
	if calm <= 100 || shedding >= 100 {
		t.Errorf("window from 100: nothing shed %.1f, want growth; much shed %.1f, want shrinking", calm, shedding)
	}
}

// Responses as fast as those of idle servers must open the window however much is shed, or load shedding
// sustains itself; lost connections and server errors are no sign of overload.
func TestLoadSheddingDoesNotSustainItself(t *testing.T) {
	idle := func(c *class) float64 { return 1.05 * c.latency.Base() }
	if w := windowAfter(t, 1, Success, idle); w <= 100 {
		t.Errorf("idle servers' answers moved the window from 100 to %.1f", w)
	}
	for _, e := range []AttemptResult{ConnectionLost, ServerError} {
		if w := windowAfter(t, 0, e, idle); w != 100 {
			t.Errorf("ending %v moved the window from 100 to %.1f", e, w)
		}
	}
}

// With hundreds of replicas a node's quota of the servers is one call or less: a window that starts or stays
// there rejects requests that the servers could serve, so it must open within seconds of good responses.
func TestWindowGrowsOnOneOfManyReplicas(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 300 })
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(60)})
	var open []Send
	for i := range 150 { // thirty a second, answered in 100 ms: three in flight
		now := time.Duration(i) * 33 * msec
		for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+100*msec <= now {
			s := open[0]
			open = append(open[1:], sends(endAttempt(b, now, s.ID, s, Success))...)
		}
		open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
	}
	if b.admission.limit < 3 {
		t.Errorf("the window is %.1f after five seconds", b.admission.limit)
	}
}

// The part of the window that is not in use is given up at once when servers reject calls: else all replicas
// fill it together.
func TestRejectionsCutTheUnusedWindow(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(10)})
	b.admission.limit, b.inFlight.mean, b.admission.initialGrowth = 80, 40, false
	r := &request{class: b.classes.byName["get"], attempts: []*attempt{{sent: 0}}}
	for range 8 {
		b.now = msec
		b.adjustLimit(r, AttemptEnded{Result: Rejected})
	}
	if b.admission.limit > b.inFlight.mean+1 {
		t.Errorf("8 rejections left a window of %.1f with %.0f calls in flight", b.admission.limit, b.inFlight.mean)
	}
}

// Retries by clients prolong an overload: they get only half of the window.
func TestRetriesLeaveWindowForFirstAttempts(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(4)})
	b.admission.limit, b.inFlight.now = 10, 6
	repeat := sends(b.Handle(msec, Request{ID: "again", Class: "get", Deadline: time.Second, Retry: true}))
	first := sends(b.Handle(msec, Request{ID: "first", Class: "get", Deadline: time.Second}))
	if len(repeat) != 0 || len(first) != 1 {
		t.Errorf("sent %v for a retry and %v for a first attempt", repeat, first)
	}
}

// In overload the lowest priority weight is rejected first, also where too few requests are queued to choose
// among; with nothing shed every class may fill the window, and no class loses more than half of it.
func TestWindowIsSharedByPriorityWeight(t *testing.T) {
	b := newBalancer(t, func(s *Settings) {
		s.Classes[0].PriorityWeight, s.Classes[2].PriorityWeight, s.WorstClassWeight = 1, 12, 0
	})
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(4)})
	for _, c := range b.classes.ordered {
		c.arrivals, c.served = 10, 5
	}
	low, high := &request{class: b.classes.byName["get"]}, &request{class: b.classes.byName["pay"]}
	if l, h := b.limitShare(low), b.limitShare(high); l != 1 || h != 1 {
		t.Errorf("nothing shed: parts of the window %.2f and %.2f, want 1", l, h)
	}
	b.shedding.share = 0.6
	if l, h := b.limitShare(low), b.limitShare(high); l > 0.7 || l < 0.5 || h < 1.3 || h > 2 {
		t.Errorf("much shed: parts of the window %.2f for the low weight and %.2f for the high", l, h)
	}
}

// A marked retry is mostly past its latency objective already: while there is little capacity, first attempts
// go first.
func TestFirstAttemptsGoBeforeRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(1)})
	b.admission.limit = 1
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "repeat", Class: "get", Deadline: time.Second, Retry: true})
	b.classes.byName["get"].LateValue = 0.5
	b.inFlight.now = int(minLimitPerEndpoint*b.endpointsPerReplica()) + 2
	b.admission.limit = float64(b.inFlight.now) // one comes free by the next answer
	next := sends(endAttempt(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent", next)
	}
}

// The Retry-After of a rejection is short: a client that waits long returns when its latency objective is
// mostly over.
func TestRetryAfterOfARejectionIsShort(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(2)})
	b.admission.limit, b.inFlight.now = 1, 1
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
