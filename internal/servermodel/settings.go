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
// Only tests import this package; no program does. Storms with service in the fleetscale program are planned to
// use it.
package servermodel

import "time"

// Settings describe a server. A zero value switches a mechanism off, except for the first three.
type Settings struct {
	Cores            int     // cores that calls share
	Speed            float64 // work that one core does in a second, in seconds of work
	ConcurrencyLimit int     // calls in work or blocked at once
	QueueLimit       int     // calls that wait for one of those to end; more are rejected

	// In slow start a server has the share SlowStartFloor of its speed at first, and more with each call that
	// it completes, up to all of it after SlowStartCalls calls.
	SlowStartFloor float64
	SlowStartCalls int

	// Each running call beyond Knee costs the share Contention of one core's speed, as with a shared lock.
	Knee       int
	Contention float64

	// A server that has DegradeAt calls or more in flight for DegradeAfter degrades: it is slower by the factor
	// DegradeFactor until it has had at most the share RecoverBelow of DegradeAt in flight for RecoverAfter.
	DegradeAt     float64
	DegradeAfter  time.Duration
	DegradeFactor float64
	RecoverBelow  float64
	RecoverAfter  time.Duration
}
