package upstream

import "time"

// Fractions of the configured idle timeout of connections.
const (
	reuseDelayDivisor    = 4  // the reuse delay is at most this part of the idle timeout
	idleMarginDivisor    = 10 // the node closes an idle connection earlier than the endpoint by this part
	sweepIntervalDivisor = 20 // idle connections are checked for expiry at this part of the idle timeout
)

// minSweepInterval is the shortest time between two checks of the idle connections for expiry.
const minSweepInterval = time.Millisecond

// Timeouts are what a pool is told of an endpoint's connections.
type Timeouts struct {
	Connect time.Duration // for a connection to come up
	Idle    time.Duration // after which an endpoint closes an idle connection
}

// idleLimit returns how long the node keeps a connection idle. It closes it shortly before the endpoint does.
// Otherwise a request could cross the endpoint's close on the way and end in a reset.
func (t Timeouts) idleLimit() time.Duration {
	return t.Idle - t.Idle/idleMarginDivisor
}

// reuseDelay returns how long a connection stays unused after a response: as long as wanted, but no longer than a
// part of the idle timeout.
func (t Timeouts) reuseDelay(wanted time.Duration) time.Duration {
	return min(wanted, t.Idle/reuseDelayDivisor)
}

// sweepInterval returns the time between two checks of the idle connections for expiry.
func (t Timeouts) sweepInterval() time.Duration {
	return max(t.idleLimit()/sweepIntervalDivisor, minSweepInterval)
}
