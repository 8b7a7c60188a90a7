// Package servermodel is a queueing model of one server, for simulations: it has no I/O and no clock of its own.
// A server works on a limited number of calls at once and queues a few more. The calls that need its cores share
// them equally (processor sharing); the others are blocked off the CPU, as on a call to a later tier, and only
// count towards the limit.
//
// The model has the mechanisms that make overload last: bounded queues, slow start, contention (throughput falls
// as concurrency grows, as in Gunther's universal scalability law), and metastable failure, in which a server that
// was overloaded for a while stays slow until it has been nearly idle for a while. It does not notice that a
// client has departed: the work continues.
//
// Only tests import this package; no program does. Storms in the fleetscale program that simulate the service of calls
// are planned to use it.
package servermodel

import "time"

// Settings describes a server. A zero value disables the mechanism of a field, except for the first three fields.
type Settings struct {
	Cores            int     // cores that calls share
	Speed            float64 // work that one core does in a second, in seconds of work
	ConcurrencyLimit int     // calls that may be running or blocked at once
	QueueLimit       int     // calls that may wait for one of those to complete; further calls are rejected

	// In slow start a server first runs at the fraction SlowStartFloor of its speed. The fraction grows with each
	// completed call, and reaches 1 after SlowStartCalls calls.
	SlowStartFloor float64
	SlowStartCalls int

	// Each running call beyond Knee slows all calls down, as with a shared lock: with N of them, the work takes
	// 1 + Contention*N/Cores times as long.
	Knee       int
	Contention float64

	// A server that has had at least DegradeAt calls in flight for DegradeAfter degrades: it is slower by the factor
	// DegradeFactor until it has had at most RecoverBelow*DegradeAt calls in flight for RecoverAfter.
	DegradeAt     float64
	DegradeAfter  time.Duration
	DegradeFactor float64
	RecoverBelow  float64
	RecoverAfter  time.Duration
}
