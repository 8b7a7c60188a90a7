package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"basaltdrum/internal/servermodel"
)

// outage describes a fleet of replicas in the first tier, simulated in virtual time. Some of its servers
// become slow, some are replaced by ones that are warming up, and then most replicas are killed at once and
// restart without state, while the servers still work on the requests sent before.
type outage struct {
	replicas, servers int
	model             servermodel.Settings
	work              time.Duration // mean work of a request at its server
	lowerTierWait     float64       // wait in the tiers below, in seconds per second of work
	load              float64       // offered load, as a share of the capacity of the servers' cores
	settings          Settings
	seed              uint64
}

// run simulates the outage.
func (o outage) run(t testing.TB) outageResult {
	seconds := int(requestsEnd / time.Second)
	r := &outageRun{
		outage: o, t: t, rng: rand.New(rand.NewPCG(o.seed, 99)), backends: map[string]*outageServer{},
		requests: map[string]*outageRequest{}, attempts: map[int]outageAttempt{},
		result: outageResult{make([]float64, seconds), make([]float64, seconds)},
	}
	for i := range o.servers {
		model := o.model
		model.Speed *= math.Exp(speedSpread * r.rng.NormFloat64())
		r.addServer(i, fmt.Sprintf("s%03d", i), servermodel.New(model, 0, false))
	}
	for i := range o.replicas {
		r.fleet = append(r.fleet, &outageReplica{index: i, weight: 0.4 + 0.6*r.rng.ExpFloat64()})
		r.start(r.fleet[i])
	}
	r.scheduleArrivals()
	r.after(faultStart, r.slowDown)
	r.after(replaceAt, r.replace)
	killed := r.fleet[:int(killedShare*float64(o.replicas))]
	r.after(killAt, func() {
		for _, replica := range killed {
			replica.running = false
			replica.instance++
		}
	})
	r.after(restartAt, func() {
		for _, replica := range killed {
			r.start(replica)
		}
	})
	r.runUntil(simulationEnd - 1)
	return r.result
}

// Times and magnitudes of an outage.
const (
	faultStart       = 8 * time.Second  // some servers and the tiers below become slow
	replaceAt        = 10500 * msec     // some servers are replaced by ones that are warming up
	killAt           = 12 * time.Second // most replicas are killed
	restartAt        = 13500 * msec     // the killed replicas restart
	faultEnd         = 15 * time.Second // servers and the tiers below have their usual speed again
	recoveryDeadline = 16 * time.Second // from then on the fleet should serve as much as before
	requestsEnd      = 25 * time.Second // last arrivals
	simulationEnd    = requestsEnd + 5*time.Second

	killedShare       = 0.7  // of the replicas
	slowShare         = 0.12 // share of the servers that become slow
	slowdownFactor    = 6.0  // of the slow servers
	lowerTierSlowdown = 1.8  // factor on the wait in the tiers below
	replacedShare     = 0.15 // of the servers
	burstLength       = 100 * msec
	burstSpread       = 0.4  // standard deviation of a burst's load, as a share of the mean load
	speedSpread       = 0.15 // standard deviation of the logarithm of the servers' speeds
)

// outageResult holds the priority weight offered and the priority weight earned by responses, for each second
// of arrival.
type outageResult struct{ offered, served []float64 }

// servedShare returns the share of the offered priority weight that was served, for the requests that arrived
// between two times.
func (r outageResult) servedShare(from, to time.Duration) float64 {
	offered, served := 0.0, 0.0
	for i := int(from / time.Second); i < int(to/time.Second); i++ {
		offered += r.offered[i]
		served += r.served[i]
	}
	return served / offered
}

// outageRun is the state of a simulated outage.
type outageRun struct {
	outage
	t   testing.TB
	rng *rand.Rand
	simulation
	lastCallID int
	list       []Endpoint
	backends   map[string]*outageServer // by endpoint ID
	fleet      []*outageReplica
	requests   map[string]*outageRequest
	attempts   map[int]outageAttempt // by the call ID at the server
	result     outageResult
}

// addServer puts a server in the list at an index, replacing the one that is there.
func (r *outageRun) addServer(index int, id string, model *servermodel.Server) {
	r.backends[id] = &outageServer{id: id, model: model, slowdown: 1}
	entry := Endpoint{ID: id, Zone: "z", Cell: index % 8, StartedAt: r.now}
	if index < len(r.list) {
		r.list[index] = entry
	} else {
		r.list = append(r.list, entry)
	}
}

// start starts a new instance of a replica.
func (r *outageRun) start(replica *outageReplica) {
	settings := r.settings
	settings.Replicas, settings.ReplicaIndex = r.replicas, replica.index
	b, err := New(settings, r.seed<<20+uint64(replica.instance)<<12+uint64(replica.index))
	if err != nil {
		r.t.Fatal(err)
	}
	replica.balancer, replica.running = b, true
	r.deliver(replica, EndpointUpdate{Complete: true, Endpoints: r.list})
}

// slowDown makes some servers slow.
func (r *outageRun) slowDown() {
	for i := range int(slowShare * float64(r.servers)) {
		r.backends[r.list[i*7%len(r.list)].ID].slowdown = slowdownFactor
	}
}

// replace replaces some servers by ones that are warming up.
func (r *outageRun) replace() {
	for i := range int(replacedShare * float64(r.servers)) {
		r.addServer((i*5+1)%len(r.list), fmt.Sprintf("t%03d", i), servermodel.New(r.model, r.now, true))
	}
	for _, replica := range r.fleet {
		r.deliver(replica, EndpointUpdate{Complete: true, Endpoints: r.list})
	}
}

// scheduleArrivals schedules the requests: a Poisson process whose rate differs from burst to burst.
func (r *outageRun) scheduleArrivals() {
	rate := r.load * float64(r.servers*r.model.Cores) * r.model.Speed / r.work.Seconds()
	totalWeight, meanObjective := 0.0, time.Duration(0)
	for _, replica := range r.fleet {
		totalWeight += replica.weight
	}
	for _, c := range r.settings.Classes {
		meanObjective += c.LatencyObjective / time.Duration(len(r.settings.Classes))
	}
	burst, until, at := 1.0, time.Duration(0), time.Duration(0)
	for count := 0; ; count++ {
		if at >= until {
			until = at + burstLength
			burst = max(0.2, 1+burstSpread*r.rng.NormFloat64())
		}
		at += time.Duration(r.rng.ExpFloat64() / rate / burst * float64(time.Second))
		if at >= requestsEnd {
			return
		}
		class := r.settings.Classes[r.rng.IntN(len(r.settings.Classes))]
		// Lognormal with a coefficient of variation of 1.3, and a mean proportional to the latency objective
		// of the class.
		mean := r.work.Seconds() * float64(class.LatencyObjective) / float64(meanObjective)
		work := time.Duration(mean * math.Exp(r.rng.NormFloat64()-0.5) * float64(time.Second))
		draw, index := r.rng.Float64()*totalWeight, 0
		for ; index < r.replicas-1 && draw >= r.fleet[index].weight; index++ {
			draw -= r.fleet[index].weight
		}
		id := fmt.Sprintf("r%06d", count)
		r.after(at, func() { r.arrive(r.fleet[index], id, class, work) })
	}
}

// arrive delivers a request to a replica.
func (r *outageRun) arrive(replica *outageReplica, id string, class Class, work time.Duration) {
	r.result.offered[r.now/time.Second] += class.PriorityWeight
	if !replica.running {
		return // its client can't connect
	}
	r.requests[id] = &outageRequest{
		class: class, at: r.now, work: work, replica: replica, instance: replica.instance,
	}
	r.deliver(replica, Request{ID: id, Class: class.Name, Deadline: r.now + class.Deadline})
}

// deliver passes an event to a replica's Balancer and carries out its actions.
func (r *outageRun) deliver(replica *outageReplica, e Event) {
	for _, a := range replica.balancer.Handle(r.now, e) {
		switch a := a.(type) {
		case Send:
			r.send(a)
		case Cancel: // the server continues to work on the attempt
			attempt := outageAttempt{request: a.ID, number: a.Attempt, sent: r.now}
			r.after(0, func() { r.end(attempt, Cancelled) })
		case Reject:
			r.requests[a.ID].answered = true
		case Fail:
			r.requests[a.ID].answered = true
		case SetTimer:
			instance := replica.instance
			r.after(a.At-r.now, func() {
				if replica.running && replica.instance == instance {
					r.deliver(replica, Timer{Token: a.Token})
				}
			})
		}
	}
}

// send starts an attempt at its server.
func (r *outageRun) send(a Send) {
	request, s := r.requests[a.ID], r.backends[a.Endpoint]
	attempt := outageAttempt{a.ID, len(request.ended), a.Endpoint, r.now}
	request.ended = append(request.ended, false)
	work, wait := float64(request.work), r.lowerTierWait
	if r.now >= faultStart && r.now < faultEnd {
		work *= s.slowdown
		wait *= lowerTierSlowdown
	}
	r.lastCallID++
	id := r.lastCallID
	r.complete(s)
	offered := servermodel.Call{
		ID: id, Work: time.Duration(work), OffCPU: time.Duration(float64(request.work) * wait),
	}
	if !s.model.Offer(r.now, offered) {
		r.after(msec, func() { r.end(attempt, Rejected) })
		return
	}
	r.attempts[id] = attempt
	r.scheduleCompletion(s)
	r.after(a.Timeout, func() { r.end(attempt, TimedOut) })
}

// complete ends the attempts that a server has completed, and schedules its next completion.
func (r *outageRun) complete(s *outageServer) {
	for _, id := range s.model.Complete(r.now) {
		attempt := r.attempts[id]
		delete(r.attempts, id)
		r.end(attempt, Success)
	}
	r.scheduleCompletion(s)
}

// scheduleCompletion schedules the next completion of a server in place of the one scheduled before.
func (r *outageRun) scheduleCompletion(s *outageServer) {
	s.version++
	version := s.version
	if at, found := s.model.NextCompletion(); found {
		r.after(at-r.now, func() {
			if s.version == version {
				r.complete(s)
			}
		})
	}
}

// end ends an attempt, unless the instance of the replica that sent it has been killed.
func (r *outageRun) end(attempt outageAttempt, result AttemptResult) {
	request := r.requests[attempt.request]
	if request.ended[attempt.number] || !request.replica.running ||
		request.replica.instance != request.instance {
		return
	}
	request.ended[attempt.number] = true
	if result == Success && !request.answered {
		request.answered = true
		switch latency := r.now - request.at; {
		case latency <= request.class.LatencyObjective:
			r.result.served[request.at/time.Second] += request.class.PriorityWeight
		case latency <= request.class.Deadline:
			r.result.served[request.at/time.Second] += request.class.PriorityWeight * request.class.LateValue
		}
	}
	r.deliver(request.replica, AttemptEnded{
		ID: attempt.request, Attempt: attempt.number, Endpoint: attempt.endpoint, Result: result,
		Latency: r.now - attempt.sent, Answered: request.answered,
	})
}

// outageServer is a simulated server.
type outageServer struct {
	id       string
	model    *servermodel.Server
	slowdown float64 // factor on the work of its requests during the fault
	version  int     // of the scheduled completion: callbacks of earlier versions do nothing
}

// outageReplica is a simulated replica.
type outageReplica struct {
	index    int
	balancer *Balancer
	weight   float64 // relative rate of its requests
	instance int     // incremented when the replica is killed
	running  bool
}

// outageRequest is a request, with the instance of the replica that accepted it.
type outageRequest struct {
	class    Class
	at       time.Duration // time of arrival
	work     time.Duration
	replica  *outageReplica
	instance int
	ended    []bool // by attempt number
	answered bool
}

// outageAttempt is an attempt.
type outageAttempt struct {
	request  string
	number   int
	endpoint string
	sent     time.Duration
}
