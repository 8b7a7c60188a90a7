// Outlier detection and ejection.

package balancer

import (
	"math"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	ownMemory  = 0.25 // weight of a new sample in a single server's averages
	chance     = 0.08 // a run of bad endings likelier than this by the share of them among all is luck
	minSamples = 3    // good endings that take one doubling of a later ejection back
	failMemory = 0.15 // weight of a new ending in a server's share of failures in a class
	failFade   = 36   // mean latencies in which that share falls to a third, if nothing else is heard
	failWeight = 3.0  // power of its share of good endings, against all servers', that it is drawn by
	failMargin = 0.8  // what that share may fall to by chance, without being drawn less
	ejection   = 12   // mean latencies that a first ejection, or a lack of room, lasts
	maxLevel   = 5    // doublings of an ejection
)

// fading is a share that is the less sure the longer ago it was seen.
type fading struct {
	share float64
	at    time.Duration
}

// isOutlier says, by a draw, that a server should not get a class now, by its share of good endings against
// all servers'. One that fails at once, in part or one class only, drains its count and wins, and what it
// serves ends each run of bad endings; one that lets most time out holds its part of the window. Where all
// fail alike none is an outlier: no cap is needed. It hurts where a few unlucky endings are all that's known.
func (b *Balancer) isOutlier(s *server, c *class) bool {
	if len(s.failing) == 0 { // nothing has failed there, as for most servers of a long list
		return false
	}
	good := 1.0
	for _, k := range []*class{c, b.classes[""]} { // that one stands for all together
		good = min(good, (1-b.failing(s, k.learned, c))/(1-k.failing))
	}
	return good < failMargin && b.rng.Float64() >= math.Pow(good/failMargin, failWeight)
}

// failing is what is left of a server's share of failures in k, by the time that answers of c take.
func (b *Balancer) failing(s *server, k *learned, c *class) float64 {
	f := s.failing[k]
	return f.share * math.Exp(-float64(b.now-f.at)/(failFade*c.mean))
}

// judge learns from an ending: the class's latency, the server's health relative to its peers.
func (b *Balancer) judge(a *attempt, e AttemptEnded) {
	s, c := a.srv, a.req.class
	took := max(1, float64(b.now-a.sent)) // a coarse clock may show none, and its logarithm no server
	late := took > c.mean+tailSpread*c.dev
	b.judgeClass(s, c, e.Result)
	switch e.Result {
	case Success:
		b.tokens = min(retryBudget, b.tokens+retryEarn)
		b.lastOK, s.lastOK = b.now, b.now
		late = c.observe(took) && late
		s.refusals = 0
		b.observeCapacity(s)
	case Rejected, ConnectFailed:
		b.judgeRefusal(s, c)
		return
	case ServerError, ConnectionLost, TimedOut:
	case Cancelled:
		if !late {
			return
		}
	default:
		return
	}
	if late || e.Result == Success {
		s.samples++
		s.slow += max(ownMemory, 1/float64(s.samples+1)) * (math.Log(took/c.mean) - s.slow)
	}
	if late || e.Result != Success {
		b.judgeBad(s, c)
	} else {
		b.judgeGood(s)
	}
}

// judgeClass notes in the server's share of failures, and in all servers', how an attempt of a class ended.
func (b *Balancer) judgeClass(s *server, c *class, result AttemptResult) {
	now := 0.0
	switch result {
	case Success:
	case ServerError, TimedOut:
		now = 1
	default:
		return
	}
	if s.failing == nil {
		s.failing = map[*learned]fading{}
	}
	for _, k := range []*class{c, b.classes[""]} {
		share := b.failing(s, k.learned, c)
		s.failing[k.learned] = fading{share + failMemory*(now-share), b.now}
		k.failing += memory * (now - k.failing)
	}
}

// judgeRefusal notes how many own calls a server had when it refused one more.
func (b *Balancer) judgeRefusal(s *server, c *class) {
	s.room = s.calls
	s.full = b.now + time.Duration((0.5+b.rng.Float64())*ejection*c.mean)<<s.refusals
	s.refusals = min(s.refusals+1, maxLevel)
}

func (b *Balancer) judgeGood(s *server) {
	s.streak = 0
	if s.goods++; s.goods >= minSamples && s.level > 0 {
		s.level, s.goods = s.level-1, 1
	}
	b.errors = max(0.01, b.errors-memory*b.errors)
}

// judgeBad counts a bad ending, and ejects the server when a run of them is no luck.
// Trouble that strikes everywhere comes from the tier below or from the load; ejecting on it would
// leave nobody. A run counts only if the peers' share of bad endings makes it unlikely.
func (b *Balancer) judgeBad(s *server, c *class) {
	s.streak++
	s.goods = 0
	if math.Pow(b.errors, float64(s.streak)) < chance && b.now >= s.until {
		s.until = b.now + time.Duration(ejection*c.mean)<<s.level // doubles while its trials fail
		s.level = min(s.level+1, maxLevel)
	}
	b.errors += memory * (1 - b.errors)
}
