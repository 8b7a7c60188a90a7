// Package report has the reports of scale runs, as JSON and as a table for a reader: one point, a sweep with its
// slopes, and a growth run with the limits that it is judged by.
//
// Package fleet fills the reports, and the command fleetscale writes them. The package starts no goroutine and measures
// nothing. The JSON names are those of the reports under docs/scale: they stay as they are.
package report
