package node

import (
	"time"

	"balancer"
)

// event is what the other parts tell the loop: one of the types below.
type event interface{}

type (
	requestReceived struct{ request *request }
	clientDeparted  struct {
		request    *request
		how        departure
		at         time.Duration
		retryAfter time.Duration // when to come back, for a refusal
	}
	attemptEnded struct {
		attempt *attempt
		result  attemptOutcome
	}
	listReceived          struct{ list endpointList }
	listConfirmed         struct{} // discovery has answered that nothing has changed
	subscriptionFailed    struct{}
	discoveryUnresponsive struct{} // discovery says nothing: the list that the node last had must do
	settingsChanged       struct {
		settings balancer.Settings
		rules    *requestRules
		inForce  func(at time.Duration)
	}
	shutdownDeadline struct{} // the node ends: what is unanswered is answered now
)
