// Slow start: what a server that has just started may be sent while it is cold.

package balancer

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	lightPart = 6.0 // times its warmth, of the mean effort, that a cold server takes at most
)

// warmth is the share of its capacity that a server surely has.
func (b *Balancer) warmth(s *server) float64 {
	age := b.now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.set.SlowStartDuration {
		return 1
	}
	grown := max(0, float64(age)/float64(b.set.SlowStartDuration))
	return b.set.SlowStartFloor + (1-b.set.SlowStartFloor)*grown
}

// warmEnough keeps a cold server to one own call at a time, to the credit that it has here, and to its share
// of a warm one's work. Where effort is hinted that share is made of the lighter requests: a heavy one takes
// a cold server many times as long and is late, and what is worth most is lost, while a light one has time
// to spare. Without hints the draw is thinned to the share.
func (b *Balancer) warmEnough(s *server, r *request) bool {
	w := b.warmth(s)
	switch {
	case w == 1:
		return true
	case s.calls > 0 || !b.inCredit(s):
		return false
	case r.effort > 0:
		return r.effort <= lightPart*w*b.effort
	}
	return b.rng.Float64() < w
}
