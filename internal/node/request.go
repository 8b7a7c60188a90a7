package node

import (
	"fmt"
	"sync"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/downstream"
)

// request is a client's request. The front end's goroutine makes it and waits for its response; the loop and
// the goroutines of its attempts read it. Only the fields behind mu change once it is posted.
type request struct {
	id, class, method, target, key string
	contentType                    string
	body                           []byte
	firstByte                      time.Duration // clock time when its first byte was read; 0: receivedAt
	receivedAt                     time.Duration // clock time when it was complete
	deadline                       time.Duration // clock time until which the client waits
	expectedWork                   time.Duration // the client's hint; 0: none
	revision                       int           // of the rules that it was checked against
	response                       chan response // with a buffer of one, so that the loop never blocks on it

	mu       sync.Mutex
	departed bool // its client has closed its connection, or may have: no further attempt begins
	begun    bool // the first byte of an attempt may have been written
}

// beginAttempt records that the first byte of an attempt is written next. It returns false if the client has
// departed; nothing may be written then.
func (r *request) beginAttempt(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.departed {
		return false
	}
	a.begun, r.begun = true, true
	return true
}

// markDeparted keeps further attempts from beginning, and reports whether one has begun.
func (r *request) markDeparted() (begun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departed = true
	return r.begun
}

// hasBegun reports whether a byte of the attempt may have been written.
func (a *attempt) hasBegun() bool {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return a.begun
}

// response is the one final answer to a request.
type response struct {
	kind        responseKind
	body        []byte        // if served
	contentType string        // if served; empty: the endpoint sent none
	retryAfter  time.Duration // if rejected; 0: none
	reason      *requestError // if invalid
}

// responseKind decides the status of a response.
type responseKind int

const (
	responseServed      responseKind = iota // by an endpoint
	responseRejected                        // not forwarded: the client may retry elsewhere
	responseFailed                          // forwarded, and no answer came back
	responseDuplicateID                     // a request with this id is pending
	responseInvalid                         // new settings came into force between its check and the module
)

// String names the kind for logs.
func (k responseKind) String() string {
	switch k {
	case responseServed:
		return "served"
	case responseRejected:
		return "rejected"
	case responseFailed:
		return "failed"
	case responseDuplicateID:
		return "duplicate id"
	case responseInvalid:
		return "invalid"
	}
	return fmt.Sprintf("responseKind(%d)", int(k))
}

// requestState is a request that is pending: it is not answered, or it has attempts in flight. It belongs to the
// goroutine of the loop.
type requestState struct {
	request    *request
	attempts   []*attempt // all that were started, by their number
	inFlight   int        // attempts that have not ended
	answered   bool
	departed   downstream.Departure // anything but present: the module was notified that the client is gone
	retryAfter time.Duration        // for the answer, should the request be rejected after its client has departed
	mayHaveRun bool                 // an attempt that has ended may have been executed by its endpoint
}

// handleDeparture stops retries for a client that has closed its connection, or may have; the module is notified
// once that the client is gone. A client that has only closed its sending side may still read the answer of an
// attempt that has begun, so such an attempt goes on until the client is known to be gone.
func (l *loop) handleDeparture(e clientDeparted) {
	l.noteLag(e.at)
	state := l.pending[e.request.id]
	if state == nil || state.request != e.request || state.answered {
		return
	}
	first := state.departed == downstream.Present
	state.departed, state.retryAfter = e.how, e.retryAfter
	if first {
		l.traffic.Departed++
		l.decide(e.at, balancer.ClientGone{ID: e.request.id})
	}
	if e.how == downstream.Disconnected {
		state.answered = true // no client is left to read an answer
		l.cancelOutliving(state)
		l.forget(state)
		return
	}
	l.respondUnlessBegun(state)
}

// respondUnlessBegun answers the request of a departed client, unless an attempt that has begun may still bring
// an answer that the client reads.
func (l *loop) respondUnlessBegun(state *requestState) {
	if state.answered {
		return
	}
	for _, a := range state.attempts {
		if state.departed == downstream.HalfClosed && !a.ended && a.hasBegun() {
			return
		}
	}
	l.respondToDeparted(state)
}

// respondToDeparted gives the request of a departed client its final answer, which the module leaves out for a
// client that is gone. It rejects the request unless an attempt may have been executed.
func (l *loop) respondToDeparted(state *requestState) {
	executed := state.mayHaveRun
	for _, a := range state.attempts {
		executed = executed || !a.ended && a.hasBegun()
	}
	if executed {
		l.finish(state.request.id, response{kind: responseFailed})
	} else {
		l.finish(state.request.id, response{kind: responseRejected, retryAfter: state.retryAfter})
	}
}

// cancel cancels an attempt, unless its client may still read what the attempt brings: then it goes on until the
// request is answered.
func (l *loop) cancel(state *requestState, a *attempt) {
	a.outlivesHalfClose = state.departed == downstream.HalfClosed && a.hasBegun()
	if !a.outlivesHalfClose {
		a.cancel()
	}
}

// cancelOutliving cancels the attempts that went on for a client that had closed its sending side.
func (l *loop) cancelOutliving(state *requestState) {
	for _, a := range state.attempts {
		if a.outlivesHalfClose {
			a.cancel()
		}
	}
}

// finish answers a request, unless it is answered, without an endpoint's answer.
func (l *loop) finish(id string, answer response) {
	state := l.pending[id]
	if state == nil || state.answered {
		return
	}
	if answer.kind == responseRejected {
		l.traffic.Rejected++
	} else {
		l.traffic.Failed++
	}
	l.respond(state, answer)
	l.forget(state)
}

// respond hands the answer to the goroutine that waits for it.
func (l *loop) respond(state *requestState, answer response) {
	state.answered = true
	state.request.response <- answer
	l.cancelOutliving(state)
}

// forget drops a request that is answered and has no attempt in flight; the module does so by the same rule.
func (l *loop) forget(state *requestState) {
	if state.answered && state.inFlight == 0 {
		delete(l.pending, state.request.id)
	}
}
