package servermodel

import (
	"math"
	"time"
)

// never is later than any time of a simulation.
const never = time.Duration(math.MaxInt64)

// conditionNotMet is the value of degradation.conditionSince while the condition for a change of state is not met.
const conditionNotMet = time.Duration(-1)

// degradation is the state machine of a metastable failure: a server degrades after it has been overloaded for a
// while, and recovers only after it has been nearly idle for a while.
type degradation struct {
	settings       *Settings
	degraded       bool
	conditionSince time.Duration // since when the condition for the next change of state is met, or conditionNotMet
}

// observe records the number of calls in flight from now on.
func (d *degradation) observe(now time.Duration, inFlight int) {
	if d.settings.DegradeAt == 0 {
		return
	}
	switch {
	case !d.conditionMet(float64(inFlight)):
		d.conditionSince = conditionNotMet
	case d.conditionSince == conditionNotMet:
		d.conditionSince = now
	}
}

// conditionMet reports whether this number of calls in flight leads to the next change of state if it persists.
func (d *degradation) conditionMet(inFlight float64) bool {
	if d.degraded {
		return inFlight <= d.settings.RecoverBelow*d.settings.DegradeAt
	}
	return inFlight >= d.settings.DegradeAt
}

// nextChange returns when the state changes next if the condition for it persists, or never if it is not met.
func (d *degradation) nextChange() time.Duration {
	switch {
	case d.conditionSince == conditionNotMet:
		return never
	case d.degraded:
		return d.conditionSince + d.settings.RecoverAfter
	}
	return d.conditionSince + d.settings.DegradeAfter
}

// changeIfDue changes the state if the condition for it has been met for long enough.
func (d *degradation) changeIfDue(now time.Duration, inFlight int) {
	if d.nextChange() <= now {
		d.degraded = !d.degraded
		d.conditionSince = conditionNotMet
		d.observe(now, inFlight)
	}
}
