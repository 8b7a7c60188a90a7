// Slow start: what a server that has just started may be sent while it is cold. All copies together must
// not push it over, and none of them sees what the others send.

package balancer

import (
	"math"
	"time"
)

// Constants are shares, ratios or counts, as in policy.go.
const (
	bestKept   = 8.0 // times as long as what servers bear is remembered, it is at their best
	lightPart  = 6.0 // times its warmth, of the mean effort, that a cold server takes at most
	rarity     = 9.0 // exponent of the chance that what comes to a cold server in a window pushes it over
	smallCount = 30  // requests in a window from which a cold server bears fewer beyond what it is allowed
	outside    = 0.1 // calls in a window that copies together send a cold server that is not in their pools
	unused     = 2.0 // mean times between own calls, beyond a part of a window, after which credit is lost
	lateWindow = 4   // that part of a window, and the times in it that held calls look for credit, halved
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

// capacityEstimate is what servers answer of this copy's calls: good answers a second for each unit of their
// warmth. Each copy's figure is its own part of what they answer for all copies, so limits taken from it add
// up over the fleet, though no copy knows the others' traffic.
type capacityEstimate struct {
	answers float64 // decayed; each counts one over the warmth of those that it could have come from
	seconds float64 // in which such an answer could have come, decayed alike
	most    float64 // answers a second at the best time, decayed more slowly
	at      time.Duration
}

// rate is in answers a second, once a window of seconds or more was seen, at the best time of late: servers
// that are crowded because others are cold choke and answer less than they could.
func (r *capacityEstimate) rate(window float64) float64 {
	r.most = max(r.most, r.answers/max(r.seconds, window))
	return r.most
}

// note brings the figure up to now, forgetting over a number of seconds. An answer, if one has come, was of
// one of the servers of a pool that have so much warmth together.
func (r *capacityEstimate) note(now time.Duration, over, warmth float64, answered bool) {
	if warmth > 0 && r.at > 0 {
		keep := math.Exp(-(now - r.at).Seconds() / over)
		r.most *= math.Exp(-(now - r.at).Seconds() / (bestKept * over))
		r.answers *= keep
		r.seconds = r.seconds*keep + over*(1-keep)
	}
	r.at = now
	if warmth > 0 && answered {
		r.answers += 1 / warmth
	}
}

// observeCapacity notes the time and, where a server is named, its good answer. What warm servers answer
// tells most: cold ones answer no more than they are sent. Where the pool has no warm one, what was known of
// them stays, and the cold ones tell if they answer more.
func (b *Balancer) observeCapacity(s *server) {
	pooled := s != nil && s.listed && s.pooled
	warm, cold := b.poolWarmth()
	b.warmCapacity.note(b.now, b.ramp(), warm, pooled && b.warmth(s) == 1)
	b.coldCapacity.note(b.now, b.ramp(), cold, pooled && b.warmth(s) < 1)
}

// ramp is how many seconds the capacity estimate goes back: half of a server's way to its full capacity is
// long enough for a copy of few calls, and short enough to follow the load.
func (b *Balancer) ramp() float64 {
	return (b.set.SlowStartDuration/2 + b.set.OverloadWindow).Seconds()
}

// poolWarmth is what the warm and the cold servers of the pool can do, in warm servers.
func (b *Balancer) poolWarmth() (warm, cold float64) {
	for _, group := range [][]*server{b.pool.left, b.pool.right} {
		for _, s := range group {
			if w := b.warmth(s); w == 1 {
				warm++
			} else {
				cold += w
			}
		}
	}
	return warm, cold
}

// credit is what a copy may still send to a cold server, in requests of mean work. It grows at this copy's
// part of the rate that all copies together may have, from a random debt, or all would send their first
// request at once; what is not used soon is lost, or it would come at once from all when traffic rises.
type credit struct {
	left  float64
	at    time.Duration // when it was brought up to date; 0: never
	rate  float64       // at which it grows, by the growth of that number
	round int
}

// limited says that the settings tell what pushes a cold server over.
func (b *Balancer) limited() bool { return b.set.OverloadMultiple > 0 && b.set.OverloadWindow > 0 }

// inCredit says that a cold server may be sent a request now.
func (b *Balancer) inCredit(s *server) bool {
	if !b.limited() {
		return true
	}
	rate := b.creditRate(s)
	if s.credit.at == 0 {
		s.credit.left, s.credit.at = -b.rng.Float64(), b.now
	}
	most := rate * (b.set.OverloadWindow.Seconds()/lateWindow + unused*b.interval.Seconds())
	s.credit.left = min(most, s.credit.left+rate*(b.now-s.credit.at).Seconds())
	s.credit.at = b.now
	return s.credit.left >= 0
}

// creditGrowth is what the growth of credit goes by, the same for all cold servers at one time.
type creditGrowth struct {
	round  int // counts the times that it was brought up to date
	at     time.Duration
	known  bool
	each   float64 // own good answers a second that a warm server bears
	copies float64 // that have a server in their pools
}

// updateCreditGrowth brings it up to now. The copies that have a server in their pools are taken to have them
// as wide as this one's. A copy that has seen no warm server takes it that those of its pool, once warm,
// answer what is asked of them.
func (b *Balancer) updateCreditGrowth() {
	if b.creditGrowth.known && b.creditGrowth.at == b.now {
		return
	}
	b.observeCapacity(nil)
	window, every := b.set.OverloadWindow.Seconds(), max(b.interval.Seconds(), 1e-9)
	asked := 1 / every / float64(max(1, b.width)) * (1 - b.warmCapacity.seconds/b.ramp())
	b.creditGrowth = creditGrowth{
		round: b.creditGrowth.round + 1, at: b.now, known: true,
		each:   max(b.warmCapacity.rate(window), b.coldCapacity.rate(window), asked),
		copies: max(1, float64(b.set.Replicas)*float64(b.width)/float64(max(1, b.ready.len()))),
	}
}

// creditRate is how fast the credit of a cold server grows now. One request asks for it many times.
func (b *Balancer) creditRate(s *server) float64 {
	b.updateCreditGrowth()
	if s.credit.round != b.creditGrowth.round {
		s.credit.rate, s.credit.round = b.newCreditRate(s), b.creditGrowth.round
	}
	return s.credit.rate
}

// newCreditRate works it out, in requests of mean work a second: this copy's part of what all may send the
// server.
func (b *Balancer) newCreditRate(s *server) float64 {
	window, warmth := b.set.OverloadWindow.Seconds(), b.warmth(s)
	copies, most := float64(max(1, b.set.Replicas)), outside
	if s.pooled {
		copies = b.creditGrowth.copies
		most = max(most, safeMean(fallLimit(b.set.OverloadMultiple*warmth*b.creditGrowth.each*copies*window)))
	}
	return most / copies / window
}

// fallLimit is how many requests of mean work in a window a cold server surely bears, by an estimate n of
// what the settings allow it then. It falls at more than n + 2 x root of n + 2, and under 30 at more than
// n + 3 x root of n + 3. That rule steps down at 30, from 49 to 43, and the estimate may be a little low: one
// just under 30 counts on no more than what holds at 30, so that the limit nowhere shrinks as n grows.
func fallLimit(n float64) float64 {
	wide := max(n, smallCount)
	return min(n+3*math.Sqrt(n)+3, wide+2*math.Sqrt(wide)+2)
}

// safeMean is what may come in a window on average for hardly any window to go over the limit l of requests
// of mean work. A count with the mean m is more than l with a chance of at most exp(l - m - l x log(l/m))
// (Chernoff's bound), which is solved for m by Newton's method: from below, so it is safe wherever it ends.
func safeMean(l float64) (m float64) {
	for range 8 {
		bound := l * math.Exp((m-rarity)/l-1)
		m += (bound - m) / (1 - bound/l)
	}
	return m
}

// spend takes a request from a cold server's credit.
func (b *Balancer) spend(s *server, r *request) {
	switch {
	case !b.limited() || b.warmth(s) == 1:
	case r.effort > 0:
		s.credit.left -= r.effort / b.effort
	default:
		s.credit.left--
	}
}

// creditAgain is when held calls are to be looked at again, since credit grows with time alone.
func (b *Balancer) creditAgain() time.Duration {
	if s := b.ready.youngest(); s != nil && b.limited() && b.warmth(s) < 1 {
		return b.now + b.set.OverloadWindow/(2*lateWindow)
	}
	return math.MaxInt64
}
