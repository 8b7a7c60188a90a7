package balancer

import (
	"fmt"
	"time"

	"basaltdrum/balancer/internal/endpoints"
)

// EndpointState is the state of an endpoint as reported by discovery.
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
//	Capacity  float64       // relative to the other endpoints, as listed; 0: unknown
//	StartedAt time.Duration // clock time of its last start; 0: long ago
type Endpoint = endpoints.Entry

// AttemptResult is the way in which an attempt ended.
type AttemptResult int

// Attempt results. Rejected, ConnectFailed and NotSent prove that the attempt did not run.
const (
	Success            AttemptResult = iota
	ServerError                      // the endpoint responded with an error; the request may have run
	Rejected                         // the endpoint reported that it did not run the request
	TimedOut                         // no response came within the attempt's timeout
	ConnectFailed                    // no connection, or it failed before the request was written completely
	ConnectionLost                   // the connection failed later, or the response was incomplete
	Cancelled                        // cancelled by a Cancel
	NotSent                          // the host did not start the attempt
	attemptResultCount               // number of results
)

var attemptResultNames = [attemptResultCount]string{
	"success", "server error", "rejected", "timed out", "connect failed",
	"connection lost", "cancelled", "not sent",
}

// String returns the name of the result.
func (r AttemptResult) String() string {
	if r < 0 || r >= attemptResultCount {
		return fmt.Sprintf("AttemptResult(%d)", int(r))
	}
	return attemptResultNames[r]
}

// LoadReport is an endpoint's own load report, which is delayed and noisy. Absent values are negative.
type LoadReport struct {
	InFlight    float64       // requests in flight at the endpoint
	ServiceTime time.Duration // recent service time, without queueing
}

// Event is an input of Handle: one of the types below.
type Event interface{ event() }

type (
	// EndpointUpdate carries the endpoint list or changes to it.
	EndpointUpdate struct {
		Complete  bool // the complete list: endpoints that are not in it are removed
		Cached    bool // loaded from the host's cache after a restart, possibly out of date
		Endpoints []Endpoint
	}
	// SubscriptionFailed reports that a Subscribe failed or that the subscription ended.
	SubscriptionFailed struct{}
	// Request is a client's request. The Balancer ensures that it gets one final response, by Deadline.
	Request struct {
		ID           string
		Class        string
		FirstByte    time.Duration // clock time of its first byte, where its client's timeout starts; 0: now
		Deadline     time.Duration // clock time
		ExpectedWork time.Duration // by the client's hint; 0: unknown
		Retry        bool          // the client marked it as a retry
	}
	// AttemptEnded reports the result of one attempt.
	AttemptEnded struct {
		ID            string
		Attempt       int
		Endpoint      string
		Result        AttemptResult
		Latency       time.Duration
		Answered      bool // the request has its final response
		DelayedByHost bool // by a fault of the host: Result and Latency tell nothing about the endpoint
		Load          *LoadReport
	}
	// StreamStarted reports that a streamed response has started. From then on the attempt is not replaced.
	StreamStarted struct {
		ID      string
		Attempt int
	}
	// ClientGone reports that the client has disconnected and needs no response.
	ClientGone struct{ ID string }
	// ResponseDue reports that the client needs the response now, as the response to a later request waits
	// behind it: the request is answered at once.
	ResponseDue struct{ ID string }
	// Shutdown reports that the host stops: pending requests and any that still arrive are answered at once.
	Shutdown struct{}
	// Reconfigure replaces the settings; invalid settings change nothing. Requests already accepted keep
	// their class as it was, with its deadline and deduplication window. The statistics of a class are kept
	// under the same name, and so are those of the endpoints. PollDiscovery keeps its value.
	Reconfigure struct{ Settings Settings }
	// Timer reports that the timer requested by a SetTimer has fired.
	Timer struct{ Token string }
)

func (EndpointUpdate) event()     {}
func (SubscriptionFailed) event() {}
func (Request) event()            {}
func (AttemptEnded) event()       {}
func (StreamStarted) event()      {}
func (ClientGone) event()         {}
func (ResponseDue) event()        {}
func (Shutdown) event()           {}
func (Reconfigure) event()        {}
func (Timer) event()              {}

// Action is an instruction to the host: one of the types below. Actions are carried out in order.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. Attempts are numbered from 0.
	Send struct {
		ID, Endpoint string
		Timeout      time.Duration // after which the attempt ends as TimedOut
		NotAfter     time.Duration // clock time after which it must not start and ends as NotSent; 0: none
	}
	// Cancel cancels an attempt; its AttemptEnded still follows.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Reject is a final response which guarantees that a retry is harmless.
	Reject struct {
		ID         string
		RetryAfter time.Duration // delay proposed to the client; 0: none
	}
	// Fail is a final response without a guarantee.
	Fail struct{ ID string }
	// SetTimer requests a Timer with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// Subscribe requests the endpoint list and its changes from discovery.
	Subscribe struct{}
)

func (Send) action()      {}
func (Cancel) action()    {}
func (Reject) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
