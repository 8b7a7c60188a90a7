package node

import (
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/downstream"
)

// pendingRequest is a request that is not answered or has attempts in flight. It tracks which attempts are in flight,
// whether one may have been executed, whether the client has departed, and whether the request is answered, which
// happens once. Only the loop's goroutine uses it.
type pendingRequest struct {
	request    *request
	attempts   []*Attempt // all attempts that were started, indexed by their number
	inFlight   int        // number of attempts that have not ended
	answered   bool
	departure  downstream.Departure // if not Present, the module was told that the client has departed
	retryAfter time.Duration        // Retry-After of the response if the request is rejected later
	mayHaveRun bool                 // an endpoint may have executed an attempt that has ended
}

// addAttempt records that an attempt was started.
func (p *pendingRequest) addAttempt(a *Attempt) {
	p.attempts = append(p.attempts, a)
	p.inFlight++
}

// endAttempt records that an attempt has ended.
func (p *pendingRequest) endAttempt(a *Attempt, result balancer.AttemptResult) {
	p.inFlight--
	a.ended = true
	switch result {
	case balancer.ConnectFailed, balancer.Rejected, balancer.NotSent:
	default:
		p.mayHaveRun = p.mayHaveRun || a.WriteStarted()
	}
}

// cancelAttempt cancels an attempt. If the client has half-closed its connection and may still read the response of the
// attempt, the cancellation is deferred until the request is answered or the client has disconnected.
func (p *pendingRequest) cancelAttempt(number int) {
	if number >= len(p.attempts) {
		return
	}
	a := p.attempts[number]
	a.cancelDeferred = p.departure == downstream.HalfClosed && a.WriteStarted()
	if !a.cancelDeferred {
		a.cancel()
	}
}

// answer sends the final response to the goroutine that waits for it.
func (p *pendingRequest) answer(final Response) {
	p.answered = true
	p.request.response <- final
	p.cancelDeferredAttempts()
}

// abandon marks a request as answered without a response, because its client has disconnected.
func (p *pendingRequest) abandon() {
	p.answered = true
	p.cancelDeferredAttempts()
}

// cancelDeferredAttempts cancels the attempts whose cancellation was deferred for a half-closed client.
func (p *pendingRequest) cancelDeferredAttempts() {
	for _, a := range p.attempts {
		if a.cancelDeferred {
			a.cancel()
		}
	}
}

// recordDeparture records that the client has departed, and reports whether this is its first departure event.
func (p *pendingRequest) recordDeparture(departure downstream.Departure, retryAfter time.Duration) (first bool) {
	first = p.departure == downstream.Present
	p.departure, p.retryAfter = departure, retryAfter
	return first
}

// hasDeparted reports whether the client has departed.
func (p *pendingRequest) hasDeparted() bool { return p.departure != downstream.Present }

// canBeServed reports whether an attempt in flight may still bring a response that a departed client reads.
func (p *pendingRequest) canBeServed() bool {
	return p.departure == downstream.HalfClosed && p.hasWriteStarted()
}

// hasWriteStarted reports whether a byte of an attempt in flight may have been written.
func (p *pendingRequest) hasWriteStarted() bool {
	for _, a := range p.attempts {
		if !a.ended && a.WriteStarted() {
			return true
		}
	}
	return false
}

// departedResponse returns the final response to a departed client: a rejection, unless an endpoint may have executed
// an attempt. The module decides no response for a departed client.
func (p *pendingRequest) departedResponse() Response {
	if p.mayHaveRun || p.hasWriteStarted() {
		return Response{Kind: ResponseFailed}
	}
	return Response{Kind: ResponseRejected, retryAfter: p.retryAfter}
}

// isDone reports whether the request is answered and has no attempt in flight. The module drops requests by the same
// rule.
func (p *pendingRequest) isDone() bool { return p.answered && p.inFlight == 0 }
