package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basaltdrum/balancer/internal/outlier"
)

// A request keeps the class settings that it was accepted with, whose guarantees its client relies on.
// Requests accepted later follow the new settings. In each case an attempt that may have run fails before and
// after the settings of its class change.
func TestRequestsKeepTheClassTheyArrivedWith(t *testing.T) {
	class := func(effect Effect) Class {
		return Class{
			Name: "get", Effect: effect, Scope: ScopeAll, DedupWindow: time.Second, LatencyObjective: 500 * msec,
			Deadline: 1500 * msec, PriorityWeight: 1,
		}
	}
	short := class(IdempotentByKey)
	short.DedupWindow = 10 * msec
	other := class(Idempotent)
	other.Name = "other"
	for name, row := range map[string]struct {
		before, after          Class
		oldRetried, newRetried bool // whether requests accepted before and after are retried after a reset
	}{
		"idempotent becomes non-idempotent":        {class(Idempotent), class(NonIdempotent), true, false},
		"non-idempotent becomes idempotent":        {class(NonIdempotent), class(Idempotent), false, true},
		"idempotent by key becomes non-idempotent": {class(IdempotentByKey), class(NonIdempotent), true, false},
		"the window shrinks":                       {class(IdempotentByKey), short, true, false},
		"the window grows":                         {short, class(IdempotentByKey), false, true},
		"the class is removed":                     {class(Idempotent), other, true, false},
		"nothing changes":                          {class(Idempotent), class(Idempotent), true, true},
		"invalid settings change nothing":          {class(Idempotent), Class{Name: "get"}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes = []Class{row.before}
			b, err := New(settings, 1)
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(6)})
			reconfigure := func() {
				settings.Classes = []Class{row.after}
				b.Handle(25*msec, Reconfigure{settings})
			}
			if got := isRetriedAfterReset(t, b, 20*msec, "old", reconfigure); got != row.oldRetried {
				t.Errorf("the request accepted before: retried is %v, want %v", got, row.oldRetried)
			}
			if got := isRetriedAfterReset(t, b, 100*msec, "new", func() {}); got != row.newRetried {
				t.Errorf("the request accepted after: retried is %v, want %v", got, row.newRetried)
			}
		})
	}
}

// isRetriedAfterReset sends a request, calls whileInFlight, resets the attempt's connection 30 ms after the
// request arrived, and reports whether the request is retried.
func isRetriedAfterReset(t *testing.T, b *Balancer, at time.Duration, id string, whileInFlight func()) bool {
	t.Helper()
	s := sends(b.Handle(at, Request{ID: id, Class: "get", Deadline: at + time.Second}))
	if len(s) != 1 {
		t.Fatalf("request %s led to %d sends, want 1", id, len(s))
	}
	whileInFlight()
	actions := b.Handle(at+30*msec, AttemptEnded{ID: id, Endpoint: s[0].Endpoint, Result: ConnectionLost})
	return len(sends(actions)) == 1
}

// Learned state is kept under new settings: the latency of a class, the health of an endpoint and the
// attempts in flight.
func TestReconfigureKeepsLearnedState(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(6)})
	sendTraffic(b, 300, "get", func(endpoint string) AttemptResult {
		if endpoint == "s02" {
			return ServerError
		}
		return Success
	})
	inFlight := sends(b.Handle(b.now, Request{ID: "open", Class: "get", Deadline: b.now + time.Second}))[0]
	mean := b.classes.byName["get"].latency.Mean()
	attempts := knownEndpoint(t, b, inFlight.Endpoint).Attempts.InFlight()
	health := fmt.Sprint(knownEndpoint(t, b, "s02").Health)
	if attempts == 0 || health == fmt.Sprint(outlier.Record{}) {
		t.Fatalf("%d attempts in flight, health %v: want state that can be lost", attempts, health)
	}
	settings := testSettings()
	settings.Classes = slices.Clone(settings.Classes)
	settings.Classes[0].LatencyObjective *= 2
	settings.Classes = append(settings.Classes, Class{
		Name: "new", LatencyObjective: time.Second, Deadline: 2 * time.Second,
	})
	b.Handle(b.now, Reconfigure{settings})
	if got := b.classes.byName["get"].latency.Mean(); got != mean {
		t.Errorf("mean latency is %v, want %v", got, mean)
	}
	if got := knownEndpoint(t, b, inFlight.Endpoint).Attempts.InFlight(); got != attempts {
		t.Errorf("%d attempts in flight, want %d", got, attempts)
	}
	if got := fmt.Sprint(knownEndpoint(t, b, "s02").Health); got != health {
		t.Errorf("health is %v, want %v", got, health)
	}
	if b.classes.byName["get"].LatencyObjective != settings.Classes[0].LatencyObjective ||
		b.classes.byName["new"] == nil {
		t.Error("the new settings are not in force")
	}
}

// No state accumulates, however often the settings change, even if classes are added and removed while
// attempts are in flight.
func TestReconfigureLeaksNoState(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(3)})
	now := time.Duration(0)
	for i := range 500 {
		settings := testSettings()
		settings.Classes = []Class{{
			Name: fmt.Sprint("c", i), Effect: Idempotent, LatencyObjective: time.Second,
			Deadline: 2 * time.Second,
		}}
		b.Handle(now, Reconfigure{settings})
		now += msec
		s := sends(b.Handle(now, Request{ID: "r", Class: fmt.Sprint("c", i), Deadline: now + time.Second}))[0]
		b.Handle(now, Reconfigure{testSettings()})
		now += 20 * msec
		b.Handle(now, AttemptEnded{ID: "r", Endpoint: s.Endpoint, Result: Success, Answered: true})
	}
	b.Handle(now, Reconfigure{testSettings()})
	if len(b.classes.byName) != 4 || len(b.classes.ordered) != 4 {
		t.Errorf("%d classes by name, %d in order, want 4", len(b.classes.byName), len(b.classes.ordered))
	}
	for ep := range b.endpoints.Known() {
		if n := countFailureRates(ep); n > 4 {
			t.Errorf("endpoint %s has failure rates of %d classes, want at most 4", ep.ID, n)
		}
	}
}
