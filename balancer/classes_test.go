package balancer

import "testing"

// A class that is kept under new settings keeps its statistics and gets its new settings.
func TestClassesKeepTheirStatistics(t *testing.T) {
	settings := testSettings()
	old := newClassTable(settings.Classes, classTable{})
	changed := append([]Class{}, settings.Classes...)
	changed[0].PriorityWeight = 7
	changed[1].Name = "renamed"
	table := newClassTable(changed, old)
	for _, c := range []struct {
		name string
		kept bool
	}{{"get", true}, {"renamed", false}, {"pay", true}, {"", true}} {
		t.Run("class "+c.name, func(t *testing.T) {
			before, after := old.get(c.name), table.get(c.name)
			if kept := after.classStats == before.classStats; kept != c.kept {
				t.Errorf("statistics kept: %v, want %v", kept, c.kept)
			}
			if after.admission.Traffic != &after.traffic ||
				after.admission.PriorityWeight != after.PriorityWeight {
				t.Error("admission control uses other counters or settings than those of the class, want those")
			}
			if after.failureRates[0] != &after.failureRate ||
				after.failureRates[1] != &table.unknown().failureRate {
				t.Error("failure rates are others, want those of the class and of all classes together")
			}
		})
	}
	if table.get("get").PriorityWeight != 7 {
		t.Errorf("PriorityWeight is %v, want the new value 7", table.get("get").PriorityWeight)
	}
	if table.hasFailureRate(&old.get("post").failureRate) || !table.hasFailureRate(&old.get("pay").failureRate) {
		t.Error("hasFailureRate is true for a removed class or false for a kept one, want the opposite")
	}
}

// Requests of a class that is not in the settings are treated as not idempotent, with the longest deadline.
func TestUnknownClassIsNotIdempotent(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Deadline *= 2
	table := newClassTable(settings.Classes, classTable{})
	unknown := table.get("no such class")
	if unknown.Effect != NonIdempotent || unknown.Deadline != settings.Classes[1].Deadline {
		t.Errorf("unknown class is %+v, want the longest deadline and NonIdempotent", unknown.Class)
	}
}
