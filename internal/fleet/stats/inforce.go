package stats

import (
	"sort"
)

// Spread is the median and the largest of some times, in milliseconds.
type Spread struct {
	Median float64 `json:"median_ms"`
	Worst  float64 `json:"worst_ms"`
}

// InForce are the times that changes took to be in force at half of their nodes, at 99 in 100, and at all.
type InForce struct {
	Changes int    `json:"changes"`
	Applied int    `json:"heard"`  // pairs of a change and a node that applied it
	Missed  int    `json:"missed"` // pairs of a change and a node that did not
	Half    Spread `json:"half"`
	P99     Spread `json:"p99"`
	All     Spread `json:"all"`
}

// Quantile returns the quantile of sorted values by the nearest rank: the least one that so large a share of them does
// not exceed.
func Quantile(sorted []float64, share float64) float64 {
	n := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(n, 0), len(sorted)-1)]
}

// SpreadOf returns the median and the largest of some values, which it sorts.
func SpreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sort.Float64s(values)
	return Spread{Quantile(values, 0.5), values[len(values)-1]}
}
