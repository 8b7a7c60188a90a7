package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/membudget"
	"basaltdrum/internal/netdial"
)

var (
	// errAttemptObsolete reports that an attempt became useless or harmful before it started.
	errAttemptObsolete = errors.New("attempt is obsolete")
	// errConnUnusable reports that a request could not be started on an open connection.
	errConnUnusable = errors.New("connection is unusable")
)

// Constants for the remaining time of an attempt, which is forwarded to its endpoint.
const (
	minRemainingTime = time.Millisecond     // an attempt with less time left is not started
	transitAllowance = 5 * time.Millisecond // subtracted for the transit from the client and to the endpoint
)

// Attempt is one attempt to get a response to a request from one endpoint: the first attempt, or a retry. The caller of
// Pool.Do sets the exported fields, and does not change them afterwards.
type Attempt struct {
	Request  *Request
	Instance endpointlist.Instance // of the endpoint
	Deadline time.Duration         // clock time at which the attempt is given up
	NotAfter time.Duration         // clock time after which endpoints no longer discard duplicates; 0: no limit

	memory       *membudget.Reservation // held while Pool.Do runs
	writeStarted bool                   // a byte of it may have been written; guarded by Request.mu
	localFault   bool                   // this machine delayed it; used only by the goroutine of Pool.Do
}

// WriteStarted reports whether a byte of the attempt may have been written.
func (a *Attempt) WriteStarted() bool {
	a.Request.mu.Lock()
	defer a.Request.mu.Unlock()
	return a.writeStarted
}

// mayStart reports whether the attempt may start at a clock time: before its deadline, and while endpoints discard
// duplicates.
func (a *Attempt) mayStart(at time.Duration) bool {
	return at < a.Deadline && (a.NotAfter == 0 || at < a.NotAfter)
}

// remainingTime returns the time that an endpoint has for the attempt, or 0 if less than minRemainingTime is left. It
// is the time until the deadline on the node's clock, less an allowance for the time in transit, since that clock shows
// neither when the client sent the request nor when the endpoint will read it. The allowance is at most a quarter of
// the time left.
func (a *Attempt) remainingTime(now time.Duration) time.Duration {
	left := a.Deadline - now
	left -= min(transitAllowance, left/4)
	if left < minRemainingTime {
		return 0
	}
	return left
}

// Outcome is the outcome of an attempt.
type Outcome struct {
	Result      balancer.AttemptResult
	EndedAt     time.Duration // clock time; for a response, when its last byte was read
	Body        []byte        // body of a successful response
	ContentType string        // Content-Type of a successful response; empty if the endpoint sent none
	LocalFault  bool          // this machine delayed or prevented the connection, or delayed the response
}

// Do makes an attempt and returns its outcome. When it returns, the connection of the attempt is closed or idle again.
// The end of ctx cancels the attempt.
func (p *Pool) Do(ctx context.Context, a *Attempt) Outcome {
	a.memory = a.Request.Memory.Share()
	defer a.memory.Release()
	outcome := p.roundTrip(ctx, a)
	outcome.LocalFault = a.localFault
	if outcome.EndedAt == 0 {
		outcome.EndedAt = p.clock.Now()
	}
	return outcome
}

// roundTrip connects, writes the request and waits for its response, until the attempt's deadline or the end of
// callerCtx.
func (p *Pool) roundTrip(callerCtx context.Context, a *Attempt) Outcome {
	ctx, cancel := context.WithTimeout(callerCtx, p.clock.Until(a.Deadline))
	defer cancel()
	if a.remainingTime(p.clock.Now()) == 0 {
		return Outcome{Result: balancer.NotSent}
	}
	encoded := encodeRequest(a.Request)
	c, waiter, err := p.acquire(ctx, a)
	if err != nil {
		return Outcome{Result: resultOfAcquireError(callerCtx, err)}
	}
	// At the deadline or on cancellation the connection is closed, which ends the wait for the response.
	stop := context.AfterFunc(ctx, func() { p.abandon(c, waiter) })
	defer stop()
	// The remaining time is filled in last, so that it includes no wait for a connection or a lock.
	if !writeDeadlineValue(encoded.deadlineValue, a.remainingTime(p.clock.Now())) {
		p.abandon(c, waiter)
		return Outcome{Result: balancer.NotSent}
	}
	written, writeErr := encoded.writeTo(c)
	if writeErr != nil {
		p.abandon(c, waiter)
	} else {
		p.recordWritten(c)
	}
	response := <-waiter.result
	a.localFault = a.localFault || waiter.waitedForMemory.Load()
	// The kernel reports a reset only once, to the write or to the read. So after a failed write, an apparently orderly
	// close may have been a reset.
	if response.err == nil && (writeErr == nil || !response.endedByClose) {
		return response.Outcome
	}
	if response.holdsMemory {
		a.memory.ReleaseResponse()
	}
	return Outcome{Result: resultWithoutResponse(callerCtx, ctx, written)}
}

// acquire returns a connection on which the first byte of the attempt's request may be written next, and the
// waiter that receives the response. An idle connection that turns out to be unusable is replaced by another one.
func (p *Pool) acquire(ctx context.Context, a *Attempt) (*conn, *responseWaiter, error) {
	for {
		waiter := newResponseWaiter(ctx, a.memory)
		c, fresh, err := p.connect(ctx, a, waiter)
		if err != nil {
			return nil, nil, err
		}
		permission := p.grantWrite(ctx, c, waiter, a)
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

// resultOfAcquireError returns the result of an attempt that failed to acquire a connection. Local faults do not count
// against the endpoint.
func resultOfAcquireError(callerCtx context.Context, err error) balancer.AttemptResult {
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

// resultWithoutResponse returns the result of an attempt that was started and has no usable response. ctx is derived
// from callerCtx and also ends at the attempt's deadline. written reports whether the whole request was written.
func resultWithoutResponse(callerCtx, ctx context.Context, written bool) balancer.AttemptResult {
	switch {
	case errors.Is(callerCtx.Err(), context.Canceled):
		return balancer.Cancelled
	case !written:
		// An endpoint runs a request only once it has received the last byte, which was not sent: a retry is safe.
		return balancer.ConnectFailed
	case ctx.Err() != nil:
		return balancer.TimedOut
	}
	return balancer.ConnectionLost
}
