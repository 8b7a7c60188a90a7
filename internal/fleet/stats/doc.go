// Package stats has the figures of a scale run: histograms of latencies, tallies of calls, traffic over time, the
// times that changes took to be in force, and straight lines fitted to points.
//
// It owns the counters that it returns, and guards those that several goroutines add to. All other packages of the
// scale run call it; it imports none of them and starts no goroutine. The names in the JSON of its types are those of
// the reports under docs/scale.
package stats
