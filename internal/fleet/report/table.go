package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/stats"
)

// table writes rows with a name and a text as aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer) table { return table{tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)} }

// row writes one row. The writer keeps an error until flush.
func (t table) row(name, format string, values ...any) {
	fmt.Fprintf(t.w, "%s\t"+format+"\n", append([]any{name}, values...)...)
}

// flush aligns the columns and writes them to the output.
func (t table) flush() error {
	if err := t.w.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}

// Table writes the figures of the run as text.
func (p Point) Table(out io.Writer) error {
	t := newTable(out)
	a, r := p.Args, p.Registry
	t.row("run", "%d hollow and %d real nodes, %d services, %d servers listed, %v changes a minute of each list, "+
		"%s, storm %s, %v calls/s a node, seed %d",
		a.Nodes, a.Real, a.Services, a.Servers, a.Changes, a.Mode, a.Storm, a.Rate, a.Seed)
	t.row("machine", "%d cores, %s, load before %s, %.1f cores in use over %.1f s",
		p.Machine.Cores, p.Machine.Go, p.Machine.Load, p.MachineCores, p.Seconds)
	t.row("a node and its agent or registry", "in %.0f B/s, out %.0f B/s", p.PerNode.BytesIn, p.PerNode.BytesOut)
	t.row("registry and agents",
		"%d connections, %.1f calls/s, peak %.0f, in %.0f B/s, out %.0f B/s, %.3f cores, %.1f MB",
		r.OpenConnections, r.Calls, r.Peak, r.BytesIn, r.BytesOut, r.CoresInUse, megabytes(r.RSS))
	if p.Hollow != nil {
		p.Hollow.rows(t)
	}
	if f := p.Real; f != nil {
		t.row("a real node", "%.3f%% of a core (most %.3f%%), %.1f MB (most %.1f MB); %d of %d alive at the end",
			100*f.CoresMean, 100*f.CoresMax, f.RSSMean/1e6, megabytes(f.RSSMax), f.Alive, f.Nodes)
	}
	if p.Chain != nil {
		p.Chain.rows(t)
	}
	if c := p.Configs; c != nil {
		t.row("changes of configuration",
			"%d at %d nodes: %d in force within %.0f s, %d not; 50/99/100 in 100: %.0f/%.0f/%.0f ms",
			c.Changes, a.Real, c.InForce, c.LimitSec, c.NotInForce, c.Took.P50, c.Took.P99, c.Took.Max)
	}
	if p.Storm != nil {
		p.Storm.rows(t)
		if p.Hollow != nil && p.Hollow.StormCalls != nil {
			calls := p.Hollow.StormCalls
			t.row("hollow calls meanwhile", "%d offered, %d served, %d refused, %d failed",
				calls.Offered, calls.Served, calls.Rejected, calls.Failed)
		}
	}
	return t.flush()
}

// rows writes the rows of the hollow nodes' figures.
func (h *HollowFigures) rows(t table) {
	t.row("a hollow node",
		"%.3f%% of a core, heap %.0f KB (at the end %.0f KB), stacks %.0f KB; all ready after %.0f ms",
		100*h.CoresPerNode, h.HeapPerNode/1e3, h.HeapPerNodeAtEnd/1e3, h.StackPerNode/1e3, h.ReadyMS)
	if h.Calls.Offered > 0 {
		t.row("hollow calls", "%d offered, %d served, %d refused, %d failed; 50/99/99.9 in 100: %.2f/%.2f/%.2f ms; %s",
			h.Calls.Offered, h.Calls.Served, h.Calls.Rejected, h.Calls.Failed,
			h.Latency.P50, h.Latency.P99, h.Latency.P999, scheduleText(h.ScheduleKept, h.Lateness))
	}
	for _, group := range plan.ListChangeGroups {
		if f, ok := h.InForce[group]; ok {
			t.row("in force: "+group, "%d changes; at 50/99/100 in 100 nodes: median %.1f/%.1f/%.1f ms, "+
				"worst %.1f/%.1f/%.1f ms; %d heard, %d missed",
				f.Changes, f.Half.Median, f.P99.Median, f.All.Median, f.Half.Worst, f.P99.Worst, f.All.Worst,
				f.Applied, f.Missed)
		}
	}
}

// rows writes the rows of both paths and their difference.
func (c *Chain) rows(t table) {
	for _, path := range []struct {
		name    string
		figures load.PathFigures
	}{
		{"direct", c.Direct},
		{"through nodes", c.Through},
	} {
		f := path.figures
		t.row(fmt.Sprintf("depth %d, %s", c.Depth, path.name),
			"%d offered, %d served, %d refused, %d failed; 50/99/99.9 in 100: %.2f/%.2f/%.2f ms; %s; %.1f cores in use",
			f.Offered, f.Served, f.Rejected, f.Failed, f.Latency.P50, f.Latency.P99, f.Latency.P999,
			scheduleText(f.ScheduleKept, f.Lateness), f.Cores)
	}
	t.row(fmt.Sprintf("added by %d nodes", c.Depth), "50/99/99.9 in 100: %.2f/%.2f/%.2f ms",
		c.AddedP50, c.AddedP99, c.AddedP999)
}

// rows writes the rows of an outage's figures.
func (s *StormFigures) rows(t table) {
	t.row("storm: "+s.Kind, "lost for %.1f s; calls/s before %.1f, meanwhile %.1f, in the %.1f s after %.1f, "+
		"peak %.0f, which is %.1f of the mean before; out after %.0f B/s",
		s.LostSec, s.Before, s.During, s.WatchedAfterSec, s.After, s.PeakAfter, s.PeakToMean, s.BytesOutAfter)
	t.row("newest list", "at all hollow nodes %.0f ms after the return; %d without it", s.NewestAllMS, s.Missed)
}

// megabytes converts a number of bytes to megabytes.
func megabytes(bytes int64) float64 { return float64(bytes) / megabyte }

// scheduleText describes whether calls were sent close enough to their scheduled times.
func scheduleText(kept bool, lateness stats.Quantiles) string {
	text := "schedule kept"
	if !kept {
		text = "SCHEDULE NOT KEPT"
	}
	return fmt.Sprintf("%s (99 in 100 sends within %.2f ms, latest %.1f ms)", text, lateness.P99, lateness.Max)
}

// Table writes the points, and the slopes of a sweep, as text.
func (r Report) Table(out io.Writer) error {
	for _, p := range r.Points {
		if err := p.Table(out); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	if r.Over == "" {
		return nil
	}
	t := newTable(out)
	t.row("against "+r.Over, "at 0\tfor one more\tfor 1,000 more\tR2")
	for _, name := range slices.Sorted(maps.Keys(r.Slopes)) {
		line := r.Slopes[name]
		t.row(name, "%.5g\t%.5g\t%.5g\t%.3f", line.Intercept, line.Slope, 1000*line.Slope, line.R2)
	}
	return t.flush()
}
