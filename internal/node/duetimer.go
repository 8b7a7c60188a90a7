package node

import (
	"time"

	"basaltdrum/internal/monotime"
)

// maxLateness is how long after its deadline a request that was sent ahead is answered, if the process is not held up.
// Half a second after it the response counts as lost, and the process may be held up for 150 ms.
const maxLateness = 350 * time.Millisecond

// dueTimer expires when a request has to be answered that a client has sent ahead of the response to its open request.
// Responses are sent in the order of the requests (RFC 9112, section 9.3.2), so that of the open request is due then,
// although its own deadline may be later. Otherwise a request with a short deadline would be answered late behind one
// with a long deadline.
//
// Only the goroutine that handles the open request uses it.
type dueTimer struct {
	clock   monotime.Clock
	conn    pipelinedDeadliner
	at      time.Duration // clock time for which timer is set
	timer   *time.Timer   // nil until a request with a deadline has been sent ahead
	stopped bool
}

// pipelinedDeadliner is a connection that knows the earliest deadline of the requests that its client has sent ahead.
type pipelinedDeadliner interface {
	// PipelinedDeadline returns that deadline as a clock time, if there is one.
	PipelinedDeadline() (at time.Duration, found bool)
}

func newDueTimer(clock monotime.Clock, conn pipelinedDeadliner) *dueTimer {
	return &dueTimer{clock: clock, conn: conn}
}

// dueAt returns the clock time at which the response to the open request is due, if a request with a deadline has been
// sent ahead.
func (d *dueTimer) dueAt() (at time.Duration, found bool) {
	deadline, found := d.conn.PipelinedDeadline()
	return deadline + maxLateness, found
}

// isLate reports whether the deadline of a request that has been sent ahead has passed. An attempt of the open request
// would make its response even later.
func (d *dueTimer) isLate() bool {
	deadline, found := d.conn.PipelinedDeadline()
	return found && d.clock.Until(deadline) <= 0
}

// update sets the timer by the requests that have been sent ahead by now. It returns the channel of the timer; nil:
// none has a deadline, or the timer is stopped.
func (d *dueTimer) update() <-chan time.Time {
	if at, found := d.dueAt(); found && at != d.at && !d.stopped {
		d.set(at)
	}
	if d.timer == nil || d.stopped {
		return nil
	}
	return d.timer.C
}

func (d *dueTimer) set(at time.Duration) {
	d.at = at
	if d.timer == nil {
		d.timer = time.NewTimer(d.clock.Until(at))
	} else {
		d.timer.Reset(d.clock.Until(at))
	}
}

// stop stops the timer for good.
func (d *dueTimer) stop() {
	d.stopped = true
	if d.timer != nil {
		d.timer.Stop()
	}
}
