package stats

import (
	"sort"
)

// Spread holds the median and the maximum of a set of times, in milliseconds.
type Spread struct {
	Median float64 `json:"median_ms"`
	Worst  float64 `json:"worst_ms"`
}

// InForce holds how long changes took to be in force, that is applied, at 50%, 99% and 100% of their nodes.
type InForce struct {
	Changes int    `json:"changes"`
	Applied int    `json:"heard"`  // pairs of a change and a node that applied it
	Missed  int    `json:"missed"` // pairs of a change and a node that did not apply it
	Half    Spread `json:"half"`
	P99     Spread `json:"p99"`
	All     Spread `json:"all"`
}

// Quantile returns the quantile of sorted values by the nearest-rank method: the smallest value such that the given
// fraction of all values is no larger.
func Quantile(sorted []float64, fraction float64) float64 {
	// The rank is rounded up, except where it exceeds an integer by less than a millionth, as a rounding error does.
	index := int(fraction*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

// SpreadOf returns the median and the maximum of values, and sorts them.
func SpreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sort.Float64s(values)
	return Spread{Quantile(values, 0.5), values[len(values)-1]}
}
