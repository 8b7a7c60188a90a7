package node

import (
	"context"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/downstream"
	"basaltdrum/internal/upstream"
)

// newPendingRequest returns a pending request with a number of attempts in flight, none of which has begun.
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

// A request is over once it is answered and its attempts have ended, in either order.
func TestPendingRequestIsOverOnceAnsweredAndEnded(t *testing.T) {
	p := newPendingRequest(2)
	p.endAttempt(p.attempts[0], balancer.ConnectFailed)
	p.answer(Response{Kind: ResponseFailed})
	if p.isDone() {
		t.Error("over with an attempt in flight")
	}
	p.endAttempt(p.attempts[1], balancer.NotSent)
	if !p.isDone() || (<-p.request.response).Kind != ResponseFailed {
		t.Error("not over, though it is answered and its attempts have ended")
	}
	p = newPendingRequest(1)
	p.endAttempt(p.attempts[0], balancer.NotSent)
	if p.isDone() {
		t.Error("over before it is answered")
	}
	if p.abandon(); !p.isDone() || len(p.request.response) > 0 {
		t.Error("not over, or answered, though no client is left")
	}
}

// An attempt that has not begun is cancelled for any client, and one that there is not is ignored.
func TestAttemptNotBegunIsCancelled(t *testing.T) {
	p := newPendingRequest(1)
	p.recordDeparture(downstream.HalfClosed, 0)
	p.cancelAttempt(1)
	if p.attempts[0].ctx.Err() != nil {
		t.Error("another attempt was cancelled")
	}
	if p.cancelAttempt(0); p.attempts[0].ctx.Err() == nil {
		t.Error("not cancelled")
	}
}

// A client that has departed before an attempt has begun is rejected, with the Retry-After of its departure.
func TestDepartedClientIsRejectedIfNothingBegan(t *testing.T) {
	p := newPendingRequest(1)
	if !p.recordDeparture(downstream.HalfClosed, time.Second) ||
		p.recordDeparture(downstream.Disconnected, 2*time.Second) {
		t.Error("the first of two departures is not the first")
	}
	if p.canBeServed() {
		t.Error("an attempt that has not begun may serve a departed client")
	}
	if got := p.departedResponse(); got.Kind != ResponseRejected || got.retryAfter != 2*time.Second {
		t.Errorf("got %v with Retry-After %v", got.Kind, got.retryAfter)
	}
}
