package node

import (
	"context"
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
	response         chan Response // with a buffer of one, so that the loop never blocks on it
}

// Attempt is the loop's record of an attempt. The fields beside upstream.Attempt belong to the goroutine of the loop;
// ctx does not change, and ends when the attempt is cancelled.
type Attempt struct {
	upstream.Attempt
	ctx               context.Context
	cancel            context.CancelFunc
	request           *request
	number            int           // of the attempt within its request, from 0
	sentAt            time.Duration // clock time
	ended             bool          // its result has been passed on
	cancelDeferred bool          // a cancellation waits until the client is known to have disconnected
}

// Done returns a channel that is closed when the attempt is cancelled.
func (a *Attempt) Done() <-chan struct{} { return a.ctx.Done() }

// EndedEvent returns the event that reports the attempt's outcome. It is due once for each attempt that was started.
func (a *Attempt) EndedEvent(outcome upstream.Outcome) Event {
	a.cancel()
	return attemptEnded{a, outcome}
}
