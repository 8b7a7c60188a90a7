package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/netdial"
)

var (
	// errAttemptObsolete reports that an attempt became pointless or harmful before it was begun.
	errAttemptObsolete = errors.New("the attempt is obsolete")
	// errConnUnusable reports that a request could not be begun on an open connection.
	errConnUnusable = errors.New("the connection is unusable")
)

// Limits of the time that is left for an attempt.
const (
	minRemainingTime = time.Millisecond     // an attempt with less time left is not begun
	transitAllowance = 5 * time.Millisecond // subtracted for the ways from the client and to the endpoint
)

// Attempt is one attempt to have a request served by one endpoint: the first one, or a retry. Its maker sets the
// exported fields, which do not change once Pool.Do has it.
type Attempt struct {
	Request  *Request
	Instance endpointlist.Instance // of the endpoint
	Deadline time.Duration         // clock time at which the attempt is given up
	NotAfter time.Duration         // clock time after which endpoints no longer discard a repeat; 0: no limit

	begun  bool // a byte of it may have been written. Guarded by Request.mu
	heldUp bool // a local fault delayed its connection. Used by the goroutine of Pool.Do alone
}

// WriteStarted reports whether a byte of the attempt may have been written.
func (a *Attempt) WriteStarted() bool {
	a.Request.mu.Lock()
	defer a.Request.mu.Unlock()
	return a.begun
}

// mayBegin reports whether the attempt may begin at a clock time: before its deadline, and while endpoints discard
// repeats.
func (a *Attempt) mayBegin(at time.Duration) bool {
	return at < a.Deadline && (a.NotAfter == 0 || at < a.NotAfter)
}

// remainingTime returns the time that an endpoint has for the attempt, or 0 if the time is over. That is the time
// until the deadline by the node's clock, less an allowance for the time in transit, as the clock shows neither
// when the client sent the request nor when the endpoint will read it. Of a short time the greater part remains.
func (a *Attempt) remainingTime(now time.Duration) time.Duration {
	left := a.Deadline - now
	left -= min(transitAllowance, left/4)
	if left < minRemainingTime {
		return 0
	}
	return left
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result      balancer.AttemptResult
	EndedAt     time.Duration // clock time; of a response, when its last byte was read
	Body        []byte        // of a successful response
	ContentType string        // of a successful response; empty: the endpoint sent none
	HeldUp      bool          // a fault of this machine delayed or prevented the connection
}

// Do carries out an attempt and returns its outcome. By then its connection is closed, or idle again. The end of ctx
// cancels the attempt.
func (p *Pool) Do(ctx context.Context, a *Attempt) Outcome {
	outcome := p.roundTrip(ctx, a)
	outcome.HeldUp = a.heldUp
	if outcome.EndedAt == 0 {
		outcome.EndedAt = p.clock.Now()
	}
	return outcome
}

// roundTrip connects, writes the request and awaits its response, until the attempt's deadline or the end of callerCtx.
func (p *Pool) roundTrip(callerCtx context.Context, a *Attempt) Outcome {
	ctx, cancel := context.WithTimeout(callerCtx, p.clock.Until(a.Deadline))
	defer cancel()
	encoded, err := encodeRequest(a.Request)
	if err != nil || a.remainingTime(p.clock.Now()) == 0 {
		return Outcome{Result: balancer.NotSent}
	}
	c, waiter, err := p.acquire(ctx, a)
	if err != nil {
		return Outcome{Result: resultNotBegun(callerCtx, err)}
	}
	// At the deadline or at a cancellation the connection is closed, which ends the wait for the reply.
	stop := context.AfterFunc(ctx, func() { p.abandon(c, waiter) })
	defer stop()
	// The remaining time is filled in last, so that no wait for a connection or a lock makes it too long.
	if !writeDeadlineValue(encoded.deadlineValue, a.remainingTime(p.clock.Now())) {
		p.abandon(c, waiter)
		return Outcome{Result: balancer.NotSent}
	}
	written, writeErr := c.Write(encoded.text)
	if writeErr != nil {
		p.abandon(c, waiter)
	} else {
		p.noteWritten(c)
	}
	reply := <-waiter
	// The system reports a reset only once, to the write or to the read. So after a failed write, what the
	// reader took for an orderly close may have been a reset.
	if reply.err == nil && (writeErr == nil || !reply.endedByClose) {
		return reply.Outcome
	}
	return Outcome{Result: resultWithoutResponse(callerCtx, ctx, written == len(encoded.text))}
}

// acquire returns a connection on which the first byte of the attempt's request may be written next, and the
// channel that receives the reply. An idle connection that turns out to be closed is replaced by another one.
func (p *Pool) acquire(ctx context.Context, a *Attempt) (*conn, chan exchangeResult, error) {
	for {
		waiter := make(chan exchangeResult, 1)
		c, fresh, err := p.connect(ctx, a, waiter)
		if err != nil {
			return nil, nil, err
		}
		permission := p.beginWrite(ctx, c, waiter, a)
		switch {
		case permission == mayWrite:
			return c, waiter, nil
		case permission == attemptObsolete:
			return nil, nil, errAttemptObsolete
		case fresh || ctx.Err() != nil:
			return nil, nil, fmt.Errorf("%w: %v", errConnUnusable, permission)
		}
	}
}

// resultNotBegun returns the result of an attempt that failed to acquire a connection. Local faults are no
// evidence against the endpoint.
func resultNotBegun(callerCtx context.Context, err error) balancer.AttemptResult {
	switch {
	case errors.Is(err, errNoDescriptor), netdial.IsLocalError(err):
		return balancer.NotSent
	case errors.Is(callerCtx.Err(), context.Canceled):
		return balancer.Cancelled
	case errors.Is(err, errAttemptObsolete):
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// resultWithoutResponse returns the result of an attempt that was begun and has no usable response. ctx is callerCtx,
// ended by the attempt's deadline as well.
func resultWithoutResponse(callerCtx, ctx context.Context, written bool) balancer.AttemptResult {
	switch {
	case errors.Is(callerCtx.Err(), context.Canceled):
		return balancer.Cancelled
	case !written:
		// An endpoint starts on a request at its last byte, which it never received: a retry is harmless.
		return balancer.ConnectFailed
	case ctx.Err() != nil:
		return balancer.TimedOut
	}
	return balancer.ConnectionLost
}
