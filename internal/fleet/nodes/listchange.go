package nodes

import (
	"sort"
	"time"

	"basaltdrum/internal/fleet/stats"
)

// ListChange is a change of a service's list, as the nodes should apply it.
type ListChange struct {
	Group   string
	Service int
	Rev     int64
	AtNS    int64 // Unix time from which the registry could send it
}

// inForce returns, for each group of changes, how long they took to be in force.
func (h *Hollows) inForce(changes []ListChange) map[string]stats.InForce {
	figures := map[string]stats.InForce{}
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
			took = append(took, stats.Milliseconds(time.Duration(at.UnixNano()-c.AtNS)))
		}
		if len(took) > 0 {
			sort.Float64s(took)
			for k, share := range []float64{0.5, 0.99, 1} {
				times[c.Group][k] = append(times[c.Group][k], stats.Quantile(took, share))
			}
		}
		figures[c.Group] = f
	}
	for group, f := range figures {
		t := times[group]
		f.Half, f.P99, f.All = stats.SpreadOf(t[0]), stats.SpreadOf(t[1]), stats.SpreadOf(t[2])
		figures[group] = f
	}
	return figures
}
