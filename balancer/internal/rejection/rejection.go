// Package rejection limits the requests in flight to an endpoint that has rejected a request.
//
// A rejection shows the capacity of an endpoint: it is sent no more than that until a randomized exponential
// backoff is over. Either its queue is full or other replicas hold all its connections, even if some are
// idle. As rejections return at once, the endpoint has few requests in flight, and a choice by that number
// would favor it.
package rejection

import (
	"math"
	"time"
)

// Constants of the backoff.
const (
	baseBackoff  = 12  // mean length of the first backoff, in mean latencies of the class
	maxDoublings = 5   // limit on the doublings of the backoff
	minJitter    = 0.5 // smallest random factor of the backoff; the largest is greater by 1
)

// Record holds the capacity of an endpoint as shown by its rejections.
type Record struct {
	limit        int           // requests in flight when the endpoint rejected one more
	limitedUntil time.Duration // end of the backoff, until which limit applies
	consecutive  int           // rejections since the last success, up to maxDoublings
}

// Observe records a rejection by an endpoint with inFlight other requests in flight. meanLatency is in
// nanoseconds; jitter is a random number in [0, 1).
func (r *Record) Observe(now time.Duration, meanLatency, jitter float64, inFlight int) {
	wait := time.Duration((minJitter + jitter) * baseBackoff * meanLatency)
	r.limit = inFlight
	r.limitedUntil = now + wait<<r.consecutive
	r.consecutive = min(r.consecutive+1, maxDoublings)
}

// ObserveSuccess records a success of the endpoint, which resets the length of the next backoff.
func (r *Record) ObserveSuccess() { r.consecutive = 0 }

// Limit returns the number of requests in flight at which the endpoint is skipped.
func (r *Record) Limit(now time.Duration) int {
	if now < r.limitedUntil {
		return r.limit
	}
	return math.MaxInt
}
