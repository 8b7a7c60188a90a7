package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// changedSettings draws other settings: classes that come, go, or have another effect, scope, window or
// deadline, and other limits. Now and then they are invalid.
func changedSettings(set Settings, rng *rand.Rand) Settings {
	set.Classes = nil
	for _, c := range testSettings().Classes {
		if rng.IntN(4) == 0 {
			continue
		}
		if rng.IntN(2) == 0 {
			c.Effect, c.Scope = Effect(rng.IntN(3)), Scope(rng.IntN(3))
			c.DedupWindow = time.Duration(1+rng.IntN(900)) * msec
			c.LatencyObjective, c.Deadline = time.Duration(1+rng.IntN(500))*msec, time.Duration(1+rng.IntN(1500))*msec
		}
		set.Classes = append(set.Classes, c)
	}
	set.MaxAttempts, set.AllowCancel = 1+rng.IntN(5), rng.IntN(2) == 0
	set.Replicas, set.ReplicaIndex = 1+rng.IntN(20), rng.IntN(20)
	set.OverloadMultiple, set.OverloadWindow = float64(rng.IntN(5)), time.Duration(rng.IntN(2000))*msec
	if rng.IntN(5) == 0 {
		set.SlowStartFloor = -1
	}
	return set
}

// randomRun drives a Balancer with random legal events and odd ones.
type randomRun struct {
	t        testing.TB
	set      Settings
	seed     uint64
	steps    int
	checker  *ruleChecker // nil: none
	rng      *rand.Rand
	now      time.Duration
	balancer *Balancer
	fleet    []Endpoint
	attempts []runningAttempt
	timers   []SetTimer
	ids      []string
	ended    map[string]bool // requests that have their final answer
	log      []string        // all actions
}

type runningAttempt struct {
	id      string
	number  int
	server  string
	due     time.Duration
	timeout bool
}

// runRandomly drives a Balancer, and returns all its actions.
func runRandomly(t testing.TB, set Settings, seed uint64, steps int, c *ruleChecker) (log []string, b *Balancer) {
	r := &randomRun{
		t: t, set: set, seed: seed, steps: steps, checker: c, rng: rand.New(rand.NewPCG(seed, 1)),
		fleet: testEndpoints(8), ended: map[string]bool{},
	}
	r.restart(seed)
	r.give(EndpointUpdate{Complete: true, Cached: true, Endpoints: r.fleet})
	for i := range steps {
		r.step(i)
	}
	return r.log, r.balancer
}

// restart begins with a fresh Balancer.
func (r *randomRun) restart(seed uint64) {
	b, err := New(r.set, seed)
	if err != nil {
		r.t.Fatal(err)
	}
	r.balancer = b
}

// give hands an event to the Balancer, and notes its actions.
func (r *randomRun) give(e Event) {
	if r.checker != nil {
		r.checker.event(r.now, e)
	}
	actions := r.balancer.Handle(r.now, e)
	if r.checker != nil {
		r.checker.actions(r.now, actions)
	}
	for _, a := range actions {
		r.log = append(r.log, fmt.Sprintf("%v %T%v", r.now, a, a))
		switch a := a.(type) {
		case Send:
			r.begin(a)
		case SetTimer:
			r.timers = append(r.timers, a)
		}
	}
}

// begin draws how an attempt goes.
func (r *randomRun) begin(a Send) {
	number := 0
	for _, p := range r.attempts {
		if p.id == a.ID && p.number >= number {
			number = p.number + 1
		}
	}
	if request := r.balancer.requests[a.ID]; request != nil {
		number = len(request.attempts) - 1
	}
	took := time.Duration(r.rng.ExpFloat64() * float64(120*msec))
	p := runningAttempt{a.ID, number, a.Endpoint, r.now + took, false}
	if r.rng.IntN(8) == 0 || took > a.Timeout {
		p.due, p.timeout = r.now+a.Timeout, true
	}
	r.attempts = append(r.attempts, p)
}

// step lets a tick pass.
func (r *randomRun) step(i int) {
	r.now += r.set.Tick
	if r.rng.IntN(700) == 0 {
		r.kill(r.seed + uint64(i))
	}
	r.fireTimers()
	r.endAttempts()
	if i < r.steps*3/4 && r.rng.IntN(3) == 0 {
		id := fmt.Sprint("r", i)
		class := []string{"get", "post", "pay", "odd"}[r.rng.IntN(4)]
		r.ids = append(r.ids, id)
		r.give(Request{ID: id, Class: class, Deadline: r.now + time.Duration(1+r.rng.IntN(1500))*msec})
	}
	if r.rng.IntN(60) == 0 {
		r.changeList()
	}
	if r.rng.IntN(100) == 0 {
		next := changedSettings(r.set, r.rng)
		r.give(Reconfigure{next})
		if next.Validate() == nil {
			r.set = next
		}
	}
	if r.rng.IntN(40) == 0 { // events of nothing that is known
		r.give(AttemptEnded{ID: "nobody", Attempt: 3, Result: Success})
		r.give(Timer{Token: "r:nobody"})
		r.give(Timer{Token: "x"})
		r.give(ClientGone{ID: "nobody"})
	}
	if r.rng.IntN(50) == 0 && len(r.ids) > 0 {
		id := r.ids[r.rng.IntN(len(r.ids))]
		r.give(ClientGone{ID: id})
		r.ended[id] = true
	}
}

// kill ends the Balancer with all that it holds, now and then as a planned restart does, and a new instance
// takes over.
func (r *randomRun) kill(seed uint64) {
	if r.rng.IntN(2) == 0 {
		r.give(Shutdown{})
		for id, request := range r.balancer.requests {
			if !request.answered {
				r.t.Errorf("%s has no answer at the end", id)
			}
		}
	}
	r.attempts, r.timers = nil, nil
	r.restart(seed)
	if r.checker != nil {
		r.checker.killed()
	}
	r.give(EndpointUpdate{Complete: true, Cached: true, Endpoints: r.listed()})
}

// listed are the servers that are not removed.
func (r *randomRun) listed() (list []Endpoint) {
	for _, s := range r.fleet {
		if s.State != Removed {
			list = append(list, s)
		}
	}
	return list
}

// fireTimers fires those that are due, some of them twice.
func (r *randomRun) fireTimers() {
	for k := 0; k < len(r.timers); k++ {
		timer := r.timers[k]
		if timer.At > r.now {
			continue
		}
		r.timers = append(r.timers[:k], r.timers[k+1:]...)
		k--
		r.give(Timer{Token: timer.Token})
		if r.rng.IntN(20) == 0 {
			r.give(Timer{Token: timer.Token})
		}
	}
}

// endAttempts ends those that are due, some of them twice, and some with their client departed.
func (r *randomRun) endAttempts() {
	for k := 0; k < len(r.attempts); k++ {
		p := r.attempts[k]
		if p.due > r.now {
			continue
		}
		r.attempts = append(r.attempts[:k], r.attempts[k+1:]...)
		k--
		e := AttemptEnded{ID: p.id, Attempt: p.number, Endpoint: p.server, Result: Success}
		switch {
		case p.timeout:
			e.Result = TimedOut
		case r.rng.IntN(3) == 0:
			e.Result = AttemptResult(1 + r.rng.IntN(int(NotSent)))
		}
		if request := r.balancer.requests[p.id]; e.Result == Success || request == nil || request.answered {
			r.ended[p.id] = true
		}
		e.Answered = r.ended[p.id]
		r.give(e)
		if r.rng.IntN(10) == 0 {
			r.give(e)
		}
		if r.rng.IntN(30) == 0 {
			r.give(ClientGone{ID: p.id})
			r.ended[p.id] = true
		}
	}
}

// changeList changes a server, and notifies the Balancer by a complete list, by a change, or by one after a
// failed watch.
func (r *randomRun) changeList() {
	s := &r.fleet[r.rng.IntN(len(r.fleet))]
	s.State = EndpointState(r.rng.IntN(3))
	if r.rng.IntN(2) == 0 {
		s.State, s.StartedAt = Ready, r.now
	}
	switch r.rng.IntN(4) {
	case 0:
		r.give(EndpointUpdate{Complete: true, Endpoints: r.listed()})
	case 1:
		r.give(SubscriptionFailed{})
		r.give(EndpointUpdate{Endpoints: []Endpoint{*s}})
	default:
		r.give(EndpointUpdate{Endpoints: []Endpoint{*s}})
	}
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			set := testSettings()
			set.Tier = int(seed % 2)
			set.PollDiscovery = seed%4 == 0
			if seed%3 == 0 {
				set.Tick = 10 * msec // coarse: half of the slack after a deadline
			}
			c := newRuleChecker(set)
			log, b := runRandomly(t, set, seed, 6000, c)
			for i, s := range c.broken {
				if i < 5 {
					t.Errorf("seed %d: %s", seed, s)
				}
			}
			if len(log) < 1000 {
				t.Errorf("seed %d: only %d actions", seed, len(log))
			}
			if len(b.requests) > 0 || b.queue.len() > 0 || b.admission.InFlight() != 0 {
				t.Errorf("seed %d: %d requests, %d held and %d calls are left over", seed, len(b.requests),
					b.queue.len(), b.admission.InFlight())
			}
			for ep := range b.endpoints.Known() {
				known := countKnown(b)
				if b.endpoints.RemoveIfUnused(ep); countKnown(b) != known || ep.Attempts.InFlight() != 0 {
					t.Errorf("seed %d: endpoint %s is left over", seed, ep.ID)
				}
			}
		})
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	a, _ := runRandomly(t, testSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99) // a neighbour in the process changes nothing
	other.Handle(0, EndpointUpdate{Complete: true, Endpoints: testEndpoints(3)})
	b, _ := runRandomly(t, testSettings(), 5, 3000, nil)
	if len(a) < 500 {
		t.Fatalf("only %d actions", len(a))
	}
	if strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatal("the same events and seed gave other actions")
	}
}

func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 1, 1, 0, 2, 2, 2, 250, 3, 17, 5, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		set := testSettings()
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, fleet := time.Duration(0), testEndpoints(4)
		for i, x := range data {
			id := fmt.Sprint("r", x%5)
			switch x % 7 {
			case 0:
				fleet[int(x/7)%4].State = EndpointState(x % 3)
				b.Handle(now, EndpointUpdate{Complete: x%2 == 0, Endpoints: fleet[:int(x)%5]})
			case 1, 2:
				b.Handle(now, Request{ID: id, Class: set.Classes[x%3].Name, Deadline: now + time.Duration(x)*msec})
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
