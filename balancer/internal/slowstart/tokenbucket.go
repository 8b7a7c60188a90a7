package slowstart

import (
	"math/rand/v2"
	"time"
)

// tokenBucket is what a replica may still send to an endpoint in slow start, in requests of mean work. It
// begins with a random debt, or all replicas would send their first request at once. Tokens that are not used
// soon are lost, or they would be used by all at once when traffic rises.
type tokenBucket struct {
	tokens float64
	at     time.Duration // when it was last filled; 0: never
	rate   float64       // in tokens a second, by the fill basis of this round
	round  int
}

// fill adds the tokens since the last time, up to capacity.
func (t *tokenBucket) fill(now time.Duration, capacity float64) {
	t.tokens = min(capacity, t.tokens+t.rate*(now-t.at).Seconds())
	t.at = now
}

// hasTokens fills the bucket and says whether a request may be taken from it. Tokens that are not used last
// so many seconds.
func (t *tokenBucket) hasTokens(now time.Duration, lasts float64, rng *rand.Rand) bool {
	if t.at == 0 {
		t.tokens, t.at = -rng.Float64(), now
	}
	t.fill(now, t.rate*lasts)
	return t.tokens >= 0
}

// updateRate computes the rate, once for each round of the fill basis: it is asked for many times for one
// request.
func (t *tokenBucket) updateRate(round int, rate func() float64) {
	if t.round != round {
		t.rate, t.round = rate(), round
	}
}

// spend takes requests of mean work from the bucket.
func (t *tokenBucket) spend(requests float64) { t.tokens -= requests }
