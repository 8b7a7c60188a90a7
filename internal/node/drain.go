package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"basaltdrum/internal/downstream"
	"basaltdrum/internal/monotime"
)

// drainPollInterval is the interval at which a drainer checks whether its connections are closed.
const drainPollInterval = 20 * time.Millisecond

// finalResponseChecks is the number of times that a draining node checks its connections after it has told the loop to
// answer every request, even past the drain limit. It counts checks rather than time because a stalled process writes
// no responses: after a stall of finalResponseMargin there is killMargin left, of which the checks take three fifths.
const finalResponseChecks = 3

// drainSchedule holds the deadlines of the steps of a graceful shutdown, as times since the shutdown started.
type drainSchedule struct {
	stopAccepting time.Duration // new connections are accepted until then
	closeConns    time.Duration // clients may send further requests on open connections until then
	answerAll     time.Duration // requests that are still unanswered then are answered at once
}

// drainer shuts a front end down gracefully: every request that was read is answered. Until drainSchedule.closeConns,
// requests on open connections are served as usual: the clients' load balancer takes a while to notice that the node
// is not ready, and until then a client whose connection was closed may find no other node. After that, each response
// closes its connection.
//
// http.Server.Shutdown is not suitable: it waits for seconds for connections that never sent a request, until after the
// SIGKILL, and it closes an idle connection on which a request has just been read.
type drainer struct {
	clock monotime.Clock
	conns *downstream.Conns
	post  func(Event)

	// Set by run and read by the front end.
	started            atomic.Bool // the health check reports the node as not ready
	closeAfterResponse atomic.Bool // each response closes its connection
}

// run drains the connections of ln. serveDone is closed when the HTTP server has stopped accepting from ln. run returns
// nil once all connections are closed, or an error if ctx has ended and connections are open after the last of
// finalResponseChecks.
func (d *drainer) run(
	ctx context.Context, ln *downstream.Listener, serveDone <-chan struct{}, schedule drainSchedule,
) error {
	start := d.clock.Now()
	passed := func(at time.Duration) bool { return d.clock.Now()-start >= at }
	d.started.Store(true)
	monotime.Sleep(ctx, schedule.stopAccepting)
	ln.DrainQueue()
	defer func() { _ = ln.Close() }() // an error is harmless: the process ends and its listener with it
	for ctx.Err() == nil && !passed(schedule.closeConns) && (!isClosed(serveDone) || d.conns.Count() > 0) {
		monotime.Sleep(ctx, drainPollInterval)
	}
	d.closeAfterResponse.Store(true)
	return d.awaitClosed(ctx, ln, serveDone, func() bool { return passed(schedule.answerAll) })
}

// awaitClosed evicts idle connections until none is left and the server has stopped accepting. Once answerAll reports
// true, it has the loop answer every open request. After a stall of the process, a single check may find that this
// time and the drain limit (the end of ctx) have both passed. Even then it makes finalResponseChecks checks before it
// returns an error, so that the final responses can be written.
func (d *drainer) awaitClosed(
	ctx context.Context, ln *downstream.Listener, serveDone <-chan struct{}, answerAll func() bool,
) error {
	for checks := 0; ; sleepUntilNextCheck(ctx) { // checks since the loop was told to answer all, including that one
		accepting := !isClosed(serveDone) // read first, so that every accepted connection is counted below
		open := d.conns.EvictIdle()
		switch {
		case !accepting && open == 0:
			return nil
		case checks == 0 && (ctx.Err() != nil || answerAll()):
			_ = ln.Close() // still open only if every accept fails; no request can arrive on it
			d.post(shutdownDeadline{})
			checks = 1
		case checks >= finalResponseChecks && ctx.Err() != nil:
			return fmt.Errorf("%d connections are still open, by phase %v: %w",
				open, countByPhase(d.conns), ctx.Err())
		case checks > 0:
			checks++
		}
	}
}

// sleepUntilNextCheck sleeps for drainPollInterval, or until ctx ends if that is sooner. If ctx has ended already, it
// sleeps for the whole interval.
func sleepUntilNextCheck(ctx context.Context) {
	if ctx.Err() != nil {
		ctx = context.WithoutCancel(ctx)
	}
	monotime.Sleep(ctx, drainPollInterval)
}

// countByPhase returns the number of connections in each phase.
func countByPhase(conns *downstream.Conns) map[downstream.Phase]int {
	counts := map[downstream.Phase]int{}
	for _, conn := range conns.Status() {
		counts[conn.Phase]++
	}
	return counts
}

// isClosed reports whether c has been closed. Nothing must ever be sent on c.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
