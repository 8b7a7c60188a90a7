package node

import (
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/downstream"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/upstream"
)

// Event is a message from another goroutine to the loop. The types in this file implement it. String returns its name
// for logs and test messages.
type Event interface{ String() string }

// requestReceived carries a complete request that the front end has validated.
type requestReceived struct{ request *request }

// NewRequestEvent returns the event for a request that did not arrive on a client connection, and the channel that
// receives its only response. now and deadline are clock times: the time of the request, and the time until which the
// caller waits for the response.
func NewRequestEvent(id, class string, now, deadline time.Duration) (Event, <-chan Response) {
	req := &request{
		Request: upstream.Request{ID: id}, class: class, receivedAt: now, deadline: deadline,
		revision: initialRevision, response: make(chan Response, 1),
	}
	return requestReceived{req}, req.response
}

// clientDeparted reports that the client of a waiting request has closed its connection or may have closed it.
type clientDeparted struct {
	request    *request
	departure  downstream.Departure
	at         time.Duration // clock time when it was detected
	retryAfter time.Duration // Retry-After of the response if the request is rejected
}

// responseDue reports that a request must be answered although its deadline has not passed, because the response to
// another one that its client has sent ahead waits for it.
type responseDue struct {
	request *request
	at      time.Duration // clock time when it was noticed
}

// attemptEnded carries the outcome of an attempt. It is posted once for each attempt that was started.
type attemptEnded struct {
	attempt *Attempt
	result  upstream.Outcome
}

// listReceived carries a complete endpoint list, or changes to it, from discovery.
type listReceived struct{ list endpointlist.List }

// listConfirmed reports that discovery has answered and the list has not changed.
type listConfirmed struct{}

// discoveryMoved reports that the lists that follow are those of another address of discovery.
type discoveryMoved struct{}

// subscriptionFailed reports that a poll of discovery has failed.
type subscriptionFailed struct{}

// discoveryUnresponsive reports that discovery has not answered since the start of the process, so that the cached list
// has to be used.
type discoveryUnresponsive struct{}

// settingsChanged carries new settings. The loop calls onApplied once the decision module has them.
type settingsChanged struct {
	settings  balancer.Settings
	rules     *requestRules
	onApplied func(at time.Duration)
}

// shutdownDeadline reports that the time for draining is over: every request that is still pending is answered now.
type shutdownDeadline struct{}

func (requestReceived) String() string       { return "request received" }
func (clientDeparted) String() string        { return "client departed" }
func (responseDue) String() string           { return "response due" }
func (attemptEnded) String() string          { return "attempt ended" }
func (listReceived) String() string          { return "list received" }
func (listConfirmed) String() string         { return "list confirmed" }
func (discoveryMoved) String() string        { return "discovery moved" }
func (subscriptionFailed) String() string    { return "subscription failed" }
func (discoveryUnresponsive) String() string { return "discovery unresponsive" }
func (settingsChanged) String() string       { return "settings changed" }
func (shutdownDeadline) String() string      { return "shutdown deadline" }
