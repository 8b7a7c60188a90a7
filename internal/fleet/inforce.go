package fleet

import (
	"sort"
	"time"
)

// ListChange is a change of a service's list, as the nodes should apply it.
type ListChange struct {
	Group   string
	Service int
	Rev     int64
	AtNS    int64 // Unix time from which the registry could send it
}

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

// inForce returns, for each group of changes, how long they took to be in force.
func (h *Hollows) inForce(changes []ListChange) map[string]InForce {
	figures := map[string]InForce{}
	times := map[string]*[3][]float64{}
	for _, c := range changes {
		f := figures[c.Group]
		if times[c.Group] == nil {
			times[c.Group] = &[3][]float64{}
		}
		f.Changes++
		var took []float64
		for i := c.Service; i < len(h.nodes); i += h.services {
			at, ok := h.nodes[i].appliedAt(c.Rev)
			if !ok {
				f.Missed++
				continue
			}
			f.Applied++
			took = append(took, ms(time.Duration(at.UnixNano()-c.AtNS)))
		}
		if len(took) > 0 {
			sort.Float64s(took)
			for k, share := range []float64{0.5, 0.99, 1} {
				times[c.Group][k] = append(times[c.Group][k], atShare(took, share))
			}
		}
		figures[c.Group] = f
	}
	for group, f := range figures {
		t := times[group]
		f.Half, f.P99, f.All = spread(t[0]), spread(t[1]), spread(t[2])
		figures[group] = f
	}
	return figures
}

// atShare returns the quantile of sorted values by the nearest rank: the least one that so large a share of them does
// not exceed.
func atShare(sorted []float64, share float64) float64 {
	n := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(n, 0), len(sorted)-1)]
}

// spread returns the median and the largest of some values, which it sorts.
func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sort.Float64s(values)
	return Spread{atShare(values, 0.5), values[len(values)-1]}
}
