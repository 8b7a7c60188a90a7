package upstream

import (
	"sync"

	"basaltdrum/internal/membudget"
)

// Request is a client's request as it is forwarded. It also decides whether an attempt may start for the request: its
// lock orders the client's departure and the first byte of an attempt. The caller sets the exported fields, which do
// not change once the first attempt uses them.
type Request struct {
	ID             string // X-Request-Id
	Method         string
	Target         string // the request target, as the client wrote it
	IdempotencyKey string // empty if there is none
	ContentType    string // empty if there is none
	Body           []byte
	Memory         *membudget.Reservation // of the body and the response; each attempt becomes a holder

	mu           sync.Mutex // guards the fields below, and Attempt.writeStarted
	departed     bool       // the client has closed its connection, or may have: no further attempt starts
	writeStarted bool       // the first byte of an attempt may have been written
}

// MarkDeparted records that the client has closed its connection, or may have, which prevents further attempts from
// starting. It reports whether a byte of an attempt may have been written.
func (r *Request) MarkDeparted() (writeStarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departed = true
	return r.writeStarted
}

// startWrite records that the first byte of an attempt is written next. It returns false if the client has
// departed, in which case nothing may be written.
func (r *Request) startWrite(a *Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.departed {
		return false
	}
	a.writeStarted, r.writeStarted = true, true
	return true
}
