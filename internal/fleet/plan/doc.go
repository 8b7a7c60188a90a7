// Package plan defines a scale run before it is executed: its arguments and their limits, the points of a sweep, the
// events of a growth day, and when an outage starts and ends.
//
// A growth run simulates the same workload, a "day" of calls and changes of the server list, at two sizes of the fleet.
//
// The package does no I/O, starts no goroutine and imports no other package of the scale run. The command fleetscale
// parses its arguments into Args and GrowthArgs and checks them; package fleet executes the run.
package plan
