// The classes of requests: settings, and statistics that outlive them.

package balancer

import (
	"cmp"
	"slices"

	"basaltdrum/balancer/internal/admission"
	"basaltdrum/balancer/internal/clienttimeout"
	"basaltdrum/balancer/internal/latency"
	"basaltdrum/balancer/internal/outlier"
)

// class is a class as the settings had it when its requests were accepted, with its statistics, which outlive
// those settings.
type class struct {
	Class
	*classStats
	admission admission.Class
}

// classStats is what was observed of a class.
type classStats struct {
	latency  latency.Estimator
	failures outlier.ClassRate
	traffic  admission.Traffic
	timeout  clienttimeout.Usual
}

// newClass returns a class with its settings and its statistics; nil: nothing was observed yet.
func newClass(c Class, stats *classStats) *class {
	if stats == nil {
		stats = &classStats{latency: latency.NewEstimator(c.LatencyObjective)}
	}
	return &class{c, stats, admission.Class{
		Objective: c.LatencyObjective, PriorityWeight: c.PriorityWeight, LateValue: c.LateValue,
		Latency: &stats.latency, Traffic: &stats.traffic,
	}}
}

// classTable is the classes of the settings in force.
type classTable struct {
	byName  map[string]*class
	ordered []*class // as in the settings, then the unknown class
}

// newClassTable returns the classes of new settings. One that was in the old settings keeps its statistics.
func newClassTable(classes []Class, old classTable) classTable {
	table := classTable{byName: map[string]*class{}}
	for _, settings := range append(slices.Clone(classes), unknownClass(classes)) {
		var stats *classStats
		if was := old.byName[settings.Name]; was != nil {
			stats = was.classStats
			if was.Deadline != settings.Deadline {
				stats.timeout.Reset() // the usual timeout was a share of the deadline
			}
		}
		c := newClass(settings, stats)
		table.byName[c.Name] = c
		table.ordered = append(table.ordered, c)
	}
	return table
}

// unknownClass returns the class of requests whose class is not in the settings: not idempotent, and
// otherwise like the class with the longest deadline.
func unknownClass(classes []Class) Class {
	longest := slices.MaxFunc(classes, func(a, b Class) int { return cmp.Compare(a.Deadline, b.Deadline) })
	return Class{
		LatencyObjective: longest.LatencyObjective,
		Deadline:         longest.Deadline,
		PriorityWeight:   longest.PriorityWeight,
	}
}

// unknown returns the unknown class. Its failure rates stand for all classes together.
func (t *classTable) unknown() *class { return t.ordered[len(t.ordered)-1] }

// rates returns the failure rates that a result of the class counts for.
func (t *classTable) rates(c *class) outlier.Classes {
	return outlier.Classes{&c.failures, &t.unknown().failures}
}

// get returns the class of this name, or the unknown one.
func (t *classTable) get(name string) *class {
	if c := t.byName[name]; c != nil {
		return c
	}
	return t.unknown()
}

// hasRate says whether the failure rate is that of a class of the table.
func (t *classTable) hasRate(rate *outlier.ClassRate) bool {
	return slices.ContainsFunc(t.ordered, func(c *class) bool { return &c.failures == rate })
}

// priorities returns the ranking of the classes for load shedding.
func (t *classTable) priorities(settings *Settings) admission.Priorities {
	priorities := admission.Priorities{
		TotalWeight: settings.TotalWeight, WorstClassWeight: settings.WorstClassWeight,
	}
	for _, c := range t.ordered {
		priorities.Classes = append(priorities.Classes, &c.admission)
	}
	return priorities
}
