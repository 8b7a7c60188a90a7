package balancer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basaltdrum/balancer"
)

// The same events give the same actions from one version to the next: what is restructured must not change
// a single decision. The hashes hold on amd64; other processors may round the averages differently.
func TestActionsOfSeededRunsStayTheSame(t *testing.T) {
	for _, scenario := range traceScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			driver := newTraceDriver(t, scenario)
			driver.play()
			if driver.sends < traceSteps/4 || driver.answers == 0 {
				t.Errorf("only %d sends and %d refusals and failures", driver.sends, driver.answers)
			}
			if got := driver.sum(); got != scenario.hash {
				t.Errorf("the actions hash to %s, want %s", got, scenario.hash)
			}
		})
	}
}

// traceAttempt is an attempt in flight.
type traceAttempt struct {
	id     string
	number int
	server string
	sentAt time.Duration
	endsAt time.Duration
	ending balancer.AttemptResult
}

// traceDriver plays a host: it gives a Balancer seeded events and hashes what it decides.
type traceDriver struct {
	t         *testing.T
	scenario  traceScenario
	settings  balancer.Settings
	balancer  *balancer.Balancer
	rng       *rand.Rand
	hash      hash.Hash
	now       time.Duration
	endpoints []balancer.Endpoint
	attempts  []traceAttempt
	timers    []balancer.SetTimer
	sent      map[string]int  // attempts of each request
	ended     map[string]bool // requests with a final answer
	down      time.Duration   // all attempts fail until then
	requests  int
	sends     int
	answers   int
}

func newTraceDriver(t *testing.T, scenario traceScenario) *traceDriver {
	t.Helper()
	settings := traceSettings()
	if scenario.change != nil {
		scenario.change(&settings)
	}
	b, err := balancer.New(settings, 11)
	if err != nil {
		t.Fatal(err)
	}
	d := &traceDriver{
		t: t, scenario: scenario, settings: settings, balancer: b, hash: sha256.New(),
		rng: rand.New(rand.NewPCG(5, uint64(scenario.servers))), sent: map[string]int{}, ended: map[string]bool{},
	}
	for i := range scenario.servers {
		endpoint := balancer.Endpoint{
			ID: fmt.Sprintf("s%04d", i*7919%10000), Zone: fmt.Sprintf("z%d", i%3), Cell: i % 5,
		}
		if scenario.sized {
			endpoint.Capacity = 0.5 + d.rng.Float64()
		}
		d.endpoints = append(d.endpoints, endpoint)
	}
	return d
}

func (d *traceDriver) play() {
	d.give(balancer.EndpointUpdate{Complete: true, Cached: true, Endpoints: d.listed()})
	d.give(balancer.EndpointUpdate{Complete: true, Endpoints: d.listed()})
	for range traceSteps {
		d.now += d.settings.Tick
		d.endAttempts()
		d.ringTimers()
		for range 1 + d.rng.IntN(3) {
			d.request()
		}
		d.changeList()
		d.leave()
		d.strike()
		if d.scenario.reconfigs && d.rng.IntN(400) == 0 {
			d.reconfigure()
		}
	}
	d.give(balancer.Shutdown{})
}

func (d *traceDriver) sum() string { return hex.EncodeToString(d.hash.Sum(nil)[:12]) }

// give hands the balancer an event and hashes the actions, by their meaning rather than by their Go names.
func (d *traceDriver) give(e balancer.Event) {
	for _, action := range d.balancer.Handle(d.now, e) {
		switch a := action.(type) {
		case balancer.Send:
			d.sends++
			fmt.Fprintf(d.hash, "%d send %s %s %d %d\n", d.now, a.ID, a.Endpoint, a.Timeout, a.NotAfter)
			d.send(a)
		case balancer.Cancel:
			fmt.Fprintf(d.hash, "%d cancel %s %d\n", d.now, a.ID, a.Attempt)
			d.cancel(a)
		case balancer.Reject:
			d.answers++
			fmt.Fprintf(d.hash, "%d reject %s %d\n", d.now, a.ID, a.RetryAfter)
			d.ended[a.ID] = true
		case balancer.Fail:
			d.answers++
			fmt.Fprintf(d.hash, "%d fail %s\n", d.now, a.ID)
			d.ended[a.ID] = true
		case balancer.SetTimer:
			fmt.Fprintf(d.hash, "%d wake %d %s\n", d.now, a.At, a.Token)
			d.timers = append(d.timers, a)
		case balancer.Subscribe:
			fmt.Fprintf(d.hash, "%d subscribe\n", d.now)
		default:
			d.t.Fatalf("unknown action %T", a)
		}
	}
}

// send draws how an attempt ends. One endpoint in eight is slow, one in nine fails often.
func (d *traceDriver) send(a balancer.Send) {
	attempt := traceAttempt{
		id: a.ID, number: d.sent[a.ID], server: a.Endpoint, sentAt: d.now, ending: balancer.Success,
	}
	d.sent[a.ID]++
	number := int(a.Endpoint[len(a.Endpoint)-1] + a.Endpoint[len(a.Endpoint)-2]*3)
	mean := 60 * time.Millisecond
	if number%8 == 0 {
		mean *= 4
	}
	took := time.Duration(d.rng.ExpFloat64() * float64(mean))
	fails := 40
	if number%9 == 0 {
		fails = 3
	}
	switch {
	case d.now < d.down:
		attempt.ending = []balancer.AttemptResult{
			balancer.ConnectFailed, balancer.TimedOut, balancer.Rejected,
		}[d.rng.IntN(3)]
	case d.rng.IntN(fails) == 0:
		attempt.ending = balancer.AttemptResult(1 + d.rng.IntN(int(balancer.NotSent)))
	}
	if took > a.Timeout || attempt.ending == balancer.TimedOut {
		took, attempt.ending = a.Timeout, balancer.TimedOut
	}
	attempt.endsAt = d.now + took
	d.attempts = append(d.attempts, attempt)
}

func (d *traceDriver) cancel(a balancer.Cancel) {
	for i := range d.attempts {
		attempt := &d.attempts[i]
		if attempt.id == a.ID && attempt.number == a.Attempt {
			attempt.endsAt, attempt.ending = d.now, balancer.Cancelled
		}
	}
}

func (d *traceDriver) endAttempts() {
	var due []traceAttempt
	d.attempts = slices.DeleteFunc(d.attempts, func(a traceAttempt) bool {
		if a.endsAt <= d.now {
			due = append(due, a)
		}
		return a.endsAt <= d.now
	})
	for _, a := range due {
		if a.ending == balancer.Success {
			d.ended[a.id] = true
		}
		d.give(balancer.AttemptEnded{
			ID: a.id, Attempt: a.number, Endpoint: a.server, Result: a.ending,
			Latency: d.now - a.sentAt, Answered: d.ended[a.id],
		})
	}
}

func (d *traceDriver) ringTimers() {
	var due []balancer.SetTimer
	d.timers = slices.DeleteFunc(d.timers, func(w balancer.SetTimer) bool {
		if w.At <= d.now {
			due = append(due, w)
		}
		return w.At <= d.now
	})
	for _, w := range due {
		d.give(balancer.Timer{Token: w.Token})
	}
}

func (d *traceDriver) request() {
	d.requests++
	class := d.settings.Classes[d.rng.IntN(len(d.settings.Classes))]
	e := balancer.Request{
		ID: fmt.Sprint("r", d.requests), Class: class.Name, Deadline: d.now + class.Deadline,
		Retry: d.rng.IntN(20) == 0,
	}
	if d.rng.IntN(10) == 0 { // what an earlier attempt of the client's has left
		e.Deadline = d.now + time.Duration(d.rng.Float64()*float64(class.Deadline))
	}
	if d.rng.IntN(100) == 0 {
		e.Class = "unknown"
	}
	if d.scenario.hinted {
		e.ExpectedWork = time.Duration(d.rng.ExpFloat64() * float64(20*time.Millisecond))
	}
	d.give(e)
	if d.rng.IntN(200) == 0 {
		d.give(balancer.StreamStarted{ID: e.ID, Attempt: 0})
	}
}

// listed is the complete list as discovery tells it.
func (d *traceDriver) listed() (list []balancer.Endpoint) {
	for _, endpoint := range d.endpoints {
		if endpoint.State != balancer.Removed {
			list = append(list, endpoint)
		}
	}
	return list
}

// changeList has one endpoint drain, leave, come back or restart, and tells of it by a change or by a
// complete list; a polled discovery may fail instead.
func (d *traceDriver) changeList() {
	if d.rng.IntN(30) != 0 {
		return
	}
	endpoint := &d.endpoints[d.rng.IntN(len(d.endpoints))]
	endpoint.State = balancer.EndpointState(d.rng.IntN(3))
	if d.rng.IntN(3) > 0 {
		endpoint.State = balancer.Ready
		if d.scenario.warming {
			endpoint.StartedAt = d.now - time.Duration(d.rng.IntN(500))*time.Millisecond
		}
	}
	switch d.rng.IntN(8) {
	case 0:
		d.give(balancer.EndpointUpdate{Complete: true, Endpoints: d.listed()})
	case 1:
		d.give(balancer.SubscriptionFailed{})
		d.give(balancer.EndpointUpdate{Endpoints: []balancer.Endpoint{*endpoint}})
	default:
		d.give(balancer.EndpointUpdate{Endpoints: []balancer.Endpoint{*endpoint}})
	}
}

// leave has a client depart before the response to one of the last requests.
func (d *traceDriver) leave() {
	if d.rng.IntN(25) != 0 {
		return
	}
	id := fmt.Sprint("r", max(1, d.requests-d.rng.IntN(60)))
	d.ended[id] = true
	d.give(balancer.ClientGone{ID: id})
}

// strike begins an outage: attempts fail for a while, or no endpoint is listed until the next change.
func (d *traceDriver) strike() {
	if !d.scenario.outages || d.rng.IntN(1500) != 0 {
		return
	}
	if d.rng.IntN(3) > 0 {
		d.down = d.now + time.Duration(d.rng.IntN(3000))*time.Millisecond
		return
	}
	d.give(balancer.EndpointUpdate{Complete: true})
	d.now += 200 * time.Millisecond
	d.endAttempts()
	d.ringTimers()
	d.give(balancer.EndpointUpdate{Complete: true, Endpoints: d.listed()})
}

// reconfigure puts other settings in force: other classes, limits, another place among the copies.
func (d *traceDriver) reconfigure() {
	next := traceSettings()
	if d.scenario.change != nil {
		d.scenario.change(&next)
	}
	dropped := d.rng.IntN(len(next.Classes))
	next.Classes = slices.Delete(next.Classes, dropped, dropped+1)
	for i := range next.Classes {
		next.Classes[i].Deadline = time.Duration(500+d.rng.IntN(1500)) * time.Millisecond
	}
	next.MaxAttempts = 1 + d.rng.IntN(5)
	next.Replicas = 1 + d.rng.IntN(100)
	next.ReplicaIndex = d.rng.IntN(next.Replicas)
	next.Zone = fmt.Sprintf("z%d", d.rng.IntN(4))
	d.settings = next
	d.give(balancer.Reconfigure{Settings: next})
}
