package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/netdial"
	"basaltdrum/internal/socketpeek"
)

var (
	// errAttemptObsolete reports that an attempt became pointless or harmful before it was begun.
	errAttemptObsolete = errors.New("the attempt is obsolete")
	// errConnUnusable reports that a request could not be begun on an open connection.
	errConnUnusable = errors.New("the connection is unusable")
)

// attempt is one attempt to have a request served by one endpoint: the first one, or a retry.
type attempt struct {
	ctx               context.Context // ends when the attempt is cancelled
	cancel            context.CancelFunc
	request           *request
	number            int // of the attempt within its request, from 0
	instance          endpointlist.Instance
	sentAt, deadline  time.Duration // clock times
	notAfter          time.Duration // clock time after which endpoints no longer discard a repeat; 0: no limit
	begun             bool          // a byte of it may have been written. Guarded by request.mu
	ended             bool          // its result has been passed on; used by the loop alone
	heldUp            bool          // a local fault delayed its connection; read once it has ended
	outlivesHalfClose bool          // a cancellation waits until the client is known to have disconnected
}

// attemptOutcome is how an attempt ended.
type attemptOutcome struct {
	result      balancer.AttemptResult
	endedAt     time.Duration // clock time; of a response, when its last byte was read
	body        []byte
	contentType string
}

// do carries out an attempt and returns its outcome. By then its connection is closed, or idle again.
func (p *upstreamPool) do(a *attempt) attemptOutcome {
	ctx, cancel := context.WithTimeout(a.ctx, p.clock.Until(a.deadline))
	defer cancel()
	outcome := p.roundTrip(ctx, a)
	if outcome.endedAt == 0 {
		outcome.endedAt = p.clock.Now()
	}
	return outcome
}

// roundTrip connects, writes the request and awaits its response. ctx ends at the attempt's deadline, too.
func (p *upstreamPool) roundTrip(ctx context.Context, a *attempt) attemptOutcome {
	encoded, err := encodeRequest(a)
	if err != nil || p.remainingTime(a) == 0 {
		return attemptOutcome{result: balancer.NotSent}
	}
	c, waiter, err := p.acquire(ctx, a)
	if err != nil {
		return attemptOutcome{result: a.resultNotBegun(err)}
	}
	// At the deadline or at a cancellation the connection is closed, which ends the wait for the reply.
	stop := context.AfterFunc(ctx, func() { p.abandon(c, waiter) })
	defer stop()
	// The remaining time is filled in last, so that no wait for a connection or a lock makes it too long.
	if !writeDeadlineValue(encoded.deadlineValue, p.remainingTime(a)) {
		p.abandon(c, waiter)
		return attemptOutcome{result: balancer.NotSent}
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
		return reply.attemptOutcome
	}
	return attemptOutcome{result: a.resultWithoutResponse(ctx, written == len(encoded.text))}
}

// acquire returns a connection on which the first byte of the attempt's request may be written next, and the
// channel that receives the reply. An idle connection that turns out to be closed is replaced by another one.
func (p *upstreamPool) acquire(ctx context.Context, a *attempt) (*upstreamConn, chan upstreamReply, error) {
	for {
		waiter := make(chan upstreamReply, 1)
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
func (a *attempt) resultNotBegun(err error) balancer.AttemptResult {
	switch {
	case errors.Is(err, errNoDescriptor), netdial.IsLocalError(err):
		return balancer.NotSent
	case errors.Is(a.ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case errors.Is(err, errAttemptObsolete):
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// resultWithoutResponse returns the result of an attempt that was begun and has no usable response.
func (a *attempt) resultWithoutResponse(ctx context.Context, written bool) balancer.AttemptResult {
	switch {
	case errors.Is(a.ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case !written:
		// An endpoint starts on a request at its last byte, which it never received: a retry is harmless.
		return balancer.ConnectFailed
	case ctx.Err() != nil:
		return balancer.TimedOut
	}
	return balancer.ConnectionLost
}

// connect takes a reusable idle connection, or opens a new one, which fresh reports. A local fault is retried
// with backoff for as long as the attempt may begin.
func (p *upstreamPool) connect(
	ctx context.Context, a *attempt, waiter chan upstreamReply,
) (c *upstreamConn, fresh bool, err error) {
	mayWait := func(wait time.Duration) bool { return p.mayBeginIn(a, wait) }
	heldUp, err := netdial.WithBackoff(ctx, mayWait, func() error {
		c, fresh, err = p.connectOnce(ctx, a.instance, waiter)
		return err
	})
	a.heldUp = a.heldUp || heldUp
	return c, fresh, err
}

// connectOnce is connect with at most one dial.
func (p *upstreamPool) connectOnce(
	ctx context.Context, to endpointlist.Instance, waiter chan upstreamReply,
) (c *upstreamConn, fresh bool, err error) {
	c, err = p.takeIdle(to, waiter)
	if c != nil || err != nil {
		return c, false, err
	}
	nc, err := p.dial(ctx, "tcp", to.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, true, fmt.Errorf("connect to %s: %w", to.UID, err)
	}
	return p.startReader(nc, to, waiter), true, nil
}

// mayBeginIn reports whether an attempt has time left after a wait, and its endpoint is still ready.
func (p *upstreamPool) mayBeginIn(a *attempt, wait time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	begin := p.clock.Now() + wait
	return begin < a.deadline && (a.notAfter == 0 || begin < a.notAfter) && p.isReady(a.instance)
}

// writePermission is whether the first byte of a request may be written.
type writePermission int

const (
	mayWrite        writePermission = iota
	useAnotherConn                  // not on this connection, or not now: the attempt's context has ended
	attemptObsolete                 // not at all: the attempt became pointless or harmful while it waited
)

func (w writePermission) String() string {
	switch w {
	case mayWrite:
		return "may write"
	case useAnotherConn:
		return "use another connection"
	case attemptObsolete:
		return "attempt obsolete"
	}
	return fmt.Sprintf("writePermission(%d)", int(w))
}

// beginWrite decides whether the first byte of a request is written next, and notes the attempt as begun if so.
//
// The list, the client and the clock may have changed while the connection was opened, so they are checked here:
// no attempt is begun at an endpoint that drains, was removed or has restarted, for a client that has departed, or
// once endpoints no longer discard repeats. The connection itself is kept for other attempts then. But if the
// endpoint has closed the connection or has sent bytes, which cannot be a response to this request, the connection
// is closed, and the attempt may use another one.
func (p *upstreamPool) beginWrite(
	ctx context.Context, c *upstreamConn, waiter chan upstreamReply, a *attempt,
) writePermission {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter != waiter {
		return useAnotherConn
	}
	overdue := a.notAfter > 0 && p.clock.Now() >= a.notAfter || p.remainingTime(a) == 0
	switch {
	case socketpeek.HasUnreadOrClosed(c.Conn):
		c.waiter = nil
		p.closeConn(c)
		return useAnotherConn
	case ctx.Err() != nil || overdue || !p.isReady(c.instance) || !a.request.beginAttempt(a):
		c.waiter, c.idleSince = nil, p.clock.Now()
		p.putIdle(c)
		if ctx.Err() != nil {
			return useAnotherConn
		}
		return attemptObsolete
	}
	c.stage = stageWriting
	return mayWrite
}
