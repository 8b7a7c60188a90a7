package balancer

import (
	"math"
	"strings"
	"testing"
)

// The error for an invalid setting contains the name of the field.
func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes is missing":        func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":           func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[1].DedupWindow":    func(s *Settings) { s.Classes[1].DedupWindow = -1 },
		"Classes[2].Name":           func(s *Settings) { s.Classes[2].Name = "get" },
		"Classes[0].PriorityWeight": func(s *Settings) { s.Classes[0].PriorityWeight = math.Inf(1) },
		"TotalWeight":               func(s *Settings) { s.TotalWeight = math.NaN() },
		"ReplicaIndex":              func(s *Settings) { s.ReplicaIndex = -1 },
		"ZoneCount":                 func(s *Settings) { s.ZoneCount = -1 },
		"SlowStartFloor":            func(s *Settings) { s.SlowStartFloor = 1.5 },
		"SlowStartDuration":         func(s *Settings) { s.SlowStartDuration = -1 },
		"Classes[0].LateValue":      func(s *Settings) { s.Classes[0].LateValue = 2 },
	} {
		t.Run(want, func(t *testing.T) {
			s := testSettings()
			change(&s)
			if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("New returned the error %v, want one that contains %q", err, want)
			}
		})
	}
}
