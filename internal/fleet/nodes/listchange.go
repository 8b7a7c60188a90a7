package nodes

import (
	"sort"
	"time"

	"basaltdrum/internal/fleet/stats"
)

// ListChange is a change of a service's list that all nodes of the service should apply.
type ListChange struct {
	Group   string // one of plan.ListChangeGroups
	Service int
	Rev     int64
	AtNS    int64 // Unix time from which the registry could send the change
}

// inForceByGroup returns for each group of changes how long they took to be in force.
func (h *Hollows) inForceByGroup(changes []ListChange) map[string]stats.InForce {
	figures := map[string]stats.InForce{}
	times := map[string]*[3][]float64{} // for each change, the times to be in force at 50%, 99% and 100% of the nodes
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
			for k, fraction := range []float64{0.5, 0.99, 1} {
				times[c.Group][k] = append(times[c.Group][k], stats.Quantile(took, fraction))
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
