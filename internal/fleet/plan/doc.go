// Package plan says what a scale run consists of, before it is made: its arguments and their bounds, the points of a
// sweep, the events of a growth day, and when an outage begins and ends.
//
// It does no I/O, starts no goroutine and imports no other package of the scale run. The command fleetscale reads its
// arguments into Args and GrowthArgs and checks them; package fleet carries them out.
package plan
