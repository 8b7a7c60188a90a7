package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"balancer"
)

// attempt is one send of a call to a server.
type attempt struct {
	ctx               context.Context
	cancel            context.CancelFunc
	request           *request
	number            int
	instance          endpointInstance
	sentAt, deadline  time.Duration
	notAfter          time.Duration // it must not begin later: the servers discard its repeats no longer; 0: no such time
	begun             bool          // a byte of it may have been written. Guarded by call.mu
	ended             bool          // and its result is passed on
	heldUp            bool          // local trouble kept it from beginning for a while; read once it has ended
	outlivesHalfClose bool          // it goes on until its caller is known to be gone
}

// result is how an attempt ended.
type attemptOutcome struct {
	result      balancer.AttemptResult
	endedAt     time.Duration // when: for an answer, when its last byte was read
	body        []byte
	contentType string
}

// run makes an attempt and tells how it ended. Its connection is closed by then, or idle again.
func (b *upstreamPool) do(a *attempt) attemptOutcome {
	ctx, cancel := context.WithTimeout(a.ctx, b.clock.until(a.deadline))
	defer cancel()
	r := b.roundTrip(ctx, a)
	if r.endedAt == 0 {
		r.endedAt = b.clock.now()
	}
	return r
}

func (b *upstreamPool) roundTrip(ctx context.Context, a *attempt) attemptOutcome {
	var (
		c      *upstreamConn
		waiter chan upstreamReply
	)
	text, wait, err := encodeRequest(a)
	if err != nil || b.remainingTime(a) == 0 {
		return attemptOutcome{result: balancer.NotSent}
	}
	for {
		waiter = make(chan upstreamReply, 1)
		var (
			fresh bool
			err   error
		)
		c, fresh, err = b.connect(ctx, a, waiter)
		switch {
		case errors.Is(err, errNoDescriptor), isLocalDialError(err):
			return attemptOutcome{result: balancer.NotSent}
		case err != nil && errors.Is(a.ctx.Err(), context.Canceled):
			return attemptOutcome{result: balancer.Cancelled}
		case err != nil:
			return attemptOutcome{result: balancer.ConnectFailed}
		}
		may := b.beginWrite(ctx, c, waiter, a)
		if may == mayWrite {
			break
		}
		switch {
		case errors.Is(a.ctx.Err(), context.Canceled):
			return attemptOutcome{result: balancer.Cancelled}
		case may == attemptObsolete:
			return attemptOutcome{result: balancer.NotSent}
		case fresh || ctx.Err() != nil:
			return attemptOutcome{result: balancer.ConnectFailed}
		}
	}
	// A timed-out or cancelled attempt closes its connection, which ends the wait below.
	stop := context.AfterFunc(ctx, func() { b.abandon(c, waiter) })
	defer stop()
	// The last thing before the write, so that no wait for a connection or a lock makes it too long.
	if !writeDeadlineValue(wait, b.remainingTime(a)) {
		b.abandon(c, waiter)
		return attemptOutcome{result: balancer.NotSent}
	}
	sent, err := c.Write(text)
	if err != nil {
		b.abandon(c, waiter)
	} else {
		b.noteWritten(c)
	}
	got := <-waiter
	switch {
	// The system tells of a reset once, to the write or to the read: after a failed write, what the reader
	// took for the end of the connection may have been a reset.
	case got.err == nil && !(got.endedByClose && err != nil):
		return got.attemptOutcome
	case errors.Is(a.ctx.Err(), context.Canceled):
		return attemptOutcome{result: balancer.Cancelled}
	case sent < len(text):
		// The server never got the last byte, so it has not begun: sending again is harmless.
		return attemptOutcome{result: balancer.ConnectFailed}
	case ctx.Err() != nil:
		return attemptOutcome{result: balancer.TimedOut}
	}
	return attemptOutcome{result: balancer.ConnectionLost}
}

// permission says whether the first byte of a request may be written.
type writePermission int

const (
	mayWrite        writePermission = iota
	useAnotherConn                  // not on this connection, which is closed
	attemptObsolete                 // not at all: this attempt has become pointless or harmful while it waited
)

// begin has a request written next, unless the server has closed the connection or said something
// meanwhile, which can be no answer to it: then the connection is closed, and another will do. The list,
// the caller and the clock may have moved on while the connection came up, so this is where they are
// asked: nothing is begun at a server that drains, is gone or started anew, for a caller that left, or
// when the servers discard no repeats any more. The connection itself is kept for others then.
func (b *upstreamPool) beginWrite(ctx context.Context, c *upstreamConn, waiter chan upstreamReply, a *attempt) writePermission {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter != waiter {
		return useAnotherConn
	}
	overdue := a.notAfter > 0 && b.clock.now() >= a.notAfter || b.remainingTime(a) == 0
	switch {
	case hasUnreadOrClosed(c.Conn):
		c.waiter = nil
		b.closeConn(c)
		return useAnotherConn
	case ctx.Err() != nil || overdue || !b.isReady(c.instance) || !a.request.beginAttempt(a):
		c.waiter, c.idleSince = nil, b.clock.now()
		b.putIdle(c)
		if ctx.Err() != nil {
			return useAnotherConn // the time is over, or the attempt was called off
		}
		return attemptObsolete
	}
	c.stage = stageWriting
	return mayWrite
}

// connect takes a rested idle connection, or opens a fresh one. Local trouble is waited out for as long as the
// attempt may begin.
func (b *upstreamPool) connect(ctx context.Context, a *attempt, waiter chan upstreamReply) (c *upstreamConn, fresh bool, err error) {
	mayWait := func(wait time.Duration) bool { return b.mayBeginIn(a, wait) }
	heldUp, err := dialWithBackoff(ctx, mayWait, func() error {
		c, fresh, err = b.connectOnce(ctx, a.instance, waiter)
		return err
	})
	a.heldUp = a.heldUp || heldUp
	return c, fresh, err
}

// mayBeginIn says that an attempt has time left after a wait, and that its server is still to be used.
func (b *upstreamPool) mayBeginIn(a *attempt, wait time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	begin := b.clock.now() + wait
	return begin < a.deadline && (a.notAfter == 0 || begin < a.notAfter) && b.isReady(a.instance)
}

// connectOnce does so with one dial at most.
func (b *upstreamPool) connectOnce(ctx context.Context, to endpointInstance, waiter chan upstreamReply) (c *upstreamConn, fresh bool, err error) {
	c, err = b.takeIdle(to, waiter)
	if c != nil || err != nil {
		return c, false, err
	}
	nc, err := b.dial(ctx, "tcp", to.address)
	if err != nil {
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
		return nil, true, fmt.Errorf("connect: %w", err)
	}
	return b.startReader(nc, to, waiter), true, nil
}
