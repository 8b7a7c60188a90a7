// Package stats contains the statistics of a scale run: latency histograms, counts of calls by outcome, traffic over
// time, the times until changes are in force, and linear fits.
//
// Latencies and Series are safe for concurrent use. The package imports no other package of the scale run and starts
// no goroutine. The JSON names of its types are those of the reports under docs/scale.
package stats
