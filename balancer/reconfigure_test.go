package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basaltdrum/balancer/internal/outlier"
)

// A request that was accepted keeps what its client was promised by the settings of its time; later requests
// follow the new ones. Each row has a request that may have run once, and new settings for its class.
func TestRequestsKeepTheClassTheyArrivedWith(t *testing.T) {
	class := func(e Effect) Class {
		return Class{
			Name: "get", Effect: e, Scope: ScopeAll, DedupWindow: time.Second, LatencyObjective: 500 * msec,
			Deadline: 1500 * msec, PriorityWeight: 1,
		}
	}
	short := class(IdempotentByKey)
	short.DedupWindow = 10 * msec
	other := class(Idempotent)
	other.Name = "other"
	for name, row := range map[string]struct {
		before, after          Class
		oldRetried, newRetried bool // after a reset
	}{
		"safe becomes unsafe":     {class(Idempotent), class(NonIdempotent), true, false},
		"unsafe becomes safe":     {class(NonIdempotent), class(Idempotent), false, true},
		"keyed becomes unsafe":    {class(IdempotentByKey), class(NonIdempotent), true, false},
		"the window shrinks":      {class(IdempotentByKey), short, true, false},
		"the window grows":        {short, class(IdempotentByKey), false, true},
		"the class goes":          {class(Idempotent), other, true, false},
		"nothing changes":         {class(Idempotent), class(Idempotent), true, true},
		"a bad file changes none": {class(Idempotent), Class{Name: "get"}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			set := testSettings()
			set.Classes = []Class{row.before}
			b, err := New(set, 1)
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(6)})
			reconfigure := func() {
				set.Classes = []Class{row.after}
				b.Handle(25*msec, Reconfigure{set})
			}
			if got := isRetriedAfterAReset(t, b, 20*msec, "old", reconfigure); got != row.oldRetried {
				t.Errorf("%s: the request accepted before: retried %v, want %v", name, got, row.oldRetried)
			}
			if got := isRetriedAfterAReset(t, b, 100*msec, "new", func() {}); got != row.newRetried {
				t.Errorf("%s: the request accepted after: retried %v, want %v", name, got, row.newRetried)
			}
		})
	}
}

// isRetriedAfterAReset sends a request, does something while its attempt is in flight, resets the attempt's
// connection 30 ms after the request came, and says whether the request is sent again.
func isRetriedAfterAReset(t *testing.T, b *Balancer, at time.Duration, id string, meanwhile func()) bool {
	t.Helper()
	s := sends(b.Handle(at, Request{ID: id, Class: "get", Deadline: at + time.Second}))
	if len(s) != 1 {
		t.Fatalf("%s: %d sends", id, len(s))
	}
	meanwhile()
	actions := b.Handle(at+30*msec, AttemptEnded{ID: id, Endpoint: s[0].Endpoint, Result: ConnectionLost})
	return len(sends(actions)) == 1
}

// Learned state survives new settings: a class's latency, a server's ejection and the calls in flight.
func TestReconfigureKeepsLearnedState(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(6)})
	sendTraffic(b, 300, "get", func(server string) AttemptResult {
		if server == "s02" {
			return ServerError
		}
		return Success
	})
	open := sends(b.Handle(b.now, Request{ID: "open", Class: "get", Deadline: b.now + time.Second}))[0]
	mean := b.classes.byName["get"].latency.Mean()
	calls := knownEndpoint(t, b, open.Endpoint).Attempts.InFlight()
	health := fmt.Sprint(knownEndpoint(t, b, "s02").Health)
	if calls == 0 || health == fmt.Sprint(outlier.Record{}) {
		t.Fatalf("%d calls out, health %v: nothing to keep", calls, health)
	}
	set := testSettings()
	set.Classes = slices.Clone(set.Classes)
	set.Classes[0].LatencyObjective *= 2
	set.Classes = append(set.Classes, Class{Name: "new", LatencyObjective: time.Second, Deadline: 2 * time.Second})
	b.Handle(b.now, Reconfigure{set})
	if got := b.classes.byName["get"].latency.Mean(); got != mean {
		t.Errorf("mean latency %v, want %v", got, mean)
	}
	if got := knownEndpoint(t, b, open.Endpoint).Attempts.InFlight(); got != calls {
		t.Errorf("%d calls, want %d", got, calls)
	}
	if got := fmt.Sprint(knownEndpoint(t, b, "s02").Health); got != health {
		t.Errorf("health %v, want %v", got, health)
	}
	if b.classes.byName["get"].LatencyObjective != set.Classes[0].LatencyObjective || b.classes.byName["new"] == nil {
		t.Error("the new settings are not in force")
	}
}

// However often settings come, and though classes come and go while calls are in flight, no state
// accumulates.
func TestReconfigureLeaksNoState(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(3)})
	now := time.Duration(0)
	for i := range 500 {
		set := testSettings()
		set.Classes = []Class{{
			Name: fmt.Sprint("c", i), Effect: Idempotent, LatencyObjective: time.Second,
			Deadline: 2 * time.Second,
		}}
		b.Handle(now, Reconfigure{set})
		now += msec
		s := sends(b.Handle(now, Request{ID: "r", Class: fmt.Sprint("c", i), Deadline: now + time.Second}))[0]
		b.Handle(now, Reconfigure{testSettings()})
		now += 20 * msec
		b.Handle(now, AttemptEnded{ID: "r", Endpoint: s.Endpoint, Result: Success, Answered: true})
	}
	b.Handle(now, Reconfigure{testSettings()})
	if len(b.classes.byName) != 4 || len(b.classes.ordered) != 4 {
		t.Errorf("%d classes, %d in order, want 4", len(b.classes.byName), len(b.classes.ordered))
	}
	for ep := range b.endpoints.Known() {
		if n := countRates(ep); n > 4 {
			t.Errorf("%s: rates of %d classes", ep.ID, n)
		}
	}
}
