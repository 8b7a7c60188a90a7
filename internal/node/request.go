package node

import (
	"context"
	"fmt"
	"time"

	"basaltdrum/internal/upstream"
)

// request is a client's request. The front end's goroutine makes it and waits for its response; the loop and
// the goroutines of its attempts read it. Its own fields do not change once it is posted.
type request struct {
	upstream.Request               // what is forwarded, and whether an attempt may begin
	class            string        // by its target
	firstByte        time.Duration // clock time when its first byte was read; 0: receivedAt
	receivedAt       time.Duration // clock time when it was complete
	deadline         time.Duration // clock time until which the client waits
	expectedWork     time.Duration // the client's hint; 0: none
	revision         int           // of the rules that it was checked against
	response         chan response // with a buffer of one, so that the loop never blocks on it
}

// attempt is the loop's record of an attempt. The fields beside Attempt belong to the goroutine of the loop; ctx
// does not change, and ends when the attempt is cancelled.
type attempt struct {
	upstream.Attempt
	ctx               context.Context
	cancel            context.CancelFunc
	request           *request
	number            int           // of the attempt within its request, from 0
	sentAt            time.Duration // clock time
	ended             bool          // its result has been passed on
	outlivesHalfClose bool          // a cancellation waits until the client is known to have disconnected
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
