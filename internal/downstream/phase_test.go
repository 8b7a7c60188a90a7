package downstream

import "testing"

// String returns the name of a phase or a departure, and the type and number of a value without a name.
func TestPhasesAndDeparturesPrintTheirNames(t *testing.T) {
	for want, value := range map[string]interface{ String() string }{
		"new":           PhaseNew,
		"reading":       PhaseReading,
		"active":        PhaseActive,
		"idle":          PhaseIdle,
		"lingering":     PhaseLingering,
		"Phase(5)":      PhaseLingering + 1,
		"present":       Present,
		"unobservable":  Unobservable,
		"half-closed":   HalfClosed,
		"disconnected":  Disconnected,
		"Departure(-1)": Departure(-1),
	} {
		if got := value.String(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
