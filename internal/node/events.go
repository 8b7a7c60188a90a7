package node

import (
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/downstream"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/upstream"
)

// Event is a message to the loop from another goroutine: one of the types of this file. String names it for logs and
// for messages of tests.
type Event interface{ String() string }

// requestReceived carries a complete request that the front end has checked.
type requestReceived struct{ request *request }

// NewRequestEvent returns the event of a request that came on no connection, and the channel that receives its one
// response. now and deadline are clock times, of the call and until which its maker waits.
func NewRequestEvent(id, class string, now, deadline time.Duration) (Event, <-chan Response) {
	r := &request{
		Request: upstream.Request{ID: id}, class: class, receivedAt: now, deadline: deadline,
		revision: initialRevision, response: make(chan Response, 1),
	}
	return requestReceived{r}, r.response
}

// clientDeparted reports that the client of a waiting request has closed its connection, or may have.
type clientDeparted struct {
	request    *request
	departure        downstream.Departure
	at         time.Duration // clock time when it was seen
	retryAfter time.Duration // for the answer, should the request be rejected
}

// attemptEnded carries the outcome of an attempt. It is posted once for each attempt that was started.
type attemptEnded struct {
	attempt *Attempt
	result  upstream.Outcome
}

// listReceived carries an endpoint list, or the changes to it, from discovery.
type listReceived struct{ list endpointlist.List }

// listConfirmed reports that discovery has answered and that nothing has changed.
type listConfirmed struct{}

// subscriptionFailed reports that a poll of discovery has failed.
type subscriptionFailed struct{}

// discoveryUnresponsive reports that discovery has not answered since the start of the process, so that the
// cached list has to do.
type discoveryUnresponsive struct{}

// settingsChanged carries new settings. The loop calls inForce once the module has them.
type settingsChanged struct {
	settings balancer.Settings
	rules    *requestRules
	onApplied  func(at time.Duration)
}

// shutdownDeadline reports that the time for draining is over: every request that still waits is answered now.
type shutdownDeadline struct{}

func (requestReceived) String() string       { return "request received" }
func (clientDeparted) String() string        { return "client departed" }
func (attemptEnded) String() string          { return "attempt ended" }
func (listReceived) String() string          { return "list received" }
func (listConfirmed) String() string         { return "list confirmed" }
func (subscriptionFailed) String() string    { return "subscription failed" }
func (discoveryUnresponsive) String() string { return "discovery unresponsive" }
func (settingsChanged) String() string       { return "settings changed" }
func (shutdownDeadline) String() string      { return "shutdown deadline" }
