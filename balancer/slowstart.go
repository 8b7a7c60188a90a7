// Slow start of endpoints (as in Envoy and NGINX): an endpoint that has just started has only a part of its
// capacity, and is sent only as much. Where an endpoint that warms up must not be overloaded even for a short
// time, tokenbucket.go limits what all replicas together send it, as none sees what the others send.

package balancer

import "time"

// lightWorkRatio is how many times its share of the mean expected work a request may be expected to take, to
// be sent to an endpoint that warms up.
const lightWorkRatio = 6.0

// averageWeight is the least weight of a new sample in averages (about 16 samples).
const averageWeight = 0.06

// slowStart is what is known for all endpoints that warm up together.
type slowStart struct {
	warm      capacityEstimate // of endpoints that have all of their capacity
	warmingUp capacityEstimate // of the others
	basis     fillBasis
	arrivals  arrivalInterval
	work      workEstimate
}

// arrivalInterval is the time between requests: an exponentially weighted average.
type arrivalInterval struct{ mean, last time.Duration }

// observe takes in that a request arrived. An interval counts as longest at most.
func (a *arrivalInterval) observe(now, longest time.Duration) {
	interval := min(now-a.last, longest)
	a.mean += time.Duration(averageWeight * float64(interval-a.mean))
	a.last = now
}

// workEstimate is the mean of the work that clients expect of their requests, in ns.
type workEstimate struct {
	mean  float64
	hints float64 // how many requests had one
}

func (w *workEstimate) observe(work float64) {
	w.hints++
	w.mean += max(averageWeight, 1/w.hints) * (work - w.mean)
}

// capacityShare returns the share of its capacity that an endpoint has at least.
func (b *Balancer) capacityShare(ep *endpoint) float64 {
	age := b.now - ep.StartedAt
	if ep.StartedAt <= 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	grown := max(0, float64(age)/float64(b.settings.SlowStartDuration))
	return b.settings.SlowStartFloor + (1-b.settings.SlowStartFloor)*grown
}

// isWarm says that an endpoint has all of its capacity.
func (b *Balancer) isWarm(ep *endpoint) bool { return b.capacityShare(ep) == 1 }

// admitsInSlowStart says whether a request may be sent to an endpoint as far as slow start goes. An endpoint
// that warms up takes one request of this replica at a time, within its token bucket, and its share of the
// work of a warm one. Where the work is hinted, that share is made of the lighter requests: a heavy one takes
// such an endpoint many times as long and is late, so that the most expensive answers are lost, while a light
// one has time to spare. Without hints a random draw thins the requests to the share.
func (b *Balancer) admitsInSlowStart(ep *endpoint, req *request) bool {
	share := b.capacityShare(ep)
	switch {
	case share == 1:
		return true
	case ep.attempts.InFlight() > 0 || !b.hasTokens(ep):
		return false
	case req.work > 0:
		return req.work <= lightWorkRatio*share*b.slowStart.work.mean
	}
	return b.rng.Float64() < share
}
