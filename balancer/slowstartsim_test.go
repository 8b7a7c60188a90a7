package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// warmingFleet is a fleet of replicas in simulated time whose servers are partly replaced by ones that warm
// up. Servers are alike: cores that each serve one call at a time, a queue before them, and a speed that
// grows from SlowStartFloor to 1 over SlowStartDuration, as slowly as the settings allow. Some replicas get
// several times the mean of the requests, whose work is 0.5 to 1.5 times the mean.
type warmingFleet struct {
	replicas, servers, warming int
	cores, capacity            int           // of a server: calls in work, and calls that it holds at most
	work                       time.Duration // of a call on average
	load                       float64       // of the capacity of the servers, all of them warm
	set                        Settings
	hints                      bool // requests carry their expected work
	fresh                      bool // the replicas start with the warming servers, and have seen nothing before
	failing                    int  // warm servers that fail all from the replacement on
	seed                       uint64
}

// replacedAt is when servers of a warmingFleet are replaced.
const replacedAt = 8 * time.Second

// warmingResult tells what became of a warmingFleet. Worst is the most work that came to a warming server in
// a window, as a part of its limit. Share is the part of the work that went to warming servers in the first
// half of the warm-up, as a part of their share of the capacity then.
type warmingResult struct {
	overloaded    int // warming servers that got more than they may
	worst, share  float64
	served, asked int // from the replacement on
}

type warmingServer struct {
	Endpoint
	busy     int
	queue    []func()
	received []receivedWork // while warming
	down     bool
	replaced bool // by a warming one
}

type receivedWork struct {
	at   time.Duration
	work float64 // of the mean
}

// warmthAt is the share of its capacity that a server that started at boot has.
func warmthAt(set Settings, boot, now time.Duration) float64 {
	if boot == 0 {
		return 1
	}
	return min(1, set.SlowStartFloor+(1-set.SlowStartFloor)*float64(now-boot)/float64(set.SlowStartDuration))
}

// overloadLimit is what a server that started at boot may get in a window from now on, in calls of mean work.
func (f warmingFleet) overloadLimit(boot, now time.Duration) float64 {
	perSecond := float64(f.cores) / f.work.Seconds()
	n := f.set.OverloadMultiple * perSecond * warmthAt(f.set, boot, now) * f.set.OverloadWindow.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// fails says that a server is one of the warm ones that fail.
func (f warmingFleet) fails(id string) bool {
	var i int
	fmt.Sscanf(id[1:], "%d", &i)
	return i >= f.servers-f.failing
}

// warmingRun is the state of a run.
type warmingRun struct {
	warmingFleet
	simulation
	t   testing.TB
	rng *rand.Rand
	// The number of the server of each call in the modules' stead; nil: the modules decide
	place     func() int
	balancers []*Balancer
	weights   []float64 // of the balancers' traffic
	weightSum float64
	backends  map[string]*warmingServer
	requests  map[string]*warmingRequest
	end       time.Duration // of the arrivals
	// What warming servers got, and their part of the capacity, in the first half of the warm-up
	warmingWork, due float64
	result           warmingResult
}

type warmingRequest struct {
	Request
	work     float64 // of the mean
	attempts []*warmingAttempt
}

type warmingAttempt struct {
	balancer         *Balancer
	request          *warmingRequest
	number           int
	server           *warmingServer
	sent, deadline   time.Duration
	cancelled, ended bool
}

// play runs the fleet: some seconds with all servers warm, then the replacement, until all are warm again.
// place, if not nil, is asked for the number of the server of each call in the modules' stead.
func (f warmingFleet) play(t testing.TB, place func() int) warmingResult {
	r := &warmingRun{
		warmingFleet: f, t: t, rng: rand.New(rand.NewPCG(f.seed, 77)), place: place,
		backends: map[string]*warmingServer{}, requests: map[string]*warmingRequest{},
		end: replacedAt + f.set.SlowStartDuration + 2*time.Second,
	}
	r.start()
	r.nextArrival()
	if !r.fresh {
		r.after(replacedAt-r.now, func() { r.deliverList(true) })
	}
	r.runUntil(r.end + r.set.Classes[0].Deadline)
	r.result.share = r.warmingWork / max(1e-9, r.due)
	return r.result
}

// start has the replicas begin.
func (r *warmingRun) start() {
	for range r.replicas {
		weight := 0.2 + r.rng.ExpFloat64() // some get several times the mean
		r.weights = append(r.weights, weight)
		r.weightSum += weight
	}
	for i := range r.replicas {
		set := r.set
		set.Replicas, set.ReplicaIndex = r.replicas, i
		b, err := New(set, r.seed<<16+uint64(i))
		if err != nil {
			r.t.Fatal(err)
		}
		r.balancers = append(r.balancers, b)
	}
	if r.fresh {
		r.now = replacedAt
	}
	r.deliverList(r.fresh)
}

// deliverList gives all replicas the list before or after the replacement.
func (r *warmingRun) deliverList(replaced bool) {
	for _, b := range r.balancers {
		r.deliver(b, EndpointUpdate{Complete: true, Endpoints: r.list(replaced)})
	}
}

func (r *warmingRun) list(replaced bool) (list []Endpoint) {
	for i := range r.servers {
		s := Endpoint{ID: fmt.Sprintf("s%03d", i), Zone: "z", Capacity: 1}
		if replaced && i < r.warming {
			s.ID, s.StartedAt = fmt.Sprintf("t%03d", i), replacedAt // sorted apart from the old ones
		}
		if r.backends[s.ID] == nil {
			r.backends[s.ID] = &warmingServer{Endpoint: s, replaced: s.StartedAt == 0 && i < r.warming}
		}
		list = append(list, s)
	}
	return list
}

// nextArrival plans the next request, which plans the one after it.
func (r *warmingRun) nextArrival() {
	rate := r.load * float64(r.servers*r.cores) / r.work.Seconds()
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now < r.end {
			r.arrive()
			r.nextArrival()
		}
	})
}

func (r *warmingRun) arrive() {
	work, class := 0.5+r.rng.Float64(), r.set.Classes[0]
	request := &warmingRequest{
		Request: Request{ID: fmt.Sprint(len(r.requests) + 1), Class: class.Name, Deadline: r.now + class.Deadline},
		work:    work,
	}
	if r.hints {
		request.ExpectedWork = time.Duration(work * float64(r.work))
	}
	if r.now >= replacedAt {
		r.result.asked++
	}
	r.requests[request.ID] = request
	if r.place != nil {
		r.send(nil, request, r.list(r.now >= replacedAt)[r.place()].ID, request.Deadline)
		return
	}
	at, i := r.rng.Float64()*r.weightSum, 0
	for ; at >= r.weights[i]; i++ {
		at -= r.weights[i]
	}
	r.deliver(r.balancers[i], request.Request)
}

// deliver hands an event to a replica's module and carries out its actions.
func (r *warmingRun) deliver(b *Balancer, e Event) {
	for _, a := range b.Handle(r.now, e) {
		switch a := a.(type) {
		case Send:
			request := r.requests[a.ID]
			r.send(b, request, a.Endpoint, min(request.Deadline, r.now+a.Timeout))
		case Cancel:
			if attempts := r.requests[a.ID].attempts; a.Attempt < len(attempts) {
				attempts[a.Attempt].cancelled = true
				r.after(0, func() {
					r.deliver(b, AttemptEnded{ID: a.ID, Attempt: a.Attempt, Result: Cancelled, Answered: true})
				})
			}
		case SetTimer:
			r.after(a.At-r.now, func() { r.deliver(b, Timer{Token: a.Token}) })
		}
	}
}

// send begins an attempt at a server.
func (r *warmingRun) send(b *Balancer, request *warmingRequest, id string, deadline time.Duration) {
	s := r.backends[id]
	a := &warmingAttempt{
		balancer: b, request: request, number: len(request.attempts), server: s, sent: r.now, deadline: deadline,
	}
	request.attempts = append(request.attempts, a)
	r.countShare(s, request.work)
	r.countReceived(s, request.work)
	switch {
	case s.down:
		r.after(time.Millisecond, func() { r.endAttempt(a, ConnectFailed) })
	case r.now >= replacedAt && s.StartedAt == 0 && r.fails(s.ID):
		r.after(2*time.Millisecond, func() { r.endAttempt(a, ServerError) })
	case s.busy+len(s.queue) >= r.capacity:
		r.after(2*time.Millisecond, func() { r.endAttempt(a, Rejected) })
	default:
		if s.busy < r.cores {
			r.serve(a)
		} else {
			s.queue = append(s.queue, func() { r.serveQueued(a) })
		}
		r.after(deadline-r.now, func() { r.endAttempt(a, TimedOut) })
	}
}

// countShare notes what goes to warming servers, and their part of the capacity, in the first half of the
// warm-up.
func (r *warmingRun) countShare(s *warmingServer, work float64) {
	if r.now < replacedAt || r.now >= replacedAt+r.set.SlowStartDuration/2 {
		return
	}
	warm, warming := 0.0, 0.0
	for _, o := range r.backends {
		w := warmthAt(r.set, o.StartedAt, r.now)
		if o.StartedAt > 0 {
			warming += w
		} else if !o.replaced {
			warm += w
		}
	}
	r.due += work * warming / max(1e-9, warming+warm)
	if s.StartedAt > 0 {
		r.warmingWork += work
	}
}

// countReceived notes what a server gets while it is warming, and has it go down when that is too much.
func (r *warmingRun) countReceived(s *warmingServer, work float64) {
	if s.StartedAt == 0 || r.now >= s.StartedAt+r.set.SlowStartDuration || s.down {
		return
	}
	s.received = append(s.received, receivedWork{r.now, work})
	sum := 0.0
	for i := len(s.received) - 1; i >= 0 && s.received[i].at > r.now-r.set.OverloadWindow; i-- {
		sum += s.received[i].work
	}
	limit := r.overloadLimit(s.StartedAt, max(s.StartedAt, r.now-r.set.OverloadWindow))
	r.result.worst = max(r.result.worst, sum/limit)
	if sum > limit {
		s.down = true
		r.result.overloaded++
	}
}

// serve has a core work on an attempt, and then on the next one that waits.
func (r *warmingRun) serve(a *warmingAttempt) {
	s := a.server
	took := time.Duration(a.request.work * float64(r.work) / warmthAt(r.set, s.StartedAt, r.now))
	s.busy++
	r.after(took, func() {
		s.busy--
		r.serveNext(s)
		r.endAttempt(a, Success)
	})
}

// serveQueued has a core take an attempt from the queue, or the next one if this one is over.
func (r *warmingRun) serveQueued(a *warmingAttempt) {
	if a.cancelled || a.ended {
		r.serveNext(a.server)
		return
	}
	r.serve(a)
}

func (r *warmingRun) serveNext(s *warmingServer) {
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// endAttempt ends an attempt once, and notifies its module, if it has one.
func (r *warmingRun) endAttempt(a *warmingAttempt, result AttemptResult) {
	if a.ended {
		return
	}
	a.ended = true
	if result == Success && a.sent >= replacedAt {
		r.result.served++
	}
	if a.balancer != nil {
		r.deliver(a.balancer, AttemptEnded{
			ID: a.request.ID, Attempt: a.number, Endpoint: a.server.ID, Result: result,
			Latency: r.now - a.sent, Answered: result == Success,
		})
	}
}
