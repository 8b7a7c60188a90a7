package node

import (
	"context"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/downstream"
	"basaltdrum/internal/upstream"
)

// newPendingRequest returns a pending request with a number of attempts in flight, none of which has been written.
func newPendingRequest(attempts int) *pendingRequest {
	r := &request{Request: upstream.Request{ID: "r"}, response: make(chan Response, 1)}
	p := &pendingRequest{request: r}
	for number := range attempts {
		ctx, cancel := context.WithCancel(context.Background())
		p.addAttempt(&Attempt{
			Attempt: upstream.Attempt{Request: &r.Request}, ctx: ctx, cancel: cancel, request: r, number: number,
		})
	}
	return p
}

// A request is done once it is answered and its attempts have ended, in either order.
func TestPendingRequestIsDoneOnceAnsweredAndAttemptsEnded(t *testing.T) {
	p := newPendingRequest(2)
	p.endAttempt(p.attempts[0], balancer.ConnectFailed)
	p.answer(Response{Kind: ResponseFailed})
	if p.isDone() {
		t.Error("got done with an attempt in flight, want not done")
	}
	p.endAttempt(p.attempts[1], balancer.NotSent)
	if !p.isDone() || (<-p.request.response).Kind != ResponseFailed {
		t.Error("got not done or another response, want done with ResponseFailed after the last attempt")
	}
	p = newPendingRequest(1)
	p.endAttempt(p.attempts[0], balancer.NotSent)
	if p.isDone() {
		t.Error("got done before the response, want not done")
	}
	if p.abandon(); !p.isDone() || len(p.request.response) > 0 {
		t.Error("got not done or a response after abandon, want done without a response")
	}
}

// An attempt that has not been written is cancelled even for a half-closed client. The number of an attempt that does
// not exist is ignored.
func TestUnwrittenAttemptIsCancelled(t *testing.T) {
	p := newPendingRequest(1)
	p.recordDeparture(downstream.HalfClosed, 0)
	p.cancelAttempt(1)
	if p.attempts[0].ctx.Err() != nil {
		t.Error("got attempt 0 cancelled by the number of another one, want it in flight")
	}
	if p.cancelAttempt(0); p.attempts[0].ctx.Err() == nil {
		t.Error("got attempt 0 in flight, want it cancelled")
	}
}

// The request of a client that departed before an attempt was written is rejected, with the Retry-After of the last
// departure.
func TestDepartedClientIsRejectedIfNothingWasWritten(t *testing.T) {
	p := newPendingRequest(1)
	if !p.recordDeparture(downstream.HalfClosed, time.Second) ||
		p.recordDeparture(downstream.Disconnected, 2*time.Second) {
		t.Error("got the first departure not reported as first, or the second one, want only the first reported")
	}
	if p.canBeServed() {
		t.Error("got canBeServed without a written attempt, want false")
	}
	if got := p.departedResponse(); got.Kind != ResponseRejected || got.retryAfter != 2*time.Second {
		t.Errorf("got %v with Retry-After %v, want rejected with 2s", got.Kind, got.retryAfter)
	}
}
