// Package report defines the reports of scale runs, in JSON and as a text table: a single point, a sweep with its
// slopes, and a growth run with its limits.
//
// Package fleet fills the reports, and the command fleetscale writes them. This package starts no goroutine and
// measures nothing. The JSON names must not change, since the reports under docs/scale use them.
package report
