// Admission: how many calls the first tier has out.

package balancer

import (
	"math"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	windowFloor = 5.0  // own calls a server that are always admitted
	targetShare = 0.75 // part of the mean, by ratio, of base latency and aim that is steered to
	targetLeast = 1.35 // times the base latency that is steered to at least
	leanness    = 0.3  // part of the target given up when all is shed
	windowSlack = 2    // times the calls out on average up to which the window grows
	windowGain  = 0.25 // window moved by an answer, for each target that it came under or over
	mostOver    = 2.0  // times the target that a slow answer counts at most, and a call that was not served
	crowdedFrom = 1.33 // mean of answers against their targets from which servers are crowded
	fullCut     = 0.2  // part of the window given up at least when a server is full
)

// full says that the node has as many calls out as the tiers below answer in good time. Only the
// first tier holds back: a call refused further down wastes what was done above it. A client's repeat,
// whose aim is mostly over, must leave half of the room to first tries, or repeats feed a jam.
func (b *Balancer) full(r *request) bool {
	calls := float64(b.inFlight)
	if r.repeat {
		calls *= 2
	}
	return b.ready.len() == 0 || b.set.Tier == 0 && calls >= b.window*b.windowShare(r)
}

// fairServers is how many servers there are for each copy of this tier.
func (b *Balancer) fairServers() float64 {
	return float64(b.ready.len()) / float64(max(1, b.set.Replicas))
}

// target is the latency that admission steers to, a little under half way in ratio between a class's
// latency when there is room and its aim: work that fills much of the aim by itself is no crowd, and
// work that fills little of it waits in long queues, which choke servers, well before its aim is near.
// The more is shed, the surer it is that some servers choke: then leaner is better, but never so lean
// that only an empty server meets it, or the shedding would keep itself up.
func (c *class) target(shed float64) float64 {
	lean := (1 - leanness*shed) * targetShare * math.Sqrt(c.base*float64(c.LatencyObjective))
	return min(float64(c.LatencyObjective), max(targetLeast*c.base, lean))
}

// steer moves the window so that latencies stay at their target: crowded servers choke and stay slow,
// so the crowd must wait or be refused here. Slow answers shrink it and good ones open it alike. Once answers
// are slow on average the window's unused room is given up at once: a step an answer would leave it open
// until the servers are full, as the answers that tell come late by then.
func (b *Balancer) steer(r *request, e AttemptEnded) {
	tells := e.Result == Success || e.Result == TimedOut || e.Result == Rejected || e.Result == ConnectFailed
	if b.set.Tier > 0 || !tells {
		return
	}
	over := min(mostOver, float64(b.now-r.attempts[e.Attempt].sent)/r.class.target(b.shed))
	if e.Result != Success {
		over = mostOver
	}
	b.crowding += memory * (over - b.crowding)
	if b.crowding > crowdedFrom {
		b.opening = false
		b.window = min(b.window, b.busy+1)
	}
	if e.Result == Rejected {
		b.cutWindow(r.class)
	}
	b.window = max(b.window+b.windowStep(over), 1, windowFloor*b.fairServers())
}

// windowStep is by how much an answer moves the window. A small window moves by up to one call a round of
// answers, or a node of many would take a day to open it. It grows to a multiple of the calls out at most:
// growing only while nearly full, it would sink by chance at a node whose few calls seldom fill it.
//
// A new node begins with what is always admitted, and each good answer opens its window by a whole call
// until servers are crowded (the slow start of congestion control). What servers still hold for others, or
// for nodes that have died, it can't know: many that start together with more would fill all servers at once.
func (b *Balancer) windowStep(over float64) float64 {
	step, out := max(windowGain, 1/b.window)*(1-over), b.busy
	if b.opening && over < 1 {
		step, out = max(1, step), max(out, float64(b.inFlight))
	}
	if step > 0 && b.window >= windowSlack*(out+1) {
		return 0
	}
	return step
}

// cutWindow gives up the window's unused room, and a part of it at least, when a server had no place for a
// call: a full queue tells of a crowd before latencies do, and they tell little while the tiers below are
// slow. One round of answers is heard between two cuts (the multiplicative decrease of congestion control).
func (b *Balancer) cutWindow(c *class) {
	b.opening = false
	if b.now >= b.nextCut {
		b.nextCut = b.now + time.Duration(c.mean)
		b.window = min((1-fullCut)*b.window, b.busy+1)
	}
}
