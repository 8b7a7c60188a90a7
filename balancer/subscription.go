// The subscription to the endpoint list, where the host has to subscribe: exponential backoff with full
// jitter (AWS Architecture Blog, "Exponential Backoff And Jitter").

package balancer

import "time"

// subscriptionToken is the token of the timer after which the host is asked to subscribe.
const subscriptionToken = "list"

// Constants of the backoff.
const (
	attemptsInTime = 4 // waits of the longest backoff that fit into PollWithin, so that two attempts do
	maxDoublings   = 4 // of the backoff, from its first value to its longest
)

// subscription is the state of the subscription to the endpoint list.
type subscription struct {
	failures    int           // in a row
	subscribeAt time.Duration // when to subscribe next; 0: not planned
}

// schedule plans the next Subscribe and returns its time. The jitter, from 0 up to 1, keeps replicas that
// start or lose their subscription together from overloading discovery. The wait doubles with each failure
// but leaves time for two attempts before the replica counts as notified of what it never heard.
func (s *subscription) schedule(now, pollWithin time.Duration, jitter float64) time.Duration {
	longest := pollWithin / attemptsInTime
	wait := min(longest, longest>>maxDoublings<<min(s.failures, maxDoublings))
	s.subscribeAt = now + time.Duration(jitter*float64(wait)) + 1
	return s.subscribeAt
}

// due says whether the planned Subscribe is due, and if so takes it off the plan.
func (s *subscription) due(now, tick time.Duration) bool {
	if s.subscribeAt == 0 || now+tick < s.subscribeAt {
		return false
	}
	s.subscribeAt = 0
	return true
}

// scheduleSubscribe plans a Subscribe where endpoint updates come only after one.
func (b *Balancer) scheduleSubscribe() {
	if b.settings.PollDiscovery {
		at := b.subscription.schedule(b.now, b.settings.PollWithin, b.rng.Float64())
		b.emit(SetTimer{At: at, Token: subscriptionToken})
	}
}

// retrySubscribe takes in that a Subscribe failed or that the subscription ended.
func (b *Balancer) retrySubscribe() {
	b.subscription.failures++
	b.scheduleSubscribe()
}

// subscribeIfDue sends the planned Subscribe.
func (b *Balancer) subscribeIfDue() {
	if b.subscription.due(b.now, b.settings.Tick) {
		b.emit(Subscribe{})
	}
}
