// Timeouts of attempts and deadlines of requests: how long an attempt is waited for, how long an answer is
// worth sending, and how long a request may wait in the queue.

package balancer

import (
	"time"

	"basaltdrum/balancer/internal/retrybudget"
)

// hangingShare is the share of a class's attempts that may fail before attempts get only half of the time
// that is left.
const hangingShare = 0.05

// attemptTimeout returns how long an attempt is waited for. An endpoint that lets a request hang takes all
// the time that is left. Where that happens, an idempotent request that may be retried gives an attempt half
// of it, if nearly all answers come within that. This hurts requests that take long by themselves; in the
// first tier the work already done further down would be lost with the attempt.
func (b *Balancer) attemptTimeout(req *request) time.Duration {
	c, left := req.class, b.answerDeadline(req)-b.now
	retryLikely := c.Effect == Idempotent && len(req.attempts) < b.settings.MaxAttempts &&
		b.retries.Affords(retrybudget.FullCost)
	if retryLikely && b.settings.Tier > 0 && c.failures.Share() > hangingShare && left/2 > c.latency.Slow() {
		return left / 2
	}
	return left
}

// answerDeadline returns the time from which an answer is worth nothing: work that goes on after it takes
// capacity from answers that come in time. Below the first tier only the deadline is known.
func (b *Balancer) answerDeadline(req *request) time.Duration {
	if b.settings.Tier > 0 || req.class.LateValue > 0 || req.retry {
		return req.deadline
	}
	return min(req.deadline, req.arrived+req.class.LatencyObjective-2*b.settings.Tick)
}

// queueDeadline returns the time up to which it makes sense to keep a request in the queue: until its answer
// may well miss the latency objective, since late answers take capacity from those in time. With no endpoint
// at all a late answer is the best there can be, so then almost until the deadline.
func (b *Balancer) queueDeadline(req *request) time.Duration {
	last := req.deadline - 2*b.settings.Tick
	if b.endpoints.Ready() == 0 {
		return last
	}
	objective := req.class.LatencyObjective
	slack := max(objective/4, objective-req.class.latency.Usual())
	return min(last, req.arrived+slack)
}
