// Package rejection limits what is sent to an endpoint that has rejected a request.
//
// An endpoint that rejects a request has shown its capacity, and is sent no more than that until a randomized
// exponential backoff is over. Its queue is full, or its connections are, which other replicas hold idle;
// rejections come at once and keep its count in flight low, so a pick by that count would favour it.
package rejection

import (
	"math"
	"time"
)

// Constants of the backoff.
const (
	baseWait     = 12 // mean latencies that the first wait lasts, on average
	maxDoublings = 5  // of the wait
	minJitter    = 0.5
)

// Record is what an endpoint's rejections say of its capacity.
type Record struct {
	limit       int           // requests in flight to it when it rejected one more
	until       time.Duration // how long that limit is in force
	consecutive int
}

// Observe records a rejection while so many requests were in flight to the endpoint. meanLatency is in
// nanoseconds; jitter, from 0 up to 1, is drawn by the caller.
func (r *Record) Observe(now time.Duration, meanLatency, jitter float64, inFlight int) {
	wait := time.Duration((minJitter + jitter) * baseWait * meanLatency)
	r.limit = inFlight
	r.until = now + wait<<r.consecutive
	r.consecutive = min(r.consecutive+1, maxDoublings)
}

// ObserveSuccess records that the endpoint has served a request: the next backoff starts at its first value.
func (r *Record) ObserveSuccess() { r.consecutive = 0 }

// Limit returns the count of requests in flight from which the endpoint is passed over.
func (r *Record) Limit(now time.Duration) int {
	if now < r.until {
		return r.limit
	}
	return math.MaxInt
}
