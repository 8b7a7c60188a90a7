package upstream

import "time"

// Fractions of the configured idle timeout of connections.
const (
	reuseDelayDivisor    = 4  // the reuse delay is at most a quarter of the idle timeout
	idleMarginDivisor    = 10 // the node closes an idle connection a tenth of the timeout before the endpoint does
	sweepIntervalDivisor = 20 // idle connections are checked for expiry every twentieth of the node's own idle limit
)

// minSweepInterval is the minimum time between two checks of the idle connections for expiry.
const minSweepInterval = time.Millisecond

// Timeouts holds the timeouts of connections to endpoints.
type Timeouts struct {
	Connect time.Duration // for the connection establishment
	Idle    time.Duration // after which an endpoint closes an idle connection
}

// idleLimit returns how long the node keeps a connection idle. The node closes it shortly before the endpoint does, as
// a request that crosses the endpoint's close in transit could end in a reset.
func (t Timeouts) idleLimit() time.Duration {
	return t.Idle - t.Idle/idleMarginDivisor
}

// reuseDelay returns how long a connection stays unused after a response: the configured delay, but no longer than a
// quarter of the idle timeout.
func (t Timeouts) reuseDelay(configured time.Duration) time.Duration {
	return min(configured, t.Idle/reuseDelayDivisor)
}

// sweepInterval returns the time between two checks of the idle connections for expiry.
func (t Timeouts) sweepInterval() time.Duration {
	return max(t.idleLimit()/sweepIntervalDivisor, minSweepInterval)
}
