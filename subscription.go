// The subscription to the endpoint list.

package balancer

import (
	"time"
)

// scheduleSubscribe plans a Subscribe where the list must be asked for. Jitter keeps copies that start, or
// lose their subscription, together from swamping discovery; the wait doubles with each failure
// but leaves time for two tries before the copy counts as told what it never heard.
func (b *Balancer) scheduleSubscribe() {
	if !b.settings.PollDiscovery {
		return
	}
	most := b.settings.PollWithin / 4
	wait := min(most, most/16<<min(b.subscriptionFailures, 4))
	b.subscribeAt = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.emit(SetTimer{At: b.subscribeAt, Token: "list"})
}
