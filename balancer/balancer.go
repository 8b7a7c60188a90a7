// Package balancer decides where a load balancer sends each request, when it retries and when it answers
// without one. It does no I/O: the host feeds events to a Balancer and carries out the actions that it
// returns.
//
// A Balancer belongs to one goroutine. Its only clock is the time given to Handle, which must never go back,
// and its only randomness is the seed given to New, so the same events always give the same actions.
// Balancers share nothing. Memory is held for each request until it is answered and its attempts have ended,
// and for each endpoint until it has left the list and its attempts have ended.
package balancer

import (
	"math/rand/v2"
	"time"

	"basaltdrum/balancer/internal/admission"
	"basaltdrum/balancer/internal/retrybudget"
	"basaltdrum/balancer/internal/subscription"
)

// subscriptionToken is the token of the timer after which the host is asked to subscribe.
const subscriptionToken = "list"

// seedStream is the second half of the random generator's seed.
const seedStream = 0x51a7e

// Balancer decides for one replica. See the package comment for its contract. It holds the requests and
// passes what happens to them to the mechanisms, each of which is a package below internal that names its
// source.
type Balancer struct {
	settings     Settings
	rng          *rand.Rand
	now          time.Duration
	actions      []Action // of the event that is being handled
	shuttingDown bool

	subscription subscription.Backoff
	endpoints    endpointSelector

	classes     classTable
	requests    map[string]*request // by id: not answered, or with attempts in flight
	queue       requestQueue
	retryBudget retrybudget.Budget
	admission   admission.Limiter
}

// New returns a Balancer that knows no endpoints yet. The error is a *SettingError.
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

// Handle takes one event at the clock time now and returns what to do, in order.
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

// handleTimer passes a timer to what asked for it. A host may round a time down, so a timer can come a little
// early: nothing relies on its being late enough, and a review that finds nothing due asks for another.
func (b *Balancer) handleTimer(e Timer) {
	if e.Token == subscriptionToken {
		b.subscribeIfDue()
		return
	}
	b.reviewQueued(e.Token)
}

// updateEndpoints applies an update of the endpoint list. A list from the host's cache may be out of date, so
// a subscription is still wanted.
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

// scheduleSubscribe plans a Subscribe where endpoint updates come only after one.
func (b *Balancer) scheduleSubscribe() {
	if b.settings.PollDiscovery {
		at := b.subscription.Schedule(b.now, b.settings.PollWithin, b.rng.Float64())
		b.emit(SetTimer{At: at, Token: subscriptionToken})
	}
}

// retrySubscribe plans another Subscribe after one has failed or the subscription has ended.
func (b *Balancer) retrySubscribe() {
	b.subscription.Fail()
	b.scheduleSubscribe()
}

// subscribeIfDue sends the planned Subscribe.
func (b *Balancer) subscribeIfDue() {
	if b.subscription.TakeIfDue(b.now, b.settings.Tick) {
		b.emit(Subscribe{})
	}
}

// applySettings puts settings in force.
func (b *Balancer) applySettings(settings Settings) {
	b.settings = settings
	b.classes = newClassTable(settings.Classes, b.classes)
	b.admission.Configure(b.classes.priorities(&settings))
	b.endpoints.configure(&settings)
}

// reconfigure replaces the settings by new ones. Requests keep the class that they were accepted with, so
// what their clients were promised stays; the endpoints' health, slow start and counts do not depend on
// settings. The requests in the queue are looked at again.
func (b *Balancer) reconfigure(settings Settings) {
	if settings.Validate() != nil {
		return
	}
	settings.PollDiscovery = b.settings.PollDiscovery // the host subscribes, or not, as long as it runs
	b.applySettings(settings)
	b.endpoints.forgetClasses(b.classes.hasFailureRate)
	for _, req := range b.queue.all() {
		b.enqueue(req)
	}
	b.dispatchQueued()
}
