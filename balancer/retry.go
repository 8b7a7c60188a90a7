// Retries, and the budget that bounds them.
//
// The budget is a token bucket, as in gRPC's retry throttling (proposal A6) and Finagle's RetryBudget:
// successes fill it and each retry takes from it, so that retries stay a small share of the traffic when much
// fails. Without it the retries of every tier multiply. Requests are never hedged: a second attempt begins
// only when the first one has ended.

package balancer

import (
	"slices"
	"time"
)

// Constants of the retry budget, all counted in retries.
const (
	tokensPerSuccess = 0.15 // earned by a success
	fullCost         = 1.0  // of a retry after an attempt that may have run
	neverRanCost     = 0.1  // of a retry after an attempt that proved not to have run
	maxRetryTokens   = 10   // most that can be saved up
)

// retryBudget is the token bucket that retries are paid from.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens / 2} }

// earn pays in for a success.
func (r *retryBudget) earn() { r.tokens = min(maxRetryTokens, r.tokens+tokensPerSuccess) }

func (r *retryBudget) affords(cost float64) bool { return r.tokens >= cost }

func (r *retryBudget) spend(cost float64) { r.tokens -= cost }

// retryCost returns what a retry after this attempt costs: the less the attempt can have asked of an
// endpoint, the cheaper it is.
func retryCost(last *attempt) float64 {
	switch {
	case last.notSent:
		return 0
	case last.neverRan:
		return neverRanCost
	}
	return fullCost
}

// mayRetry says whether the effect of the request's class and the limit on attempts allow one more attempt.
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

// retryOrAnswer decides what follows when a request has no attempt in flight: a retry, if it is allowed, paid
// for, likely to be answered in time and an endpoint is eligible; else the final answer.
func (b *Balancer) retryOrAnswer(req *request) {
	left := float64(b.answerDeadline(req) - b.now)
	cost := retryCost(req.attempts[len(req.attempts)-1])
	if b.mayRetry(req) && b.retries.affords(cost) && left >= req.class.mean/2 {
		if ep := b.choose(req); ep != nil {
			b.retries.spend(cost)
			b.send(req, ep)
			return
		}
	}
	b.answer(req)
}

// dedupDeadline returns the time when the endpoints stop discarding the repeats of what may have run. 0: no
// attempt may have run, or the class has no idempotency keys. It is checked before the send here and, as a
// connection may be established late, once more by the host.
func (b *Balancer) dedupDeadline(req *request) (until time.Duration) {
	for _, a := range req.attempts {
		end := a.sent + req.class.DedupWindow - 2*b.settings.Tick
		if req.class.Effect == IdempotentByKey && !a.neverRan && (until == 0 || end < until) {
			until = max(end, 1)
		}
	}
	return until
}
