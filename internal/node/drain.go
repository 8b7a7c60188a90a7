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
	begun   atomic.Bool // the health check says that the node is not ready
	closing atomic.Bool // each response closes its connection
}

// run drains the connections of a listener, whose server has stopped accepting once served is closed. It returns nil
// once all connections are closed, or an error when ctx ends.
func (d *drainer) run(
	ctx context.Context, ln *downstream.Listener, served <-chan struct{}, schedule drainSchedule,
) error {
	begin := d.clock.Now()
	passed := func(at time.Duration) bool { return d.clock.Now()-begin >= at }
	d.begun.Store(true)
	monotime.Sleep(ctx, schedule.stopAccepting)
	ln.DrainQueue()
	defer func() { _ = ln.Close() }() // the process ends, and its listener with it
	for ctx.Err() == nil && !passed(schedule.closeConns) && (!isClosed(served) || d.conns.Count() > 0) {
		monotime.Sleep(ctx, drainPollInterval)
	}
	d.closing.Store(true)
	return d.awaitClosed(ctx, ln, served, func() bool { return passed(schedule.answerAll) })
}

// awaitClosed evicts quiet connections until none is left and the server accepts no more. Once the time to
// answer all has come, it has the loop answer every open request.
func (d *drainer) awaitClosed(
	ctx context.Context, ln *downstream.Listener, served <-chan struct{}, answerAll func() bool,
) error {
	for notified := false; ; monotime.Sleep(ctx, drainPollInterval) {
		accepting := !isClosed(served) // read first, so that the count below has whatever was accepted
		left := d.conns.EvictQuiet()
		switch {
		case !accepting && left == 0:
			return nil
		case ctx.Err() != nil:
			return fmt.Errorf("connections are left open: %d, by phase %v: %w", left, countByPhase(d.conns), ctx.Err())
		case !notified && answerAll():
			_ = ln.Close() // it is still open only if every accept fails, and needs no answer
			d.post(shutdownDeadline{})
			notified = true
		}
	}
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
