package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/stats"
)

// GrowthFigures are what a node needed on one day, as the mean over the nodes, from the start of its process on.
type GrowthFigures struct {
	Servers      int         `json:"servers"`
	FleetNodes   int         `json:"fleet_nodes"` // as the settings tell
	Capacity     float64     `json:"capacity_hint"`
	CPUSeconds   float64     `json:"cpu_s"`
	PeakMemory   float64     `json:"peak_memory_bytes"`
	Descriptors  float64     `json:"descriptors"` // the most at once, by samples
	Connections  float64     `json:"connections_made"`
	ListBytes    float64     `json:"list_bytes"`         // with the first list, without the headers of HTTP
	ListPayload  float64     `json:"list_payload_bytes"` // the same with them
	ListCalls    float64     `json:"list_calls"`         // at the registry; one may bring many changes
	Served       float64     `json:"served_share"`
	Calls        stats.Tally `json:"calls"`
	Changes      int         `json:"changes"`            // of one entry each
	LateMS       float64     `json:"latest_event_ms"`    // how far the day's events fell behind its plan at most
	MachineCores float64     `json:"machine_cores_busy"` // by all programs on the machine
}

// GrowthReport is what a growth run writes as JSON.
type GrowthReport struct {
	Command string          `json:"command"`
	Args    plan.GrowthArgs `json:"args"`
	Machine Machine         `json:"machine"`
	Usual   GrowthFigures   `json:"usual"`
	Large   GrowthFigures   `json:"large"`
	Rows    []GrowthRow     `json:"rows"`
}

// OverLimitError says that a node needs more at the large size than the limits allow.
type OverLimitError struct{ Rows []string }

func (e *OverLimitError) Error() string { return "over the limit: " + strings.Join(e.Rows, "; ") }

// Err is an OverLimitError if a row is over its limit.
func (r GrowthReport) Err() error {
	var over []string
	for _, row := range r.Rows {
		if !row.Within {
			over = append(over, row.What)
		}
	}
	if over == nil {
		return nil
	}
	return &OverLimitError{over}
}

// Table writes the rows for a reader.
func (r GrowthReport) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "machine\t%d cores, %s, load before %s\n", r.Machine.Cores, r.Machine.Go, r.Machine.Load)
	for _, f := range []GrowthFigures{r.Usual, r.Large} {
		fmt.Fprintf(w, "%d servers\tfleet of %d nodes, capacity of a server %.4g, %d changes (latest %.0f ms behind) "+
			"in %.0f calls for lists a node (%.4g KB with the heads of HTTP), "+
			"%d calls: %d served, %d refused, %d failed; %.1f cores of the machine in use\n",
			f.Servers, f.FleetNodes, f.Capacity, f.Changes, f.LateMS, f.ListCalls, f.ListPayload/kilobyte,
			f.Calls.Offered, f.Calls.Served, f.Calls.Rejected, f.Calls.Failed, f.MachineCores)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	fmt.Fprintf(w, "a node in the mean\tusual\tlarge\tlimit\t\n")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%s\n", row.What, row.Usual, row.Large, row.Limit,
			map[bool]string{true: "within", false: "over"}[row.Within])
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}
