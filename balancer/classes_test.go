package balancer

import "testing"

// A class of the same name keeps its statistics under new settings, with its new settings.
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
			was, is := old.get(c.name), table.get(c.name)
			if kept := is.classStats == was.classStats; kept != c.kept {
				t.Errorf("statistics kept: %v, want %v", kept, c.kept)
			}
			if is.admission.Traffic != &is.traffic || is.admission.PriorityWeight != is.PriorityWeight {
				t.Error("admission has other counts or settings than the class")
			}
			if is.failureRates[0] != &is.failureRate || is.failureRates[1] != &table.unknown().failureRate {
				t.Error("results count for other rates than those of the class and of all classes")
			}
		})
	}
	if table.get("get").PriorityWeight != 7 {
		t.Errorf("a weight of %v, want the new one", table.get("get").PriorityWeight)
	}
	if table.hasFailureRate(&old.get("post").failureRate) || !table.hasFailureRate(&old.get("pay").failureRate) {
		t.Error("the rate of a removed class is known, or that of a kept one is not")
	}
}

// A class that is not in the settings is not idempotent.
func TestUnknownClassPermitsLeast(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Deadline *= 2
	table := newClassTable(settings.Classes, classTable{})
	unknown := table.get("no such class")
	if unknown.Effect != NonIdempotent || unknown.Deadline != settings.Classes[1].Deadline {
		t.Errorf("%+v, want the longest deadline and no repeats", unknown.Class)
	}
}
