// Rejections: an endpoint that rejects a request has shown its capacity, and is sent no more than that until
// a randomized exponential backoff is over.

package balancer

import (
	"math"
	"time"
)

// rejections is what an endpoint's rejections say of its capacity.
type rejections struct {
	limit       int           // requests in flight to it when it rejected one more
	until       time.Duration // how long that limit holds
	consecutive int
}

// observe takes in a rejection. The base of the backoff is randomized by the caller.
func (r *rejections) observe(now, base time.Duration, inFlight int) {
	r.limit = inFlight
	r.until = now + base<<r.consecutive
	r.consecutive = min(r.consecutive+1, maxEjectionLevel)
}

// rejectionLimit is the count of requests in flight from which an endpoint is passed over because it rejected
// one more a while ago. Its queue is full, or its connections are, which other replicas hold idle; rejections
// come at once and keep its count low, so the pick would favour it. It is not unhealthy, so the cap on the
// exclusion of unhealthy endpoints does not apply.
func (b *Balancer) rejectionLimit(ep *endpoint) int {
	if b.now < ep.rejections.until {
		return ep.rejections.limit
	}
	return math.MaxInt
}

func (b *Balancer) observeRejection(ep *endpoint, c *class) {
	base := time.Duration((0.5 + b.rng.Float64()) * baseEjection * c.mean)
	ep.rejections.observe(b.now, base, ep.inFlight)
}
