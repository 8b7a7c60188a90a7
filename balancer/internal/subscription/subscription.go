// Package subscription decides when to subscribe to the endpoint list, where the host has to ask for it.
//
// A failed subscription is retried with exponential backoff and full jitter (AWS Architecture Blog,
// "Exponential Backoff And Jitter").
package subscription

import "time"

// Constants of the backoff.
const (
	attemptsInTime = 4 // waits of the longest backoff that fit into the allowed time, so that two attempts do
	maxDoublings   = 4 // of the backoff, from its first value to its longest
)

// Backoff is the state of the subscription.
type Backoff struct {
	failures    int           // in a row
	subscribeAt time.Duration // when to subscribe next; 0: not planned
}

// Fail records that subscribing failed or that the subscription ended.
func (b *Backoff) Fail() { b.failures++ }

// Succeed records that an endpoint list has come.
func (b *Backoff) Succeed() { b.failures = 0 }

// Schedule plans the next subscription and returns its time. within is the longest time without a
// subscription that is allowed. The jitter, from 0 up to 1, keeps replicas that start or lose their
// subscription together from overloading discovery. The wait doubles with each failure but leaves time for
// two attempts before the replica counts as notified of a change that it has not received.
func (b *Backoff) Schedule(now, within time.Duration, jitter float64) time.Duration {
	longest := within / attemptsInTime
	wait := min(longest, longest>>maxDoublings<<min(b.failures, maxDoublings))
	b.subscribeAt = now + time.Duration(jitter*float64(wait)) + 1
	return b.subscribeAt
}

// TakeIfDue says whether the planned subscription is due, and if so removes it from the plan. tick is the
// resolution of the host's timers, which may fire early by as much.
func (b *Backoff) TakeIfDue(now, tick time.Duration) bool {
	if b.subscribeAt == 0 || now+tick < b.subscribeAt {
		return false
	}
	b.subscribeAt = 0
	return true
}
