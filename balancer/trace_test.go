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

// The same events give the same actions in each version: restructured code must not change any decision. The
// hashes hold on amd64; other processors may round the averages differently.
func TestActionsOfSeededRunsStayTheSame(t *testing.T) {
	for _, scenario := range traceScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			driver := newTraceDriver(t, scenario)
			driver.play()
			if driver.sends < traceSteps/4 || driver.finalResponses == 0 {
				t.Errorf("%d sends, want at least %d; %d rejections and failures, want at least one",
					driver.sends, traceSteps/4, driver.finalResponses)
			}
			if got := driver.hashSum(); got != scenario.hash {
				t.Errorf("the actions hash to %s, want %s", got, scenario.hash)
			}
		})
	}
}

// traceAttempt is an attempt in flight and how it will end.
type traceAttempt struct {
	id       string
	number   int
	endpoint string
	sentAt   time.Duration
	endsAt   time.Duration
	result   balancer.AttemptResult
}

// traceDriver acts as the host: it passes seeded random events to a Balancer and hashes the actions.
type traceDriver struct {
	t              *testing.T
	scenario       traceScenario
	settings       balancer.Settings
	balancer       *balancer.Balancer
	rng            *rand.Rand
	hash           hash.Hash
	now            time.Duration
	endpoints      []balancer.Endpoint // all endpoints, including removed ones
	attempts       []traceAttempt
	timers         []balancer.SetTimer
	sent           map[string]int  // number of attempts by request
	ended          map[string]bool // requests with a final response
	outageEnd      time.Duration   // all attempts fail until then
	requests       int
	sends          int
	finalResponses int // Reject and Fail actions
}

// newTraceDriver returns a driver with the endpoints of the scenario, before the first event.
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
		rng: rand.New(rand.NewPCG(5, uint64(scenario.endpoints))), sent: map[string]int{}, ended: map[string]bool{},
	}
	for i := range scenario.endpoints {
		endpoint := balancer.Endpoint{
			ID: fmt.Sprintf("s%04d", i*7919%10000), Zone: fmt.Sprintf("z%d", i%3), Cell: i % 5,
		}
		if scenario.withCapacities {
			endpoint.Capacity = 0.5 + d.rng.Float64()
		}
		d.endpoints = append(d.endpoints, endpoint)
	}
	return d
}

// play plays the scenario.
func (d *traceDriver) play() {
	d.handle(balancer.EndpointUpdate{Complete: true, Cached: true, Endpoints: d.listed()})
	d.handle(balancer.EndpointUpdate{Complete: true, Endpoints: d.listed()})
	for range traceSteps {
		d.now += d.settings.Tick
		d.endAttempts()
		d.fireTimers()
		for range 1 + d.rng.IntN(3) {
			d.request()
		}
		d.changeList()
		d.disconnectClient()
		d.startOutage()
		if d.scenario.reconfigs && d.rng.IntN(400) == 0 {
			d.reconfigure()
		}
	}
	d.handle(balancer.Shutdown{})
}

// hashSum returns the hash of the actions.
func (d *traceDriver) hashSum() string { return hex.EncodeToString(d.hash.Sum(nil)[:12]) }

// handle passes an event to the Balancer and hashes the actions in a format that doesn't depend on their Go
// names.
func (d *traceDriver) handle(e balancer.Event) {
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
			d.finalResponses++
			fmt.Fprintf(d.hash, "%d reject %s %d\n", d.now, a.ID, a.RetryAfter)
			d.ended[a.ID] = true
		case balancer.Fail:
			d.finalResponses++
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

// send draws how an attempt ends. One in eight endpoints is slow, and one in nine fails often.
func (d *traceDriver) send(a balancer.Send) {
	attempt := traceAttempt{
		id: a.ID, number: d.sent[a.ID], endpoint: a.Endpoint, sentAt: d.now, result: balancer.Success,
	}
	d.sent[a.ID]++
	number := int(a.Endpoint[len(a.Endpoint)-1] + a.Endpoint[len(a.Endpoint)-2]*3)
	mean := 60 * time.Millisecond
	if number%8 == 0 {
		mean *= 4
	}
	latency := time.Duration(d.rng.ExpFloat64() * float64(mean))
	attemptsPerFailure := 40
	if number%9 == 0 {
		attemptsPerFailure = 3
	}
	switch {
	case d.now < d.outageEnd:
		attempt.result = []balancer.AttemptResult{
			balancer.ConnectFailed, balancer.TimedOut, balancer.Rejected,
		}[d.rng.IntN(3)]
	case d.rng.IntN(attemptsPerFailure) == 0:
		attempt.result = balancer.AttemptResult(1 + d.rng.IntN(int(balancer.NotSent)))
	}
	if latency > a.Timeout || attempt.result == balancer.TimedOut {
		latency, attempt.result = a.Timeout, balancer.TimedOut
	}
	attempt.endsAt = d.now + latency
	d.attempts = append(d.attempts, attempt)
}

// cancel ends an attempt as cancelled.
func (d *traceDriver) cancel(a balancer.Cancel) {
	for i := range d.attempts {
		attempt := &d.attempts[i]
		if attempt.id == a.ID && attempt.number == a.Attempt {
			attempt.endsAt, attempt.result = d.now, balancer.Cancelled
		}
	}
}

// endAttempts ends the attempts that are due.
func (d *traceDriver) endAttempts() {
	var due []traceAttempt
	d.attempts = slices.DeleteFunc(d.attempts, func(a traceAttempt) bool {
		if a.endsAt <= d.now {
			due = append(due, a)
		}
		return a.endsAt <= d.now
	})
	for _, a := range due {
		if a.result == balancer.Success {
			d.ended[a.id] = true
		}
		d.handle(balancer.AttemptEnded{
			ID: a.id, Attempt: a.number, Endpoint: a.endpoint, Result: a.result,
			Latency: d.now - a.sentAt, Answered: d.ended[a.id],
		})
	}
}

// fireTimers fires the timers that are due.
func (d *traceDriver) fireTimers() {
	var due []balancer.SetTimer
	d.timers = slices.DeleteFunc(d.timers, func(timer balancer.SetTimer) bool {
		if timer.At <= d.now {
			due = append(due, timer)
		}
		return timer.At <= d.now
	})
	for _, timer := range due {
		d.handle(balancer.Timer{Token: timer.Token})
	}
}

// request sends a request of a random class.
func (d *traceDriver) request() {
	d.requests++
	class := d.settings.Classes[d.rng.IntN(len(d.settings.Classes))]
	e := balancer.Request{
		ID: fmt.Sprint("r", d.requests), Class: class.Name, Deadline: d.now + class.Deadline,
		Retry: d.rng.IntN(20) == 0,
	}
	if d.rng.IntN(10) == 0 { // a retry by the client, with the time that its earlier attempts left
		e.Deadline = d.now + time.Duration(d.rng.Float64()*float64(class.Deadline))
	}
	if d.rng.IntN(100) == 0 {
		e.Class = "unknown"
	}
	if d.scenario.withWorkHints {
		e.ExpectedWork = time.Duration(d.rng.ExpFloat64() * float64(20*time.Millisecond))
	}
	d.handle(e)
	if d.rng.IntN(200) == 0 {
		d.handle(balancer.StreamStarted{ID: e.ID, Attempt: 0})
	}
}

// listed returns the complete list as discovery reports it.
func (d *traceDriver) listed() (list []balancer.Endpoint) {
	for _, endpoint := range d.endpoints {
		if endpoint.State != balancer.Removed {
			list = append(list, endpoint)
		}
	}
	return list
}

// changeList changes the state of one endpoint and notifies the Balancer by a complete list, by an update of
// the entry, or by such an update after a failed subscription.
func (d *traceDriver) changeList() {
	if d.rng.IntN(30) != 0 {
		return
	}
	endpoint := &d.endpoints[d.rng.IntN(len(d.endpoints))]
	endpoint.State = balancer.EndpointState(d.rng.IntN(3))
	if d.rng.IntN(3) > 0 {
		endpoint.State = balancer.Ready
		if d.scenario.withStartTimes {
			endpoint.StartedAt = d.now - time.Duration(d.rng.IntN(500))*time.Millisecond
		}
	}
	switch d.rng.IntN(8) {
	case 0:
		d.handle(balancer.EndpointUpdate{Complete: true, Endpoints: d.listed()})
	case 1:
		d.handle(balancer.SubscriptionFailed{})
		d.handle(balancer.EndpointUpdate{Endpoints: []balancer.Endpoint{*endpoint}})
	default:
		d.handle(balancer.EndpointUpdate{Endpoints: []balancer.Endpoint{*endpoint}})
	}
}

// disconnectClient disconnects the client of one of the last requests.
func (d *traceDriver) disconnectClient() {
	if d.rng.IntN(25) != 0 {
		return
	}
	id := fmt.Sprint("r", max(1, d.requests-d.rng.IntN(60)))
	d.ended[id] = true
	d.handle(balancer.ClientGone{ID: id})
}

// startOutage starts an outage: all attempts fail for a while, or the list is empty for 200 ms.
func (d *traceDriver) startOutage() {
	if !d.scenario.outages || d.rng.IntN(1500) != 0 {
		return
	}
	if d.rng.IntN(3) > 0 {
		d.outageEnd = d.now + time.Duration(d.rng.IntN(3000))*time.Millisecond
		return
	}
	d.handle(balancer.EndpointUpdate{Complete: true})
	d.now += 200 * time.Millisecond
	d.endAttempts()
	d.fireTimers()
	d.handle(balancer.EndpointUpdate{Complete: true, Endpoints: d.listed()})
}

// reconfigure applies changed settings: other classes, another limit on attempts and another placement of the
// replica.
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
	d.handle(balancer.Reconfigure{Settings: next})
}
