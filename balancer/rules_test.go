package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// changedSettings draws new settings: classes are added, removed or get another effect, scope, deduplication
// window or deadline, and limits change. Some are invalid.
func changedSettings(settings Settings, rng *rand.Rand) Settings {
	settings.Classes = nil
	for _, c := range testSettings().Classes {
		if rng.IntN(4) == 0 {
			continue
		}
		if rng.IntN(2) == 0 {
			c.Effect, c.Scope = Effect(rng.IntN(3)), Scope(rng.IntN(3))
			c.DedupWindow = time.Duration(1+rng.IntN(900)) * msec
			c.LatencyObjective, c.Deadline = time.Duration(1+rng.IntN(500))*msec, time.Duration(1+rng.IntN(1500))*msec
		}
		settings.Classes = append(settings.Classes, c)
	}
	settings.MaxAttempts, settings.AllowCancel = 1+rng.IntN(5), rng.IntN(2) == 0
	settings.Replicas, settings.ReplicaIndex = 1+rng.IntN(20), rng.IntN(20)
	settings.OverloadMultiple, settings.OverloadWindow = float64(rng.IntN(5)), time.Duration(rng.IntN(2000))*msec
	if rng.IntN(5) == 0 {
		settings.SlowStartFloor = -1
	}
	return settings
}

// randomRun drives a Balancer with random events. Some are repeated or refer to unknown requests and
// attempts.
type randomRun struct {
	t         testing.TB
	settings  Settings
	seed      uint64
	steps     int
	checker   *ruleChecker // nil: rules are not checked
	rng       *rand.Rand
	now       time.Duration
	balancer  *Balancer
	endpoints []Endpoint // all endpoints, including removed ones
	attempts  []runningAttempt
	timers    []SetTimer
	ids       []string
	ended     map[string]bool // requests that have their final response
	log       []string        // all actions, formatted
}

// runningAttempt is an attempt in flight and how it will end.
type runningAttempt struct {
	id       string
	number   int
	endpoint string
	due      time.Duration // end of the attempt
	timesOut bool
}

// runRandomly drives a Balancer with random events and returns the log of its actions.
func runRandomly(t testing.TB, settings Settings, seed uint64, steps int, c *ruleChecker) (log []string, b *Balancer) {
	r := &randomRun{
		t: t, settings: settings, seed: seed, steps: steps, checker: c, rng: rand.New(rand.NewPCG(seed, 1)),
		endpoints: testEndpoints(8), ended: map[string]bool{},
	}
	r.restart(seed)
	r.handle(EndpointUpdate{Complete: true, Cached: true, Endpoints: r.endpoints})
	for i := range steps {
		r.step(i)
	}
	return r.log, r.balancer
}

// restart starts a new Balancer.
func (r *randomRun) restart(seed uint64) {
	b, err := New(r.settings, seed)
	if err != nil {
		r.t.Fatal(err)
	}
	r.balancer = b
}

// handle passes an event to the Balancer and logs its actions.
func (r *randomRun) handle(e Event) {
	if r.checker != nil {
		r.checker.observeEvent(r.now, e)
	}
	actions := r.balancer.Handle(r.now, e)
	if r.checker != nil {
		r.checker.checkActions(r.now, actions)
	}
	for _, a := range actions {
		r.log = append(r.log, fmt.Sprintf("%v %T%v", r.now, a, a))
		switch a := a.(type) {
		case Send:
			r.startAttempt(a)
		case SetTimer:
			r.timers = append(r.timers, a)
		}
	}
}

// startAttempt draws when an attempt ends and whether it times out.
func (r *randomRun) startAttempt(a Send) {
	number := 0
	for _, attempt := range r.attempts {
		if attempt.id == a.ID && attempt.number >= number {
			number = attempt.number + 1
		}
	}
	if request := r.balancer.requests[a.ID]; request != nil {
		number = len(request.attempts) - 1
	}
	latency := time.Duration(r.rng.ExpFloat64() * float64(120*msec))
	attempt := runningAttempt{a.ID, number, a.Endpoint, r.now + latency, false}
	if r.rng.IntN(8) == 0 || latency > a.Timeout {
		attempt.due, attempt.timesOut = r.now+a.Timeout, true
	}
	r.attempts = append(r.attempts, attempt)
}

// step advances the clock by one tick and plays the random events of that tick.
func (r *randomRun) step(i int) {
	r.now += r.settings.Tick
	if r.rng.IntN(700) == 0 {
		r.kill(r.seed + uint64(i))
	}
	r.fireTimers()
	r.endAttempts()
	if i < r.steps*3/4 && r.rng.IntN(3) == 0 {
		id := fmt.Sprint("r", i)
		class := []string{"get", "post", "pay", "unknown"}[r.rng.IntN(4)]
		r.ids = append(r.ids, id)
		r.handle(Request{ID: id, Class: class, Deadline: r.now + time.Duration(1+r.rng.IntN(1500))*msec})
	}
	if r.rng.IntN(60) == 0 {
		r.changeList()
	}
	if r.rng.IntN(100) == 0 {
		next := changedSettings(r.settings, r.rng)
		r.handle(Reconfigure{next})
		if next.Validate() == nil {
			r.settings = next
		}
	}
	if r.rng.IntN(40) == 0 { // events that refer to nothing known
		r.handle(AttemptEnded{ID: "nobody", Attempt: 3, Result: Success})
		r.handle(Timer{Token: "r:nobody"})
		r.handle(Timer{Token: "x"})
		r.handle(ClientGone{ID: "nobody"})
		r.handle(ResponseDue{ID: "nobody"})
	}
	if r.rng.IntN(50) == 0 && len(r.ids) > 0 {
		id := r.ids[r.rng.IntN(len(r.ids))]
		r.handle(ClientGone{ID: id})
		r.ended[id] = true
	}
	if r.rng.IntN(50) == 0 && len(r.ids) > 0 {
		r.answerNow(r.ids[r.rng.IntN(len(r.ids))])
	}
}

// answerNow reports that the response to a request is due, and checks that it has one then.
func (r *randomRun) answerNow(id string) {
	r.handle(ResponseDue{ID: id})
	if request := r.balancer.requests[id]; request != nil && !request.answered {
		r.t.Errorf("%s has no final response although it is due", id)
	}
}

// kill replaces the Balancer by a new instance without state. Half of the time it is shut down first, as on a
// planned restart.
func (r *randomRun) kill(seed uint64) {
	if r.rng.IntN(2) == 0 {
		r.handle(Shutdown{})
		for id, request := range r.balancer.requests {
			if !request.answered {
				r.t.Errorf("%s has no final response after Shutdown", id)
			}
		}
	}
	r.attempts, r.timers = nil, nil
	r.restart(seed)
	if r.checker != nil {
		r.checker.reset()
	}
	r.handle(EndpointUpdate{Complete: true, Cached: true, Endpoints: r.listed()})
}

// listed returns the endpoints that are not removed.
func (r *randomRun) listed() (list []Endpoint) {
	for _, ep := range r.endpoints {
		if ep.State != Removed {
			list = append(list, ep)
		}
	}
	return list
}

// fireTimers fires the timers that are due, some of them twice.
func (r *randomRun) fireTimers() {
	for k := 0; k < len(r.timers); k++ {
		timer := r.timers[k]
		if timer.At > r.now {
			continue
		}
		r.timers = append(r.timers[:k], r.timers[k+1:]...)
		k--
		r.handle(Timer{Token: timer.Token})
		if r.rng.IntN(20) == 0 {
			r.handle(Timer{Token: timer.Token})
		}
	}
}

// endAttempts ends the attempts that are due, some of them twice, and disconnects the clients of some.
func (r *randomRun) endAttempts() {
	for k := 0; k < len(r.attempts); k++ {
		attempt := r.attempts[k]
		if attempt.due > r.now {
			continue
		}
		r.attempts = append(r.attempts[:k], r.attempts[k+1:]...)
		k--
		e := AttemptEnded{ID: attempt.id, Attempt: attempt.number, Endpoint: attempt.endpoint, Result: Success}
		switch {
		case attempt.timesOut:
			e.Result = TimedOut
		case r.rng.IntN(3) == 0:
			e.Result = AttemptResult(1 + r.rng.IntN(int(NotSent)))
		}
		if request := r.balancer.requests[attempt.id]; e.Result == Success || request == nil || request.answered {
			r.ended[attempt.id] = true
		}
		e.Answered = r.ended[attempt.id]
		r.handle(e)
		if r.rng.IntN(10) == 0 {
			r.handle(e)
		}
		if r.rng.IntN(30) == 0 {
			r.handle(ClientGone{ID: attempt.id})
			r.ended[attempt.id] = true
		}
	}
}

// changeList changes an endpoint and notifies the Balancer by a complete list, by an update of the entry, or
// by such an update after a failed subscription.
func (r *randomRun) changeList() {
	ep := &r.endpoints[r.rng.IntN(len(r.endpoints))]
	ep.State = EndpointState(r.rng.IntN(3))
	if r.rng.IntN(2) == 0 {
		ep.State, ep.StartedAt = Ready, r.now
	}
	switch r.rng.IntN(4) {
	case 0:
		r.handle(EndpointUpdate{Complete: true, Endpoints: r.listed()})
	case 1:
		r.handle(SubscriptionFailed{})
		r.handle(EndpointUpdate{Endpoints: []Endpoint{*ep}})
	default:
		r.handle(EndpointUpdate{Endpoints: []Endpoint{*ep}})
	}
}

// The rules of ruleChecker hold on random events, and no state is left over at the end.
func TestRulesHoldOnRandomSequences(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			settings := testSettings()
			settings.Tier = int(seed % 2)
			settings.PollDiscovery = seed%4 == 0
			if seed%3 == 0 {
				settings.Tick = 10 * msec // half of the checker's slack
			}
			c := newRuleChecker(settings)
			log, b := runRandomly(t, settings, seed, 6000, c)
			for i, s := range c.violations {
				if i < 5 {
					t.Errorf("seed %d: %s", seed, s)
				}
			}
			if len(log) < 1000 {
				t.Errorf("seed %d: %d actions, want at least 1000", seed, len(log))
			}
			if len(b.requests) > 0 || b.queue.len() > 0 || b.admission.InFlight() != 0 {
				t.Errorf("seed %d: %d requests, %d queued and %d attempts are left over, want none",
					seed, len(b.requests), b.queue.len(), b.admission.InFlight())
			}
			for ep := range b.endpoints.Known() {
				known := countKnown(b)
				if b.endpoints.RemoveIfUnused(ep); countKnown(b) != known || ep.Attempts.InFlight() != 0 {
					t.Errorf("seed %d: endpoint %s is unused or has attempts in flight, want neither", seed, ep.ID)
				}
			}
		})
	}
}

// The same events and seed give the same actions, whatever other Balancers do.
func TestSameEventsGiveSameActions(t *testing.T) {
	first, _ := runRandomly(t, testSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99) // Balancers share no state
	other.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(3)})
	second, _ := runRandomly(t, testSettings(), 5, 3000, nil)
	if len(first) < 500 {
		t.Fatalf("the run gave %d actions, want at least 500", len(first))
	}
	if strings.Join(first, "\n") != strings.Join(second, "\n") {
		t.Fatal("a second run with the same events and seed gave other actions")
	}
}

// FuzzHandle passes arbitrary events to a Balancer, which must not panic.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 1, 1, 0, 2, 2, 2, 250, 3, 17, 5, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		settings := testSettings()
		b, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, list := time.Duration(0), testEndpoints(4)
		for i, x := range data {
			id := fmt.Sprint("r", x%5)
			switch x % 7 {
			case 0:
				list[int(x/7)%4].State = EndpointState(x % 3)
				b.Handle(now, EndpointUpdate{Complete: x%2 == 0, Endpoints: list[:int(x)%5]})
			case 1, 2:
				b.Handle(now, Request{ID: id, Class: settings.Classes[x%3].Name, Deadline: now + time.Duration(x)*msec})
			case 3:
				b.Handle(now, AttemptEnded{
					ID: id, Attempt: int(x%4) - 1, Result: AttemptResult(x % 9), Answered: x%2 == 0,
				})
			case 4:
				b.Handle(now, Timer{Token: "r:" + id})
			case 5:
				b.Handle(now, ClientGone{ID: id})
			case 6:
				b.Handle(now, StreamStarted{ID: id, Attempt: i % 3})
			}
			now += time.Duration(x) * msec / 4
		}
	})
}
