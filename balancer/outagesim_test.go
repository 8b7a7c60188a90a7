package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"basaltdrum/internal/servermodel"
)

// outage is a fleet of first-tier nodes in simulated time. Some of its servers become slow, a part of them is
// replaced by warming ones, and then most nodes are killed together and come back without state, while the
// servers still work on what was sent before.
type outage struct {
	nodes, servers int
	model          servermodel.Settings
	work           time.Duration // of a request at its server, on average
	elsewhere      float64       // wait in the tiers below, for each second of work
	load           float64       // of what the servers' cores can do
	set            Settings
	seed           uint64
}

func (o outage) run(t testing.TB) outageResult {
	seconds := int(outageEnd / time.Second)
	r := &outageRun{
		outage: o, t: t, rng: rand.New(rand.NewPCG(o.seed, 99)), backends: map[string]*outageServer{},
		requests: map[string]*outageRequest{}, calls: map[int]outageCall{},
		result: outageResult{make([]float64, seconds), make([]float64, seconds)},
	}
	for i := range o.servers {
		model := o.model
		model.Speed *= math.Exp(speedSpread * r.rng.NormFloat64())
		r.addServer(i, fmt.Sprintf("s%03d", i), servermodel.New(model, 0, false))
	}
	for i := range o.nodes {
		r.fleet = append(r.fleet, &outageNode{index: i, weight: 0.4 + 0.6*r.rng.ExpFloat64()})
		r.start(r.fleet[i])
	}
	r.arrivals()
	r.in(faultFrom, r.slowDown)
	r.in(replaceAt, r.replace)
	killed := r.fleet[:int(killedShare*float64(o.nodes))]
	r.in(killAt, func() {
		for _, n := range killed {
			n.up = false
			n.instance++
		}
	})
	r.in(backAt, func() {
		for _, n := range killed {
			r.start(n)
		}
	})
	r.runUntil(outageTail - 1)
	return r.result
}

// The course of an outage.
const (
	faultFrom   = 8 * time.Second  // some servers are slow, and so are the tiers below
	replaceAt   = 10500 * msec     // some servers are replaced by warming ones
	killAt      = 12 * time.Second // most nodes are killed
	backAt      = 13500 * msec     // and are back
	faultTo     = 15 * time.Second // servers and the tiers below are as before
	recoveredBy = 16 * time.Second // from here on the fleet should serve as before
	outageEnd   = 25 * time.Second // of the requests
	outageTail  = outageEnd + 5*time.Second

	killedShare   = 0.7
	slowShare     = 0.12 // of the servers
	slowBy        = 6.0
	belowSlowBy   = 1.8
	replacedShare = 0.15
	burstLength   = 100 * msec
	burstSpread   = 0.4  // standard deviation of the load from one burst to the next, of its mean
	speedSpread   = 0.15 // of the servers' speeds, as a logarithm
)

// outageResult holds the priority weight offered and served in time, by the second of the arrival.
type outageResult struct{ offered, served []float64 }

// share is the share served of what arrived from one time to another.
func (r outageResult) share(from, to time.Duration) float64 {
	offered, served := 0.0, 0.0
	for i := int(from / time.Second); i < int(to/time.Second); i++ {
		offered += r.offered[i]
		served += r.served[i]
	}
	return served / offered
}

// outageRun is the state of a run.
type outageRun struct {
	outage
	t   testing.TB
	rng *rand.Rand
	simulation
	nextCall int
	list     []Endpoint
	backends map[string]*outageServer
	fleet    []*outageNode
	requests map[string]*outageRequest
	calls    map[int]outageCall
	result   outageResult
}

// addServer puts a server in the list at a position, in place of the one there.
func (r *outageRun) addServer(place int, id string, model *servermodel.Server) {
	r.backends[id] = &outageServer{id: id, model: model, slow: 1}
	entry := Endpoint{ID: id, Zone: "z", Cell: place % 8, StartedAt: r.now}
	if place < len(r.list) {
		r.list[place] = entry
	} else {
		r.list = append(r.list, entry)
	}
}

func (r *outageRun) start(n *outageNode) {
	set := r.set
	set.Replicas, set.ReplicaIndex = r.nodes, n.index
	b, err := New(set, r.seed<<20+uint64(n.instance)<<12+uint64(n.index))
	if err != nil {
		r.t.Fatal(err)
	}
	n.balancer, n.up = b, true
	r.deliver(n, EndpointUpdate{Complete: true, Endpoints: r.list})
}

func (r *outageRun) slowDown() {
	for i := range int(slowShare * float64(r.servers)) {
		r.backends[r.list[i*7%len(r.list)].ID].slow = slowBy
	}
}

func (r *outageRun) replace() {
	for i := range int(replacedShare * float64(r.servers)) {
		r.addServer((i*5+1)%len(r.list), fmt.Sprintf("t%03d", i), servermodel.New(r.model, r.now, true))
	}
	for _, n := range r.fleet {
		r.deliver(n, EndpointUpdate{Complete: true, Endpoints: r.list})
	}
}

// arrivals plans the requests: a Poisson process whose rate differs from burst to burst.
func (r *outageRun) arrivals() {
	rate := r.load * float64(r.servers*r.model.Cores) * r.model.Speed / r.work.Seconds()
	sum, aims := 0.0, time.Duration(0)
	for _, n := range r.fleet {
		sum += n.weight
	}
	for _, c := range r.set.Classes {
		aims += c.LatencyObjective / time.Duration(len(r.set.Classes))
	}
	burst, until, at := 1.0, time.Duration(0), time.Duration(0)
	for count := 0; ; count++ {
		if at >= until {
			until = at + burstLength
			burst = max(0.2, 1+burstSpread*r.rng.NormFloat64())
		}
		at += time.Duration(r.rng.ExpFloat64() / rate / burst * float64(time.Second))
		if at >= outageEnd {
			return
		}
		class := r.set.Classes[r.rng.IntN(len(r.set.Classes))]
		// Lognormal with a coefficient of variation of 1.3; classes of longer latency objectives have more
		// work.
		mean := r.work.Seconds() * float64(class.LatencyObjective) / float64(aims)
		work := time.Duration(mean * math.Exp(r.rng.NormFloat64()-0.5) * float64(time.Second))
		place, node := r.rng.Float64()*sum, 0
		for ; node < r.nodes-1 && place >= r.fleet[node].weight; node++ {
			place -= r.fleet[node].weight
		}
		id := fmt.Sprintf("r%06d", count)
		r.in(at, func() { r.arrive(r.fleet[node], id, class, work) })
	}
}

func (r *outageRun) arrive(n *outageNode, id string, class Class, work time.Duration) {
	r.result.offered[r.now/time.Second] += class.PriorityWeight
	if !n.up {
		return // its client finds nobody
	}
	r.requests[id] = &outageRequest{class: class, at: r.now, work: work, node: n, instance: n.instance}
	r.deliver(n, Request{ID: id, Class: class.Name, Deadline: r.now + class.Deadline})
}

// deliver hands an event to a node's module and carries out its actions.
func (r *outageRun) deliver(n *outageNode, e Event) {
	for _, a := range n.balancer.Handle(r.now, e) {
		switch a := a.(type) {
		case Send:
			r.send(a)
		case Cancel: // its server doesn't notice
			call := outageCall{request: a.ID, attempt: a.Attempt, sent: r.now}
			r.in(0, func() { r.end(call, Cancelled) })
		case Reject:
			r.requests[a.ID].answered = true
		case Fail:
			r.requests[a.ID].answered = true
		case SetTimer:
			life := n.instance
			r.in(a.At-r.now, func() {
				if n.up && n.instance == life {
					r.deliver(n, Timer{Token: a.Token})
				}
			})
		}
	}
}

func (r *outageRun) send(a Send) {
	q, s := r.requests[a.ID], r.backends[a.Endpoint]
	call := outageCall{a.ID, len(q.ended), a.Endpoint, r.now}
	q.ended = append(q.ended, false)
	work, below := float64(q.work), r.elsewhere
	if r.now >= faultFrom && r.now < faultTo {
		work *= s.slow
		below *= belowSlowBy
	}
	r.nextCall++
	id := r.nextCall
	r.finish(s)
	offered := servermodel.Call{ID: id, Work: time.Duration(work), OffCPU: time.Duration(float64(q.work) * below)}
	if !s.model.Offer(r.now, offered) {
		r.in(msec, func() { r.end(call, Rejected) })
		return
	}
	r.calls[id] = call
	r.planCompletion(s)
	r.in(a.Timeout, func() { r.end(call, TimedOut) })
}

// finish ends what a server has completed, and plans the next completion.
func (r *outageRun) finish(s *outageServer) {
	for _, id := range s.model.Complete(r.now) {
		call := r.calls[id]
		delete(r.calls, id)
		r.end(call, Success)
	}
	r.planCompletion(s)
}

func (r *outageRun) planCompletion(s *outageServer) {
	s.version++
	version := s.version
	if at, found := s.model.NextCompletion(); found {
		r.in(at-r.now, func() {
			if s.version == version {
				r.finish(s)
			}
		})
	}
}

// end ends an attempt, for its node if that instance is still running.
func (r *outageRun) end(call outageCall, ending AttemptResult) {
	q := r.requests[call.request]
	if q.ended[call.attempt] || !q.node.up || q.node.instance != q.instance {
		return
	}
	q.ended[call.attempt] = true
	if ending == Success && !q.answered {
		q.answered = true
		switch took := r.now - q.at; {
		case took <= q.class.LatencyObjective:
			r.result.served[q.at/time.Second] += q.class.PriorityWeight
		case took <= q.class.Deadline:
			r.result.served[q.at/time.Second] += q.class.PriorityWeight * q.class.LateValue
		}
	}
	r.deliver(q.node, AttemptEnded{
		ID: call.request, Attempt: call.attempt, Endpoint: call.server, Result: ending,
		Latency: r.now - call.sent, Answered: q.answered,
	})
}

type outageServer struct {
	id      string
	model   *servermodel.Server
	slow    float64
	version int // of what is planned for it
}

type outageNode struct {
	index    int
	balancer *Balancer
	weight   float64 // of its traffic
	instance int
	up       bool
}

type outageRequest struct {
	class    Class
	at       time.Duration
	work     time.Duration
	node     *outageNode
	instance int // of the node that took it
	ended    []bool
	answered bool
}

type outageCall struct {
	request string
	attempt int
	server  string
	sent    time.Duration
}
