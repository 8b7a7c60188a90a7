package balancer

import (
	"fmt"
	"time"

	"basaltdrum/balancer/internal/endpoints"
)

// EndpointState is what discovery says of an endpoint.
type EndpointState = endpoints.State

// Endpoint states.
const (
	Ready    = endpoints.Ready
	Draining = endpoints.Draining
	Removed  = endpoints.Removed
)

// Endpoint is an entry of the endpoint list, with these fields:
//
//	ID, Zone  string
//	Cell      int
//	State     EndpointState
//	Capacity  float64       // against other endpoints, as listed; 0: unknown
//	StartedAt time.Duration // clock time of its last start; 0: long ago
type Endpoint = endpoints.Entry

// AttemptResult says how an attempt ended.
type AttemptResult int

// Attempt results. Rejected, ConnectFailed and NotSent prove that the attempt never ran.
const (
	Success            AttemptResult = iota
	ServerError                      // the endpoint answered with an error; the request may have run
	Rejected                         // the endpoint says that it did not run the request
	TimedOut                         // no answer came within the attempt's time
	ConnectFailed                    // no connection, or it broke before the request was written completely
	ConnectionLost                   // it broke later, or the answer was not complete
	Cancelled                        // called off by a Cancel
	NotSent                          // the host did not begin it
	attemptResultCount               // how many there are
)

var attemptResultNames = [attemptResultCount]string{
	"success", "server error", "rejected", "timed out", "connect failed",
	"connection lost", "cancelled", "not sent",
}

// String returns the result in words.
func (r AttemptResult) String() string {
	if r < 0 || r >= attemptResultCount {
		return fmt.Sprintf("AttemptResult(%d)", int(r))
	}
	return attemptResultNames[r]
}

// LoadReport is an endpoint's own report, late and noisy. Absent values are negative.
type LoadReport struct {
	InFlight    float64       // requests that it holds
	ServiceTime time.Duration // recent service time without queueing
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// EndpointUpdate brings the endpoint list, or changes of it.
	EndpointUpdate struct {
		Complete  bool // the complete list: an endpoint that it does not name is removed
		Cached    bool // as the host knew it before a restart, possibly out of date
		Endpoints []Endpoint
	}
	// SubscriptionFailed says that a Subscribe failed or that the subscription ended.
	SubscriptionFailed struct{}
	// Request is a client's request; the Balancer owes it one final answer by Deadline.
	Request struct {
		ID           string
		Class        string
		FirstByte    time.Duration // clock time of its first byte, from which its client counts; 0: now
		Deadline     time.Duration // clock time
		ExpectedWork time.Duration // by the client's hint; 0: unknown
		Retry        bool          // the client marked it as a retry
	}
	// AttemptEnded tells the result of one attempt.
	AttemptEnded struct {
		ID       string
		Attempt  int
		Endpoint string
		Result   AttemptResult
		Latency  time.Duration
		Answered bool // the request has its final answer
		HeldUp   bool // a fault of the host delayed it: result and latency say nothing of the endpoint
		Load     *LoadReport
	}
	// StreamStarted says that a streamed answer has begun: the attempt is the client's from here on.
	StreamStarted struct {
		ID      string
		Attempt int
	}
	// ClientGone says that the client left; nothing more is owed.
	ClientGone struct{ ID string }
	// Shutdown says that the host ends: every request is answered now, and any that still comes at once.
	Shutdown struct{}
	// Reconfigure brings new settings, in force from then on; settings that can't be used change nothing.
	// A request already accepted keeps its class as it was, with its deadline and its window for repeats.
	// A class of the same name keeps what was learned of it, and so do endpoints. PollDiscovery stays as
	// it was.
	Reconfigure struct{ Settings Settings }
	// Timer is a SetTimer that is due.
	Timer struct{ Token string }
)

func (EndpointUpdate) event()     {}
func (SubscriptionFailed) event() {}
func (Request) event()            {}
func (AttemptEnded) event()       {}
func (StreamStarted) event()      {}
func (ClientGone) event()         {}
func (Shutdown) event()           {}
func (Reconfigure) event()        {}
func (Timer) event()              {}

// Action is something that the host must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. Attempts are numbered from 0.
	Send struct {
		ID, Endpoint string
		Timeout      time.Duration // after which the attempt ends as TimedOut
		NotAfter     time.Duration // clock time after which it must not begin and is NotSent; 0: none
	}
	// Cancel calls off an attempt; its AttemptEnded still comes.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Reject is a final answer that promises that a retry does no harm.
	Reject struct {
		ID         string
		RetryAfter time.Duration // advice to the client; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// SetTimer asks for a Timer with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// Subscribe asks discovery for the endpoint list and its changes.
	Subscribe struct{}
)

func (Send) action()      {}
func (Cancel) action()    {}
func (Reject) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
