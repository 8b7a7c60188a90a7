// Slow start: what a server that has just started may be sent while it is cold.

package balancer

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	lightWorkRatio = 6.0 // times its warmth, of the mean effort, that a cold server takes at most
)

// capacityShare is the share of its capacity that a server surely has.
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

// admitsInSlowStart keeps a cold server to one own call at a time, to the credit that it has here, and to its
// share
// of a warm one's work. Where effort is hinted that share is made of the lighter requests: a heavy one takes
// a cold server many times as long and is late, and what is worth most is lost, while a light one has time
// to spare. Without hints the draw is thinned to the share.
func (b *Balancer) admitsInSlowStart(ep *endpoint, req *request) bool {
	w := b.capacityShare(ep)
	switch {
	case w == 1:
		return true
	case ep.inFlight > 0 || !b.hasTokens(ep):
		return false
	case req.work > 0:
		return req.work <= lightWorkRatio*w*b.meanWork
	}
	return b.rng.Float64() < w
}
