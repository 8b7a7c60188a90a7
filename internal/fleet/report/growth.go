package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/stats"
)

// GrowthFigures holds the resource usage of a node on one day since the start of its process, as the mean over the
// nodes, and the figures of the day.
type GrowthFigures struct {
	Servers      int         `json:"servers"`
	FleetNodes   int         `json:"fleet_nodes"` // according to the settings
	Capacity     float64     `json:"capacity_hint"`
	CPUSeconds   float64     `json:"cpu_s"`
	PeakMemory   float64     `json:"peak_memory_bytes"`
	Descriptors  float64     `json:"descriptors"` // sampled maximum
	Connections  float64     `json:"connections_made"`
	ListBytes    float64     `json:"list_bytes"`         // including the first list, without HTTP headers
	ListPayload  float64     `json:"list_payload_bytes"` // the same with HTTP headers
	ListCalls    float64     `json:"list_calls"`         // at the registry; one response may contain many changes
	Served       float64     `json:"served_share"`
	Calls        stats.Tally `json:"calls"`
	Changes      int         `json:"changes"`            // each of one entry
	LateMS       float64     `json:"latest_event_ms"`    // largest delay of an event after its scheduled time
	MachineCores float64     `json:"machine_cores_busy"` // in use by all processes on the machine
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

// OverLimitError reports the rows whose limit a node does not meet at the large size.
type OverLimitError struct{ Rows []string }

func (e *OverLimitError) Error() string { return "over the limit: " + strings.Join(e.Rows, "; ") }

// Err returns an OverLimitError if a row does not meet its limit.
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

// Table writes the report as text.
func (r GrowthReport) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "machine\t%d cores, %s, load before %s\n", r.Machine.Cores, r.Machine.Go, r.Machine.Load)
	for _, f := range []GrowthFigures{r.Usual, r.Large} {
		fmt.Fprintf(w, "%d servers\tfleet of %d nodes, capacity of a server %.4g, %d changes (latest %.0f ms behind) "+
			"in %.0f calls for lists a node (%.4g KB with the HTTP headers), "+
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
