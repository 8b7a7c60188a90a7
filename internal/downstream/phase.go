package downstream

import "fmt"

// Phase is the phase of a connection's life cycle, from the first request to the close.
type Phase int

// The phases of a connection.
const (
	PhaseNew       Phase = iota // no request has been read yet
	PhaseReading                // a request's head is read, its body may not be
	PhaseActive                 // a request is open: it waits for its response
	PhaseIdle                   // the response is written, and no other request has begun
	PhaseLingering              // the last response is written; what still arrives is discarded
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
