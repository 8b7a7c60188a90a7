package downstream

import "fmt"

// Phase is the phase of a connection's life cycle, from the accept to the close.
type Phase int

// The phases of a connection.
const (
	PhaseNew       Phase = iota // no request has been read yet
	PhaseReading                // a request's head has been read; its body may be incomplete
	PhaseActive                 // a request is open: it waits for its response
	PhaseIdle                   // the response is written, and the head of the next request has not been read
	PhaseLingering              // the last response is written; bytes that still arrive are discarded
)

// String returns the phase's name for logs and errors.
func (p Phase) String() string {
	switch p {
	case PhaseNew:
		return "new"
	case PhaseReading:
		return "reading"
	case PhaseActive:
		return "active"
	case PhaseIdle:
		return "idle"
	case PhaseLingering:
		return "lingering"
	}
	return fmt.Sprintf("Phase(%d)", int(p))
}
