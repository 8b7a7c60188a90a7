// Package balancer decides where a load balancer sends each request, when it retries and when it gives up.
// It does no I/O: the host feeds events to a Balancer and carries out the actions that it returns.
//
// A Balancer belongs to one goroutine. Its only clock is the time given to Handle, which must never go back,
// and its only randomness is the seed given to New, so the same events always give the same actions.
// Balancers share nothing. Memory is held for each request until it is answered and its attempts have ended,
// and for each endpoint until it has left the list and its attempts have ended.
package balancer

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	settings   Settings
	rng        *rand.Rand
	now        time.Duration
	actions    []Action
	endpoints  map[string]*endpoint
	ready      endpointSet // the ready servers
	subset     subset
	requests   map[string]*request
	queue      []*request
	classes    map[string]*class
	classOrder []*class // every class in the order of the settings, then the unknown one

	badResults   badResults
	lastSuccess  time.Duration
	retries      retryBudget
	inFlight     inFlightCount
	admission    concurrencyLimit
	shedding     sheddingRate
	shuttingDown bool // the host ends
	slowStart    slowStart
	subscription subscription
}

// New returns a Balancer that knows no servers yet. The error names the setting at fault.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng:       rand.New(rand.NewPCG(seed, 0x51a7e)),
		endpoints: map[string]*endpoint{}, requests: map[string]*request{},
		badResults: badResults{firstBadShare}, retries: newRetryBudget(),
	}
	b.applySettings(set)
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
		b.subscription.failures++
		b.scheduleSubscribe()
	case Request:
		b.accept(e)
	case AttemptEnded:
		b.endAttempt(e)
	case StreamStarted:
		if req := b.requests[e.ID]; req != nil {
			req.streaming = true
		}
	case ClientGone:
		if req := b.requests[e.ID]; req != nil {
			b.finish(req)
		}
	case Shutdown:
		b.shuttingDown = true
		for _, req := range b.unanswered() {
			b.answer(req)
		}
	case Reconfigure:
		b.reconfigure(e.Settings)
	case Timer:
		b.handleTimer(e)
	}
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) handleTimer(e Timer) {
	if e.Token == subscriptionToken {
		if b.subscription.due(b.now, b.settings.Tick) {
			b.emit(Subscribe{})
		}
		return
	}
	// A host may round a time down, so a timer can come a hair early: nothing relies on its being
	// late enough, and a review that finds nothing due yet asks for another.
	if req := b.requests[strings.TrimPrefix(e.Token, "r:")]; req != nil {
		if b.now+b.settings.Tick >= req.timerAt {
			req.timerAt = 0
		}
		if req.queued {
			b.enqueue(req)
			b.dispatchQueued()
		}
	}
}
