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
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	out      []Action
	servers  map[string]*server
	ready    endpointSet // the ready servers
	whole    groups      // the two groups of the design
	pool     groups      // the part of each that this node draws from
	width    int         // servers in the pool
	busy     float64     // calls in flight, averaged over sends
	requests map[string]*request
	held     []*request
	classes  map[string]*class
	order    []*class // every class in the order of the settings, then the unknown one

	errors       float64 // share of bad endings, overlong answers among them, of all attempts
	lastOK       time.Duration
	effort       float64       // hinted on average, in ns
	hints        float64       // heard so far
	tokens       float64       // retry budget
	window       float64       // own calls admitted at once (first tier)
	opening      bool          // the window grows quickly: nothing has told yet that servers are crowded
	crowding     float64       // answers against their targets on average
	nextCut      time.Duration // when the window may next be cut for a full server
	inFlight     int
	shed         float64          // share of requests answered without an attempt
	closing      bool             // the host ends
	warmCapacity capacityEstimate // of warm servers
	coldCapacity capacityEstimate // and cold ones
	creditGrowth creditGrowth     // at which credit grows
	interval     time.Duration    // between requests on average
	asked        time.Duration    // when the last one came
	subFails     int
	subWanted    time.Duration
}

// New returns a Balancer that knows no servers yet. The error names the setting at fault.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng:     rand.New(rand.NewPCG(seed, 0x51a7e)),
		servers: map[string]*server{}, requests: map[string]*request{},
		errors: 0.02, tokens: retryBudget / 2,
	}
	b.take(set)
	return b, nil
}

// Handle takes one event at the clock time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.out = nil
	switch e := e.(type) {
	case EndpointUpdate:
		b.takeList(e)
	case SubscriptionFailed:
		b.subFails++
		b.askAgain()
	case Request:
		b.accept(e)
	case AttemptEnded:
		b.takeOutcome(e)
	case StreamStarted:
		if r := b.requests[e.ID]; r != nil {
			r.streaming = true
		}
	case ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.close(r)
		}
	case Shutdown:
		b.closing = true
		for _, r := range b.unanswered() {
			b.answer(r)
		}
	case Reconfigure:
		b.reconfigure(e.Settings)
	case Timer:
		b.takeTimer(e)
	}
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) takeTimer(e Timer) {
	if e.Token == "list" {
		if b.subWanted > 0 && b.now+b.set.Tick >= b.subWanted {
			b.subWanted = 0
			b.do(Subscribe{})
		}
		return
	}
	// A host may round a time down, so a timer can come a hair early: nothing relies on its being
	// late enough, and a review that finds nothing due yet asks for another.
	if r := b.requests[strings.TrimPrefix(e.Token, "r:")]; r != nil {
		if b.now+b.set.Tick >= r.wake {
			r.wake = 0
		}
		if r.held {
			b.hold(r)
			b.release()
		}
	}
}
