package node

import (
	"fmt"
	"sync"
	"time"
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
