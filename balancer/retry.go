// Retries: when one is allowed, and whether the budget pays for it. Requests are never hedged: a second
// attempt begins only when the first one has ended.

package balancer

import (
	"slices"
	"time"

	"basaltdrum/balancer/internal/retrybudget"
)

// retryCost returns what a retry after this attempt costs: the less the attempt can have asked of an
// endpoint, the cheaper it is.
func retryCost(last *attempt) float64 {
	switch {
	case last.notSent:
		return retrybudget.NotSentCost
	case last.neverRan:
		return retrybudget.NeverRanCost
	}
	return retrybudget.FullCost
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
	if b.mayRetry(req) && b.retries.Affords(cost) && left >= req.class.latency.Mean()/2 {
		if ep := b.choose(req); ep != nil {
			b.retries.Spend(cost)
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
