package node

import "testing"

// Logs and errors show a connection's phase and a client's departure by name, and a value that has none by
// its type and number.
func TestPhasesAndDeparturesPrintTheirNames(t *testing.T) {
	for want, value := range map[string]interface{ String() string }{
		"new":           phaseNew,
		"reading":       phaseReading,
		"active":        phaseActive,
		"idle":          phaseIdle,
		"lingering":     phaseLingering,
		"connPhase(5)":  phaseLingering + 1,
		"present":       present,
		"unobservable":  unobservable,
		"half-closed":   halfClosed,
		"disconnected":  disconnected,
		"departure(-1)": departure(-1),
	} {
		if got := value.String(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
