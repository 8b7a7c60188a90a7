// Package subscription schedules subscriptions to the endpoint list for hosts that have to poll discovery.
//
// A failed subscription is retried with exponential backoff and full jitter (AWS Architecture Blog,
// "Exponential Backoff And Jitter").
package subscription

import "time"

// Constants of the backoff.
const (
	backoffDivisor = 4 // ratio of the allowed time to the longest backoff, so that two attempts fit
	maxDoublings   = 4 // of the backoff, from its initial to its longest value
)

// Backoff is the state of the subscription.
type Backoff struct {
	failures    int           // consecutive failures
	subscribeAt time.Duration // clock time of the next subscription; 0: not scheduled
}

// Fail records that subscribing failed or that the subscription ended.
func (b *Backoff) Fail() { b.failures++ }

// Succeed records that an endpoint list has arrived.
func (b *Backoff) Succeed() { b.failures = 0 }

// Schedule schedules the next subscription and returns its time. within is the longest time allowed without a
// subscription. jitter, a random number in [0, 1), keeps replicas that start or lose their subscription at
// the same time from overloading discovery. The wait doubles with each failure, but leaves time for two
// attempts within the time allowed, after which the replica is expected to know of each change of the list.
func (b *Backoff) Schedule(now, within time.Duration, jitter float64) time.Duration {
	longest := within / backoffDivisor
	wait := min(longest, longest>>maxDoublings<<min(b.failures, maxDoublings))
	b.subscribeAt = now + time.Duration(jitter*float64(wait)) + 1
	return b.subscribeAt
}

// TakeIfDue reports whether the scheduled subscription is due, and if so clears it. tick is the resolution of
// the host's timers, which may fire early by that much.
func (b *Backoff) TakeIfDue(now, tick time.Duration) bool {
	if b.subscribeAt == 0 || now+tick < b.subscribeAt {
		return false
	}
	b.subscribeAt = 0
	return true
}
