package slowstart

import (
	"math/rand/v2"
	"time"
)

// tokenBucket holds the tokens that this replica may still spend on an endpoint in slow start; one token pays
// for a request of mean work. It starts with a random debt, so that the replicas do not all send their first
// request at once. Unused tokens expire soon; otherwise all replicas would use them at once when traffic
// rises.
type tokenBucket struct {
	tokens     float64
	filledAt   time.Duration // when it was last filled; 0: never
	rate       float64       // in tokens per second, computed from the rate inputs of this generation
	generation int
}

// fill adds the tokens since the last fill, up to the capacity.
func (t *tokenBucket) fill(now time.Duration, capacity float64) {
	t.tokens = min(capacity, t.tokens+t.rate*(now-t.filledAt).Seconds())
	t.filledAt = now
}

// hasTokens fills the bucket and reports whether a request may be sent. Unused tokens are kept for lifetime,
// in seconds.
func (t *tokenBucket) hasTokens(now time.Duration, lifetime float64, rng *rand.Rand) bool {
	if t.filledAt == 0 {
		t.tokens, t.filledAt = -rng.Float64(), now
	}
	t.fill(now, t.rate*lifetime)
	return t.tokens >= 0
}

// updateRate computes the rate once per generation of the rate inputs, as it is needed many times for one
// request.
func (t *tokenBucket) updateRate(generation int, rate func() float64) {
	if t.generation != generation {
		t.rate, t.generation = rate(), generation
	}
}

// take removes the tokens of a request, whose cost is in requests of mean work.
func (t *tokenBucket) take(requests float64) { t.tokens -= requests }
