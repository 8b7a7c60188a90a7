package node

import (
	"context"
	"time"

	"basaltdrum/internal/upstream"
)

// request is a request from a client. The front end creates it and waits for its response; the loop and the goroutines
// of its attempts read it. The fields declared here do not change once the request is posted to the loop.
type request struct {
	upstream.Request               // what is forwarded, and whether writing it may still start
	class            string        // the class that its target names
	firstByte        time.Duration // clock time when its first byte was read; 0: same as receivedAt
	receivedAt       time.Duration // clock time when it was read completely
	deadline         time.Duration // clock time until which the client waits
	expectedWork     time.Duration // hint from the client; 0: none
	revision         int           // revision of the requestRules that it was validated against
	response         chan Response // has a buffer of one, so that the loop never blocks on it
}

// Attempt is an attempt as the loop tracks it. Only the loop's goroutine uses the fields declared here, except ctx,
// which does not change and ends when the attempt is cancelled.
type Attempt struct {
	upstream.Attempt
	ctx            context.Context
	cancel         context.CancelFunc
	request        *request
	number         int           // counts the attempts of the request from 0
	sentAt         time.Duration // clock time when the attempt was started
	ended          bool          // its outcome has been handled
	cancelDeferred bool          // cancelled once the request is answered or its client has disconnected
}

// Done returns a channel that is closed when the attempt is cancelled.
func (a *Attempt) Done() <-chan struct{} { return a.ctx.Done() }

// EndedEvent returns the event that reports the outcome of the attempt, and releases its context. It must be posted to
// the loop exactly once for each attempt that was started.
func (a *Attempt) EndedEvent(outcome upstream.Outcome) Event {
	a.cancel()
	return attemptEnded{a, outcome}
}
