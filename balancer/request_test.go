package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A host may round times down, so that a timer fires slightly early. The request must still be answered in
// time.
func TestQueuedRequestIsAnsweredThoughTimersFireEarly(t *testing.T) {
	b := newBalancer(t, nil)
	actions := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * msec})
	for now := time.Duration(0); now < 1000*msec; {
		var next SetTimer
		for _, a := range actions {
			switch a := a.(type) {
			case SetTimer:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v the request has neither a final response nor a timer", now)
		}
		now = max(now+2*msec, next.At-500) // 500 ns early
		actions = b.Handle(now, Timer{Token: next.Token})
	}
	t.Fatal("the request has no final response by its deadline")
}

// An attempt times out when its response would have no value: further work on it would take capacity from
// responses in time.
func TestAttemptTimesOutWhenItsResponseHasNoValue(t *testing.T) {
	for _, c := range []struct {
		tier      int
		lateValue float64
		want      time.Duration // timeout of the attempt
	}{{0, 0, 500*msec - 4*msec}, {0, 0.5, 1500 * msec}, {1, 0, 1500 * msec}} {
		t.Run(fmt.Sprint("tier ", c.tier, ", late value ", c.lateValue), func(t *testing.T) {
			b := newBalancer(t, func(s *Settings) { s.Tier, s.Classes[0].LateValue = c.tier, c.lateValue })
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(4)})
			s := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * msec}))[0]
			if s.Timeout != c.want {
				t.Errorf("timeout is %v, want %v", s.Timeout, c.want)
			}
			actions := b.Handle(c.want, AttemptEnded{ID: "a", Result: TimedOut})
			if _, rejected := actions[0].(Reject); len(actions) != 1 || !rejected {
				t.Errorf("actions after the timeout are %v, want one Reject", actions)
			}
		})
	}
}

// A request whose response is due is answered at once, and only once: with a rejection where a retry is harmless,
// otherwise with a failure. Its attempt in flight is cancelled.
func TestRequestIsAnsweredWhenItsResponseIsDue(t *testing.T) {
	for _, c := range []struct {
		class  string
		queued bool
		want   []Action
	}{
		{"get", false, []Action{Reject{ID: "r"}, Cancel{ID: "r"}}},
		{"pay", false, []Action{Fail{ID: "r"}, Cancel{ID: "r"}}},
		{"pay", true, []Action{Reject{ID: "r"}}},
	} {
		b := newBalancer(t, nil)
		if !c.queued {
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(3)})
		}
		b.Handle(time.Second, Request{ID: "r", Class: c.class, Deadline: 100 * time.Second})
		got := b.Handle(2*time.Second, ResponseDue{ID: "r"})
		for i, action := range got {
			if reject, ok := action.(Reject); ok {
				got[i] = Reject{ID: reject.ID}
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%+v: got the actions %+v", c, got)
		}
		if again := b.Handle(3*time.Second, ResponseDue{ID: "r"}); len(again) > 0 {
			t.Errorf("%+v: got the actions %+v when its response was due again, want none", c, again)
		}
	}
}
