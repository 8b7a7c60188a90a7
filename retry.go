// Retries: the retry budget, and what may be retried.

package balancer

import (
	"slices"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	tokensPerSuccess = 0.15 // further attempts earned by a success
	neverRanCost     = 0.1  // what a further attempt costs when the last one never ran
	maxRetryTokens   = 10   // most that can be saved up
	hangingShare     = 0.05 // share of a class's attempts that may fail before a call that hangs is cut short
)

// mayRetry says that the class's effect and the limits allow one more attempt now.
func (b *Balancer) mayRetry(req *request) bool {
	if req.answered || req.streaming || len(req.attempts) >= max(1, b.settings.MaxAttempts) {
		return false
	}
	if until := b.dedupDeadline(req); until > 0 && b.now >= until {
		return false
	}
	ran := func(a *attempt) bool { return !a.neverRan }
	return req.class.Effect != NonIdempotent || !slices.ContainsFunc(req.attempts, ran)
}

// retryOrAnswer decides what follows when no attempt is left out: another within the budget and with
// time for an answer, or the final answer. Without the budget, retries of every tier multiply.
func (b *Balancer) retryOrAnswer(req *request) {
	left := float64(b.answerDeadline(req) - b.now)
	cost := 1.0
	switch last := req.attempts[len(req.attempts)-1]; {
	case last.notSent:
		cost = 0
	case last.neverRan:
		cost = neverRanCost
	}
	if b.mayRetry(req) && b.tokens >= cost && left >= req.class.mean/2 {
		if ep := b.choose(req); ep != nil {
			b.tokens -= cost
			b.send(req, ep)
			return
		}
	}
	b.answer(req)
}

// dedupDeadline is when the servers stop discarding the repeats of what may have run; 0: nothing did, or
// the class has no keys. It is asked before the send and, as a connection may come up late, by the host.
func (b *Balancer) dedupDeadline(req *request) (until time.Duration) {
	for _, a := range req.attempts {
		end := a.sent + req.class.DedupWindow - 2*b.settings.Tick
		if req.class.Effect == IdempotentByKey && !a.neverRan && (until == 0 || end < until) {
			until = max(end, 1)
		}
	}
	return until
}

// attemptTimeout is how long an attempt is waited for. A server that lets a call hang takes all the time that
// the
// request has: where that happens, one that may run again gives it half, if nearly all answers come within
// that. It hurts where a request is long by itself; in the first tier the work below would be for nothing.
func (b *Balancer) attemptTimeout(req *request) time.Duration {
	c, left := req.class, b.answerDeadline(req)-b.now
	again := c.Effect == Idempotent && len(req.attempts) < b.settings.MaxAttempts && b.tokens >= 1
	if again && b.settings.Tier > 0 && c.failureShare > hangingShare && left/2 > b.slowLatency(c) {
		return left / 2
	}
	return left
}

// answerDeadline is when an answer stops being worth anything: work that goes on after it takes the room of
// answers in time. Below the first tier only the deadline is known.
func (b *Balancer) answerDeadline(req *request) time.Duration {
	if b.settings.Tier > 0 || req.class.LateValue > 0 || req.retry {
		return req.deadline
	}
	return min(req.deadline, req.arrived+req.class.LatencyObjective-2*b.settings.Tick)
}
