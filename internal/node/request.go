package node

import (
	"sync"
	"time"

	"balancer"
)

// call is a caller's request, as it came.
type request struct {
	id, class, method, target, key string
	contentType                    string
	body                           []byte
	firstByte                      time.Duration // clock time when its first byte was read; 0: at
	receivedAt                     time.Duration // clock time when it was complete
	deadline                       time.Duration // clock time until which the client waits
	expectedWork                   time.Duration // hinted; 0: not told
	revision                       int           // of the rules that it was checked against
	response                       chan response // takes one answer without blocking

	mu       sync.Mutex
	departed bool // its caller has left, or may have: no attempt of it is to begin any more
	begun    bool // one has begun
}

// begin notes that the first byte of an attempt is written next, unless its caller has departed.
func (c *request) beginAttempt(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.departed {
		return false
	}
	a.begun, c.begun = true, true
	return true
}

// depart keeps further attempts from beginning, and tells whether one has begun.
func (c *request) markDeparted() (begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departed = true
	return c.begun
}

// hasBegun says that a byte of an attempt may have been written.
func (a *attempt) hasBegun() bool {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return a.begun
}

// answer is the one final answer to a call.
type response struct {
	kind        responseKind
	body        []byte // for served
	contentType string // for served: the Content-Type
	retryAfter  time.Duration
	reason      *requestError // for unfit
}

type responseKind int

const (
	responseServed responseKind = iota
	responseRejected
	responseFailed
	responseDuplicateID // the id is in use
	responseInvalid     // new rules came between its check and the module
)

// pending is a call that the module still knows: unanswered, or with attempts out.
type requestState struct {
	request    *request
	attempts   []*attempt
	inFlight   int
	answered   bool
	departed   departure     // to the module its client has gone, unless this is present
	retryAfter time.Duration // for a refusal then
	mayHaveRun bool          // an attempt that has ended may have run
}

// depart has no further attempt made for a caller that has left, or whose leaving can't be seen: to the
// module its client has gone. One that has only stopped sending gets the answer of an attempt that has
// begun, which goes on unless the caller is known to be gone.
func (l *loop) handleDeparture(p *requestState, e clientDeparted) {
	first := p.departed == present
	p.departed, p.retryAfter = e.how, e.retryAfter
	if first {
		l.traffic.Departed++
		l.decide(e.at, balancer.ClientGone{ID: e.request.id})
	}
	if e.how == disconnected {
		p.answered = true // nobody reads one
		l.cancelAttempts(p)
		l.forget(p)
		return
	}
	l.respondUnlessBegun(p)
}

// answerUnlessBegun answers a departed caller unless an attempt may still bring an answer that it reads.
func (l *loop) respondUnlessBegun(p *requestState) {
	if p.answered {
		return
	}
	for _, a := range p.attempts {
		if p.departed == halfClosed && !a.ended && a.hasBegun() {
			return
		}
	}
	l.respondToDeparted(p)
}

// answerDeparted gives a departed caller the final answer that the module leaves out: a refusal unless an attempt
// may have run.
func (l *loop) respondToDeparted(p *requestState) {
	ran := p.mayHaveRun
	for _, a := range p.attempts {
		ran = ran || !a.ended && a.hasBegun()
	}
	if ran {
		l.finish(p.request.id, response{kind: responseFailed})
	} else {
		l.finish(p.request.id, response{kind: responseRejected, retryAfter: p.retryAfter})
	}
}

// cancel calls an attempt off, or later if its caller may still read what it brings.
func (l *loop) cancel(p *requestState, a *attempt) {
	if a.outlivesHalfClose = p.departed == halfClosed && a.hasBegun(); !a.outlivesHalfClose {
		a.cancel()
	}
}

// cancelKept calls off the attempts that went on for a caller that had only stopped sending.
func (l *loop) cancelAttempts(p *requestState) {
	for _, a := range p.attempts {
		if a.outlivesHalfClose {
			a.cancel()
		}
	}
}

func (l *loop) finish(id string, a response) {
	p := l.pending[id]
	if p == nil || p.answered {
		return
	}
	if a.kind == responseRejected {
		l.traffic.Rejected++
	} else {
		l.traffic.Failed++
	}
	l.respond(p, a)
	l.forget(p)
}

func (l *loop) respond(p *requestState, a response) {
	p.answered = true
	p.request.response <- a
	l.cancelAttempts(p)
}

// forget drops a call once nothing of it is left, as the module does.
func (l *loop) forget(p *requestState) {
	if p.answered && p.inFlight == 0 {
		delete(l.pending, p.request.id)
	}
}
