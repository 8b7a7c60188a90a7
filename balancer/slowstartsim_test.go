package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// warmingFleet describes a fleet of replicas in simulated time. Some of its servers are replaced by ones that
// are warming up. All servers are alike: each has cores that serve one attempt at a time, a queue for them,
// and a speed that grows from SlowStartFloor to 1 over SlowStartDuration, which is the slowest growth that
// the settings allow. Some replicas get several times the mean number of requests. The work of a request is
// 0.5 to 1.5 times the mean.
type warmingFleet struct {
	replicas, servers, warming int
	cores, capacity            int           // of a server: attempts served at a time, and held at most
	work                       time.Duration // mean work of a request
	load                       float64       // offered load, as a share of the warm servers' capacity
	settings                   Settings
	workHints                  bool // requests carry their expected work
	freshReplicas              bool // the replicas start at the time of the replacement
	failing                    int  // number of warm servers that fail all attempts after the replacement
	seed                       uint64
}

// replacedAt is the time at which servers of a warmingFleet are replaced.
const replacedAt = 8 * time.Second

// warmingResult holds the measurements of a simulated warmingFleet. "Server" means one of those that are
// warming up.
type warmingResult struct {
	overloaded      int     // servers that exceeded their limit
	maxLimitShare   float64 // most work that a server received in a window, as a share of its limit
	workShare       float64 // work received in the first half of the warm-up, relative to the capacity
	served, offered int     // number of requests after the replacement
}

// warmingServer is a simulated server, whether or not it is warming up.
type warmingServer struct {
	Endpoint
	busyCores int
	queue     []func()
	received  []receivedWork // while it is warming up
	down      bool           // it was overloaded while warming up, and failed permanently
	replaced  bool           // it is replaced by one that is warming up
}

// receivedWork is the work of an attempt at a server.
type receivedWork struct {
	at   time.Duration
	work float64 // relative to the mean
}

// capacityShareAt returns the share of its full capacity that a server has at a time.
func capacityShareAt(settings Settings, startedAt, now time.Duration) float64 {
	if startedAt == 0 {
		return 1
	}
	return min(1,
		settings.SlowStartFloor+
			(1-settings.SlowStartFloor)*float64(now-startedAt)/float64(settings.SlowStartDuration))
}

// overloadLimit returns the work that a server may receive in a window that starts at a time, in requests of
// mean work. It allows for random variation by two or three standard deviations.
func (f warmingFleet) overloadLimit(startedAt, now time.Duration) float64 {
	perSecond := float64(f.cores) / f.work.Seconds()
	n := f.settings.OverloadMultiple * perSecond * capacityShareAt(f.settings, startedAt, now) *
		f.settings.OverloadWindow.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// fails reports whether the warm server with this ID fails after the replacement.
func (f warmingFleet) fails(id string) bool {
	var index int
	fmt.Sscanf(id[1:], "%d", &index)
	return index >= f.servers-f.failing
}

// warmingRun is the state of a simulated warmingFleet.
type warmingRun struct {
	warmingFleet
	simulation
	t   testing.TB
	rng *rand.Rand
	// chooseServer returns the index of the server of each attempt. nil: the Balancers choose.
	chooseServer func() int
	balancers    []*Balancer
	weights      []float64 // relative rates of the balancers' requests
	weightSum    float64
	backends     map[string]*warmingServer // by endpoint ID
	requests     map[string]*warmingRequest
	arrivalsEnd  time.Duration
	// warmingWork is the work received in the first half of the warm-up by the servers that are warming up.
	// proportionalWork is what they would have received in proportion to their capacity.
	warmingWork, proportionalWork float64
	result                        warmingResult
}

// warmingRequest is a request with its attempts.
type warmingRequest struct {
	Request
	work     float64 // relative to the mean
	attempts []*warmingAttempt
}

// warmingAttempt is an attempt of a request at a server.
type warmingAttempt struct {
	balancer         *Balancer // nil if chooseServer is set
	request          *warmingRequest
	number           int
	server           *warmingServer
	sent, deadline   time.Duration
	cancelled, ended bool
}

// play simulates the fleet: some seconds with all servers warm, then the replacement, until all are warm
// again. chooseServer, if not nil, replaces the Balancers: it returns the index of the server of each
// attempt.
func (f warmingFleet) play(t testing.TB, chooseServer func() int) warmingResult {
	r := &warmingRun{
		warmingFleet: f, t: t, rng: rand.New(rand.NewPCG(f.seed, 77)), chooseServer: chooseServer,
		backends: map[string]*warmingServer{}, requests: map[string]*warmingRequest{},
		arrivalsEnd: replacedAt + f.settings.SlowStartDuration + 2*time.Second,
	}
	r.start()
	r.scheduleArrival()
	if !r.freshReplicas {
		r.after(replacedAt-r.now, func() { r.deliverList(true) })
	}
	r.runUntil(r.arrivalsEnd + r.settings.Classes[0].Deadline)
	r.result.workShare = r.warmingWork / max(1e-9, r.proportionalWork)
	return r.result
}

// start starts the replicas.
func (r *warmingRun) start() {
	for range r.replicas {
		weight := 0.2 + r.rng.ExpFloat64() // some get several times the mean
		r.weights = append(r.weights, weight)
		r.weightSum += weight
	}
	for i := range r.replicas {
		settings := r.settings
		settings.Replicas, settings.ReplicaIndex = r.replicas, i
		b, err := New(settings, r.seed<<16+uint64(i))
		if err != nil {
			r.t.Fatal(err)
		}
		r.balancers = append(r.balancers, b)
	}
	if r.freshReplicas {
		r.now = replacedAt
	}
	r.deliverList(r.freshReplicas)
}

// deliverList delivers the list before or after the replacement to all replicas.
func (r *warmingRun) deliverList(replaced bool) {
	for _, b := range r.balancers {
		r.deliver(b, EndpointUpdate{Complete: true, Endpoints: r.list(replaced)})
	}
}

// list returns the list before or after the replacement, and adds servers that are new in it.
func (r *warmingRun) list(replaced bool) (list []Endpoint) {
	for i := range r.servers {
		s := Endpoint{ID: fmt.Sprintf("s%03d", i), Zone: "z", Capacity: 1}
		if replaced && i < r.warming {
			s.ID, s.StartedAt = fmt.Sprintf("t%03d", i), replacedAt // sorts after the old ones
		}
		if r.backends[s.ID] == nil {
			r.backends[s.ID] = &warmingServer{Endpoint: s, replaced: s.StartedAt == 0 && i < r.warming}
		}
		list = append(list, s)
	}
	return list
}

// scheduleArrival schedules the next request, whose arrival schedules the one after it.
func (r *warmingRun) scheduleArrival() {
	rate := r.load * float64(r.servers*r.cores) / r.work.Seconds()
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now < r.arrivalsEnd {
			r.arrive()
			r.scheduleArrival()
		}
	})
}

// arrive delivers a new request to a replica, or sends it to the server that chooseServer returns.
func (r *warmingRun) arrive() {
	work, class := 0.5+r.rng.Float64(), r.settings.Classes[0]
	request := &warmingRequest{
		Request: Request{ID: fmt.Sprint(len(r.requests) + 1), Class: class.Name, Deadline: r.now + class.Deadline},
		work:    work,
	}
	if r.workHints {
		request.ExpectedWork = time.Duration(work * float64(r.work))
	}
	if r.now >= replacedAt {
		r.result.offered++
	}
	r.requests[request.ID] = request
	if r.chooseServer != nil {
		r.send(nil, request, r.list(r.now >= replacedAt)[r.chooseServer()].ID, request.Deadline)
		return
	}
	draw, i := r.rng.Float64()*r.weightSum, 0
	for ; draw >= r.weights[i]; i++ {
		draw -= r.weights[i]
	}
	r.deliver(r.balancers[i], request.Request)
}

// deliver passes an event to a replica's Balancer and carries out its actions.
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

// send starts an attempt at a server.
func (r *warmingRun) send(b *Balancer, request *warmingRequest, id string, deadline time.Duration) {
	s := r.backends[id]
	a := &warmingAttempt{
		balancer: b, request: request, number: len(request.attempts), server: s, sent: r.now, deadline: deadline,
	}
	request.attempts = append(request.attempts, a)
	r.recordWarmingWork(s, request.work)
	r.recordReceivedWork(s, request.work)
	switch {
	case s.down:
		r.after(time.Millisecond, func() { r.endAttempt(a, ConnectFailed) })
	case r.now >= replacedAt && s.StartedAt == 0 && r.fails(s.ID):
		r.after(2*time.Millisecond, func() { r.endAttempt(a, ServerError) })
	case s.busyCores+len(s.queue) >= r.capacity:
		r.after(2*time.Millisecond, func() { r.endAttempt(a, Rejected) })
	default:
		if s.busyCores < r.cores {
			r.serve(a)
		} else {
			s.queue = append(s.queue, func() { r.serveQueued(a) })
		}
		r.after(deadline-r.now, func() { r.endAttempt(a, TimedOut) })
	}
}

// recordWarmingWork adds an attempt in the first half of the warm-up to the work of the servers that are
// warming up, and to the work in proportion to their capacity.
func (r *warmingRun) recordWarmingWork(s *warmingServer, work float64) {
	if r.now < replacedAt || r.now >= replacedAt+r.settings.SlowStartDuration/2 {
		return
	}
	warm, warming := 0.0, 0.0
	for _, server := range r.backends {
		share := capacityShareAt(r.settings, server.StartedAt, r.now)
		if server.StartedAt > 0 {
			warming += share
		} else if !server.replaced {
			warm += share
		}
	}
	r.proportionalWork += work * warming / max(1e-9, warming+warm)
	if s.StartedAt > 0 {
		r.warmingWork += work
	}
}

// recordReceivedWork records the work that a server receives while it is warming up. The server goes down if
// that exceeds its limit.
func (r *warmingRun) recordReceivedWork(s *warmingServer, work float64) {
	if s.StartedAt == 0 || r.now >= s.StartedAt+r.settings.SlowStartDuration || s.down {
		return
	}
	s.received = append(s.received, receivedWork{r.now, work})
	sum := 0.0
	for i := len(s.received) - 1; i >= 0 && s.received[i].at > r.now-r.settings.OverloadWindow; i-- {
		sum += s.received[i].work
	}
	limit := r.overloadLimit(s.StartedAt, max(s.StartedAt, r.now-r.settings.OverloadWindow))
	r.result.maxLimitShare = max(r.result.maxLimitShare, sum/limit)
	if sum > limit {
		s.down = true
		r.result.overloaded++
	}
}

// serve serves an attempt on a free core, and then the next one in the queue.
func (r *warmingRun) serve(a *warmingAttempt) {
	s := a.server
	serviceTime := time.Duration(
		a.request.work * float64(r.work) / capacityShareAt(r.settings, s.StartedAt, r.now))
	s.busyCores++
	r.after(serviceTime, func() {
		s.busyCores--
		r.serveNext(s)
		r.endAttempt(a, Success)
	})
}

// serveQueued serves an attempt from the queue, or the next one if this one has ended.
func (r *warmingRun) serveQueued(a *warmingAttempt) {
	if a.cancelled || a.ended {
		r.serveNext(a.server)
		return
	}
	r.serve(a)
}

// serveNext serves the first attempt in the queue.
func (r *warmingRun) serveNext(s *warmingServer) {
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// endAttempt ends an attempt unless it has ended already, and notifies the Balancer that sent it, if any.
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
