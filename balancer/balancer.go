// Package balancer decides to which endpoint each request is sent, when it is retried and when it is rejected
// or failed without a response from an endpoint. It does no I/O: the host passes events to a Balancer and
// carries out the actions that it returns.
//
// A Balancer must be used by one goroutine only. Its only clock is the time passed to Handle, which must not
// decrease, and its only randomness is the seed passed to New, so the same events always give the same
// actions. Balancers share no state. Memory is held for each request until it is answered and its attempts
// have ended, and for each endpoint until it has left the list and its attempts have ended.
package balancer

import (
	"math/rand/v2"
	"time"

	"basaltdrum/balancer/internal/admission"
	"basaltdrum/balancer/internal/retrybudget"
	"basaltdrum/balancer/internal/subscription"
)

// subscriptionToken is the token of the timer that triggers the next Subscribe.
const subscriptionToken = "list"

// seedStream is the second word of the random generator's seed.
const seedStream = 0x51a7e

// Balancer makes the decisions of one replica; the package comment states its contract. It holds the requests
// and combines mechanisms such as admission control, outlier detection and slow start. Each mechanism is a
// package under internal, whose package comment names the published work that it follows.
type Balancer struct {
	settings     Settings
	rng          *rand.Rand
	now          time.Duration
	actions      []Action // of the event being handled
	shuttingDown bool

	subscription subscription.Backoff
	endpoints    endpointSelector

	classes     classTable
	requests    map[string]*request // by ID: not answered yet, or with attempts in flight
	queue       requestQueue
	retryBudget retrybudget.Budget
	admission   admission.Limiter
}

// New returns a Balancer with an empty endpoint list. A non-nil error is a *SettingError.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(seed, seedStream))
	b := &Balancer{
		rng:         rng,
		endpoints:   newEndpointSelector(rng),
		requests:    map[string]*request{},
		retryBudget: retrybudget.New(),
	}
	b.applySettings(settings)
	return b, nil
}

// Handle processes one event at the clock time now and returns the actions to carry out, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	switch e := e.(type) {
	case EndpointUpdate:
		b.updateEndpoints(e)
	case SubscriptionFailed:
		b.retrySubscribe()
	case Request:
		b.accept(e)
	case AttemptEnded:
		b.endAttempt(e)
	case StreamStarted:
		b.startStream(e)
	case ClientGone:
		b.abandon(e)
	case ResponseDue:
		b.answerNow(e)
	case Shutdown:
		b.shutdown()
	case Reconfigure:
		b.reconfigure(e.Settings)
	case Timer:
		b.handleTimer(e)
	}
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// handleTimer passes an expired timer to the component that requested it. A host may round times down, so a
// timer can fire slightly early: no handler relies on its time having been reached, and a queue review that
// finds nothing due requests another timer.
func (b *Balancer) handleTimer(e Timer) {
	if e.Token == subscriptionToken {
		b.subscribeIfDue()
		return
	}
	b.reviewQueued(e.Token)
}

// updateEndpoints applies an update of the endpoint list. A list from the host's cache may be out of date, so
// a Subscribe is still needed after it.
func (b *Balancer) updateEndpoints(e EndpointUpdate) {
	if e.Complete {
		b.endpoints.Replace(e.Endpoints)
	} else {
		b.endpoints.ApplyChanges(e.Endpoints)
	}
	b.admission.Initialize(b.endpoints.PerReplica())
	if e.Cached {
		b.scheduleSubscribe()
	} else {
		b.subscription.Succeed()
	}
	b.dispatchQueued()
}

// scheduleSubscribe schedules a Subscribe if the host has to poll discovery.
func (b *Balancer) scheduleSubscribe() {
	if b.settings.PollDiscovery {
		at := b.subscription.Schedule(b.now, b.settings.PollWithin, b.rng.Float64())
		b.emit(SetTimer{At: at, Token: subscriptionToken})
	}
}

// retrySubscribe schedules another Subscribe after one has failed or the subscription has ended.
func (b *Balancer) retrySubscribe() {
	b.subscription.Fail()
	b.scheduleSubscribe()
}

// subscribeIfDue emits the scheduled Subscribe once it is due.
func (b *Balancer) subscribeIfDue() {
	if b.subscription.TakeIfDue(b.now, b.settings.Tick) {
		b.emit(Subscribe{})
	}
}

// applySettings applies settings that have been validated.
func (b *Balancer) applySettings(settings Settings) {
	b.settings = settings
	b.classes = newClassTable(settings.Classes, b.classes)
	b.admission.Configure(b.classes.priorities(&settings))
	b.endpoints.configure(&settings)
}

// reconfigure replaces the settings. Requests keep the class that they were accepted with, so guarantees
// given to their clients still hold. The endpoints' health, slow start and counters do not depend on
// settings. The queued requests are evaluated again.
func (b *Balancer) reconfigure(settings Settings) {
	if settings.Validate() != nil {
		return
	}
	settings.PollDiscovery = b.settings.PollDiscovery // the host's way of discovery is fixed for its lifetime
	b.applySettings(settings)
	b.endpoints.forgetClasses(b.classes.hasFailureRate)
	for _, req := range b.queue.all() {
		b.enqueue(req)
	}
	b.dispatchQueued()
}
