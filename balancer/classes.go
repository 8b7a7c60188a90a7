// Request classes: their settings, and their statistics, which are kept when settings change.

package balancer

import (
	"cmp"
	"slices"

	"basaltdrum/balancer/internal/admission"
	"basaltdrum/balancer/internal/clienttimeout"
	"basaltdrum/balancer/internal/latency"
	"basaltdrum/balancer/internal/outlier"
)

// class is a request class with the settings that were in force when its requests were accepted. Its
// statistics are shared with the same class under later settings.
type class struct {
	Class
	*classStats
	failureRates outlier.ClassRates // of the class itself and of all classes together
	admission    admission.Class
}

// classStats holds the statistics of a class.
type classStats struct {
	latency     latency.Estimator
	failureRate outlier.ClassRate
	traffic     admission.Traffic
	timeout     clienttimeout.Estimator
}

// newClassStats returns the initial statistics of a class.
func newClassStats(c Class) *classStats {
	return &classStats{latency: latency.NewEstimator(c.LatencyObjective)}
}

// newClass returns a class with its settings and statistics. total is the failure rate over all classes.
func newClass(c Class, stats *classStats, total *outlier.ClassRate) *class {
	return &class{
		Class: c, classStats: stats, failureRates: outlier.ClassRates{&stats.failureRate, total},
		admission: admission.Class{
			Objective: c.LatencyObjective, PriorityWeight: c.PriorityWeight, LateValue: c.LateValue,
			Latency: &stats.latency, Traffic: &stats.traffic,
		},
	}
}

// classTable holds the classes of the current settings.
type classTable struct {
	byName  map[string]*class
	ordered []*class // in the order of the settings, then the unknown class
}

// newClassTable returns the classes of new settings. A class that the old table has keeps its statistics.
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

// statsOf returns the existing statistics of the class of this name, or new ones.
func (t *classTable) statsOf(c Class) *classStats {
	existing := t.byName[c.Name]
	if existing == nil {
		return newClassStats(c)
	}
	if existing.Deadline != c.Deadline {
		existing.timeout.Reset() // the usual timeout was a share of the old deadline
	}
	return existing.classStats
}

// unknownClass returns the class for requests that name no configured class: not idempotent, and otherwise
// like the class with the longest deadline.
func unknownClass(classes []Class) Class {
	longest := slices.MaxFunc(classes, func(a, b Class) int { return cmp.Compare(a.Deadline, b.Deadline) })
	return Class{
		LatencyObjective: longest.LatencyObjective,
		Deadline:         longest.Deadline,
		PriorityWeight:   longest.PriorityWeight,
	}
}

// unknown returns the unknown class, whose failure rate is the rate over all classes.
func (t *classTable) unknown() *class { return t.ordered[len(t.ordered)-1] }

// get returns the class of this name, or the unknown class.
func (t *classTable) get(name string) *class {
	if c := t.byName[name]; c != nil {
		return c
	}
	return t.unknown()
}

// hasFailureRate reports whether the failure rate belongs to a class of the table.
func (t *classTable) hasFailureRate(rate *outlier.ClassRate) bool {
	return slices.ContainsFunc(t.ordered, func(c *class) bool { return &c.failureRate == rate })
}

// priorities returns the classes and weights that determine priorities in load shedding.
func (t *classTable) priorities(settings *Settings) admission.Priorities {
	priorities := admission.Priorities{
		TotalWeight: settings.TotalWeight, WorstClassWeight: settings.WorstClassWeight,
	}
	for _, c := range t.ordered {
		priorities.Classes = append(priorities.Classes, &c.admission)
	}
	return priorities
}
