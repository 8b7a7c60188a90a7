package node

import (
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/downstream"
)

// pendingRequest is a request that is not answered, or has attempts in flight. It follows what its attempts and its
// client do: which attempts are in flight, whether one may have run, whether the client has departed, and whether the
// request is answered, which happens once. It belongs to the goroutine of the loop.
type pendingRequest struct {
	request    *request
	attempts   []*Attempt // all that were started, by their number
	inFlight   int        // attempts that have not ended
	answered   bool
	departure   downstream.Departure // anything but Present: the module was notified that the client has departed
	retryAfter time.Duration        // for the answer, should the request be rejected after its client has departed
	mayHaveRun bool                 // an attempt that has ended may have been executed by its endpoint
}

// addAttempt records that an attempt is started.
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

// cancelAttempt cancels an attempt, unless the client may still read what the attempt brings: then it continues until
// the request is answered.
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

// answer hands the final response to the goroutine that waits for it.
func (p *pendingRequest) answer(final Response) {
	p.answered = true
	p.request.response <- final
	p.cancelDeferredAttempts()
}

// abandon ends a request that no client is left to read an answer of.
func (p *pendingRequest) abandon() {
	p.answered = true
	p.cancelDeferredAttempts()
}

// cancelDeferredAttempts cancels the attempts that went on for a client that had closed its sending side.
func (p *pendingRequest) cancelDeferredAttempts() {
	for _, a := range p.attempts {
		if a.cancelDeferred {
			a.cancel()
		}
	}
}

// recordDeparture records that the client has departed, and reports whether this is the first time.
func (p *pendingRequest) recordDeparture(how downstream.Departure, retryAfter time.Duration) (first bool) {
	first = p.departure == downstream.Present
	p.departure, p.retryAfter = how, retryAfter
	return first
}

// hasDeparted reports whether the client has departed.
func (p *pendingRequest) hasDeparted() bool { return p.departure != downstream.Present }

// canBeServed reports whether an attempt that has begun may still bring an answer that a departed client reads.
func (p *pendingRequest) canBeServed() bool {
	return p.departure == downstream.HalfClosed && p.hasWriteStarted()
}

// hasWriteStarted reports whether a byte of an attempt that is in flight may have been written.
func (p *pendingRequest) hasWriteStarted() bool {
	for _, a := range p.attempts {
		if !a.ended && a.WriteStarted() {
			return true
		}
	}
	return false
}

// departedResponse returns the final response to a departed client, which the module leaves out for one that has
// departed: a rejection, unless an attempt may have been executed.
func (p *pendingRequest) departedResponse() Response {
	if p.mayHaveRun || p.hasWriteStarted() {
		return Response{Kind: ResponseFailed}
	}
	return Response{Kind: ResponseRejected, retryAfter: p.retryAfter}
}

// isDone reports whether the request is answered and has no attempt in flight. The module forgets a request by the
// same rule.
func (p *pendingRequest) isDone() bool { return p.answered && p.inFlight == 0 }
