package upstream

import (
	"sync"
)

// Request is a client's request as it is forwarded, and the one decision whether an attempt may begin for it: a client
// that has departed and the first byte of an attempt are ordered by its lock. Its maker sets the exported fields,
// which do not change once the first attempt has it.
type Request struct {
	ID             string // X-Request-Id
	Method         string
	Target         string // the request target, as the client wrote it
	IdempotencyKey string // empty: none
	ContentType    string // empty: none
	Body           []byte

	mu       sync.Mutex // guards what follows, and Attempt.begun
	departed bool       // its client has closed its connection, or may have: no further attempt begins
	begun    bool       // the first byte of an attempt may have been written
}

// MarkDeparted keeps further attempts from beginning, as the client has closed its connection or may have. It reports
// whether one has begun.
func (r *Request) MarkDeparted() (begun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departed = true
	return r.begun
}

// beginAttempt records that the first byte of an attempt is written next. It returns false if the client has
// departed; nothing may be written then.
func (r *Request) beginAttempt(a *Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.departed {
		return false
	}
	a.begun, r.begun = true, true
	return true
}
