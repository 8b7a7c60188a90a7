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
	failureRates outlier.ClassRates // that its results count for: its own, and that of all classes together
	admission    admission.Class
}

// classStats is what was observed of a class.
type classStats struct {
	latency     latency.Estimator
	failureRate outlier.ClassRate
	traffic     admission.Traffic
	timeout     clienttimeout.Estimator
}

// newClassStats returns the statistics of a class of which nothing was observed yet.
func newClassStats(c Class) *classStats {
	return &classStats{latency: latency.NewEstimator(c.LatencyObjective)}
}

// newClass returns a class with its settings and its statistics, and the failure rate of all classes
// together.
func newClass(c Class, stats *classStats, total *outlier.ClassRate) *class {
	return &class{
		Class: c, classStats: stats, failureRates: outlier.ClassRates{&stats.failureRate, total},
		admission: admission.Class{
			Objective: c.LatencyObjective, PriorityWeight: c.PriorityWeight, LateValue: c.LateValue,
			Latency: &stats.latency, Traffic: &stats.traffic,
		},
	}
}

// classTable is the classes of the settings in force.
type classTable struct {
	byName  map[string]*class
	ordered []*class // as in the settings, then the unknown class
}

// newClassTable returns the classes of new settings. One that was in the old settings keeps its statistics.
func newClassTable(classes []Class, old classTable) classTable {
	unknown := unknownClass(classes)
	stats := old.statsOf(unknown)
	table := classTable{byName: map[string]*class{}}
	for _, settings := range classes {
		table.add(newClass(settings, old.statsOf(settings), &stats.failureRate))
	}
	table.add(newClass(unknown, stats, &stats.failureRate))
	return table
}

func (t *classTable) add(c *class) {
	t.byName[c.Name] = c
	t.ordered = append(t.ordered, c)
}

// statsOf returns the statistics that a class keeps under new settings, or new ones.
func (t *classTable) statsOf(c Class) *classStats {
	was := t.byName[c.Name]
	if was == nil {
		return newClassStats(c)
	}
	if was.Deadline != c.Deadline {
		was.timeout.Reset() // the usual timeout was a share of the deadline
	}
	return was.classStats
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

// unknown returns the unknown class. Its failure rate is that of all classes together.
func (t *classTable) unknown() *class { return t.ordered[len(t.ordered)-1] }

// get returns the class of this name, or the unknown one.
func (t *classTable) get(name string) *class {
	if c := t.byName[name]; c != nil {
		return c
	}
	return t.unknown()
}

// hasFailureRate says whether the failure rate is that of a class of the table.
func (t *classTable) hasFailureRate(rate *outlier.ClassRate) bool {
	return slices.ContainsFunc(t.ordered, func(c *class) bool { return &c.failureRate == rate })
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
