package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"basaltdrum/internal/downstream"
	"basaltdrum/internal/monotime"
)

// drainPollInterval is how often a drainer checks whether its connections are closed.
const drainPollInterval = 20 * time.Millisecond

// finalResponseChecks is how many checks of its connections a draining node still makes once it has had everything
// answered, also past its limit. Checks are counted, not time, because no answer is written while the node is held up:
// it may be held up for finalAnswerMargin, and then has killMargin left, of which the checks take three fifths.
const finalResponseChecks = 3

// drainSchedule is the timetable of a graceful shutdown, each entry being a span since its beginning.
type drainSchedule struct {
	stopAccepting time.Duration // until then, new connections are accepted
	closeConns    time.Duration // until then, clients may send further requests on their connections
	answerAll     time.Duration // what is unanswered then is answered at once
}

// drainer shuts a front end down gracefully: every request that was read is answered. Up to closeConns, clients are
// served as ever on the connections that they have, because until their load balancer has noticed that this node is
// not ready, their requests would fail elsewhere. From then on each response closes its connection.
//
// http.Server.Shutdown does not do: it waits for seconds on connections that never sent a request, past
// SIGKILL, and closes an idle connection on which a request has just been read.
type drainer struct {
	clock monotime.Clock
	conns *downstream.Conns
	post  func(Event)

	// Set by run, and read by the front end.
	started   atomic.Bool // the health check says that the node is not ready
	closeAfterResponse atomic.Bool // each response closes its connection
}

// run drains the connections of a listener, whose server has stopped accepting once served is closed. It returns nil
// once all connections are closed, or an error when ctx has ended and the final answers had their checks.
func (d *drainer) run(
	ctx context.Context, ln *downstream.Listener, served <-chan struct{}, schedule drainSchedule,
) error {
	begin := d.clock.Now()
	passed := func(at time.Duration) bool { return d.clock.Now()-begin >= at }
	d.started.Store(true)
	monotime.Sleep(ctx, schedule.stopAccepting)
	ln.DrainQueue()
	defer func() { _ = ln.Close() }() // the process ends, and its listener with it
	for ctx.Err() == nil && !passed(schedule.closeConns) && (!isClosed(served) || d.conns.Count() > 0) {
		monotime.Sleep(ctx, drainPollInterval)
	}
	d.closeAfterResponse.Store(true)
	return d.awaitClosed(ctx, ln, served, func() bool { return passed(schedule.answerAll) })
}

// awaitClosed evicts quiet connections until none is left and the server accepts no more. Once the time to answer all
// has come, it has the loop answer every open request. A node that is held up may find at one check that this time and
// its limit, the end of ctx, have both passed: it does not return an error before the answers had their checks.
func (d *drainer) awaitClosed(
	ctx context.Context, ln *downstream.Listener, served <-chan struct{}, answerAll func() bool,
) error {
	for checks := 0; ; sleepUntilNextCheck(ctx) { // checks since the loop was told to answer, that one included
		accepting := !isClosed(served) // read first, so that the count below has whatever was accepted
		left := d.conns.EvictIdle()
		switch {
		case !accepting && left == 0:
			return nil
		case checks == 0 && (ctx.Err() != nil || answerAll()):
			_ = ln.Close() // it is still open only if every accept fails, and needs no answer
			d.post(shutdownDeadline{})
			checks = 1
		case checks >= finalResponseChecks && ctx.Err() != nil:
			return fmt.Errorf("connections are left open: %d, by phase %v: %w", left, countByPhase(d.conns), ctx.Err())
		case checks > 0:
			checks++
		}
	}
}

// sleepUntilNextCheck sleeps for the interval of the checks, and no further than the end of ctx if that is to come.
func sleepUntilNextCheck(ctx context.Context) {
	if ctx.Err() != nil {
		ctx = context.WithoutCancel(ctx)
	}
	monotime.Sleep(ctx, drainPollInterval)
}

// countByPhase returns how many connections are in each phase.
func countByPhase(conns *downstream.Conns) map[downstream.Phase]int {
	counts := map[downstream.Phase]int{}
	for _, conn := range conns.Status() {
		counts[conn.Phase]++
	}
	return counts
}

// isClosed reports, without waiting, whether a channel that is only ever closed has been closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
