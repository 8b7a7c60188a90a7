package servermodel

import (
	"math"
	"time"
)

// never is later than all times of a simulation.
const never = time.Duration(math.MaxInt64)

// notHolding says that the condition for a change of state does not hold.
const notHolding = time.Duration(-1)

// degradation is the state machine of a metastable failure: a server degrades after it was overloaded for a
// while, and recovers only after it was nearly idle for a while.
type degradation struct {
	settings *Settings
	degraded bool
	since    time.Duration // when the condition for the next change of state began to hold, or notHolding
}

// observe takes note of how many calls are in flight from now on.
func (d *degradation) observe(now time.Duration, inFlight int) {
	if d.settings.DegradeAt == 0 {
		return
	}
	switch {
	case !d.conditionHolds(float64(inFlight)):
		d.since = notHolding
	case d.since == notHolding:
		d.since = now
	}
}

// conditionHolds says whether that many calls in flight lead to the next change of state, if they stay.
func (d *degradation) conditionHolds(inFlight float64) bool {
	if d.degraded {
		return inFlight <= d.settings.RecoverBelow*d.settings.DegradeAt
	}
	return inFlight >= d.settings.DegradeAt
}

// nextChange is when the state changes next if the condition for it persists.
func (d *degradation) nextChange() time.Duration {
	switch {
	case d.since == notHolding:
		return never
	case d.degraded:
		return d.since + d.settings.RecoverAfter
	}
	return d.since + d.settings.DegradeAfter
}

// changeIfDue changes the state if its time has come.
func (d *degradation) changeIfDue(now time.Duration, inFlight int) {
	if d.nextChange() <= now {
		d.degraded = !d.degraded
		d.since = notHolding
		d.observe(now, inFlight)
	}
}
