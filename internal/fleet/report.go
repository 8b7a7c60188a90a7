package fleet

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Machine is where a run was made.
type Machine struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"`
	Load  string `json:"load_before"` // average over the minute before the run
}

// PerNode is what control, and calls if there were any, cost each node. Bytes are of TCP payload between
// the node and its agent, or the registry where lists are asked for.
type PerNode struct {
	Nodes    int     `json:"nodes"`
	BytesIn  float64 `json:"bytes_in_per_s"`
	BytesOut float64 `json:"bytes_out_per_s"`
}

// HollowFigures are of the hollow nodes' process. Its CPU holds all that the process does: module, loops,
// discovery clients, the generator of the calls, and the servers' answers in memory.
type HollowFigures struct {
	Nodes        int                `json:"nodes"`
	ReadyMS      float64            `json:"all_ready_after_ms"`
	CoresNode    float64            `json:"cores_per_node"`
	HeapNode     float64            `json:"heap_bytes_per_node"`
	HeapAfter    float64            `json:"heap_bytes_per_node_at_end"` // with what the run notes of each change
	StackNode    float64            `json:"stack_bytes_per_node"`
	RSS          int64              `json:"rss_bytes"`
	Calls        Tally              `json:"calls"`
	Lateness     Quantiles          `json:"late"`
	Latency      Quantiles          `json:"latency"`
	ScheduleKept bool               `json:"schedule_kept"`
	InForce      map[string]InForce `json:"in_force"` // by the kind of change
	Warnings     int64              `json:"log_warnings"`
	StormCalls   *Tally             `json:"calls_in_storm,omitempty"`
}

// RealFigures are of the real nodes' processes, over the rounds in which calls went through them (with no
// calls, over the run).
type RealFigures struct {
	Nodes     int     `json:"nodes"`
	Alive     int     `json:"alive_at_end"`
	CoresMean float64 `json:"cores_mean"`
	CoresMax  float64 `json:"cores_max"`
	RSSMean   float64 `json:"rss_bytes_mean"`
	RSSMax    int64   `json:"rss_bytes_max"`
}

// RegistryFigures are of the process of the registry and the agents.
type RegistryFigures struct {
	Open     int64   `json:"connections_open"`
	Conns    float64 `json:"connections_per_s"`
	Calls    float64 `json:"calls_per_s"`
	BytesIn  float64 `json:"bytes_in_per_s"`
	BytesOut float64 `json:"bytes_out_per_s"`
	Peak     float64 `json:"peak_calls_per_s"` // in the busiest 100 ms
	Cores    float64 `json:"cores"`
	RSS      int64   `json:"rss_bytes"`
}

// StormFigures compare the registry's load at the return with the mean before. Calls are as it takes them,
// also those it leaves without an answer.
type StormFigures struct {
	Kind        string  `json:"kind"`
	LostSec     float64 `json:"lost_s"`
	Before      float64 `json:"calls_per_s_before"`
	During      float64 `json:"calls_per_s_while_lost"`
	After       float64 `json:"calls_per_s_after"` // over the watched time after the return
	PeakAfter   float64 `json:"peak_calls_per_s_after"`
	PeakToMean  float64 `json:"peak_to_mean_before"`
	PeakBytes   float64 `json:"bytes_out_per_s_after"`
	AfterSec    float64 `json:"watched_after_s"`
	NewestAllMS float64 `json:"newest_list_at_all_nodes_after_ms"`
	Missed      int     `json:"nodes_without_newest_list"`
}

// Point is the report of one run.
type Point struct {
	Args     Args            `json:"args"`
	Machine  Machine         `json:"machine"`
	Seconds  float64         `json:"measured_s"`
	PerNode  PerNode         `json:"per_node"`
	Registry RegistryFigures `json:"registry"`
	Hollow   *HollowFigures  `json:"hollow,omitempty"`
	Real     *RealFigures    `json:"real,omitempty"`
	Chain    *Chain          `json:"chain,omitempty"`
	Configs  *Configs        `json:"configs,omitempty"`
	Storm    *StormFigures   `json:"storm,omitempty"`
	Busy     float64         `json:"machine_cores_in_use"`
}

// Table writes the figures for a reader.
func (p Point) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(w, "%s\t"+format+"\n", append([]any{name}, values...)...)
	}
	a := p.Args
	row("run", "%d hollow and %d real nodes, %d services, %d servers listed, %v changes a minute of each list, %s, storm %s, %v calls/s a node, seed %d",
		a.Nodes, a.Real, a.Services, a.Servers, a.Changes, a.Mode, a.Storm, a.Rate, a.Seed)
	row("machine", "%d cores, %s, load before %s, %.1f cores in use over %.1f s", p.Machine.Cores, p.Machine.Go, p.Machine.Load, p.Busy, p.Seconds)
	row("a node and its agent or registry", "in %.0f B/s, out %.0f B/s", p.PerNode.BytesIn, p.PerNode.BytesOut)
	r := p.Registry
	row("registry and agents", "%d connections, %.1f calls/s, peak %.0f, in %.0f B/s, out %.0f B/s, %.3f cores, %.1f MB",
		r.Open, r.Calls, r.Peak, r.BytesIn, r.BytesOut, r.Cores, megabytes(r.RSS))
	if h := p.Hollow; h != nil {
		row("a hollow node", "%.3f%% of a core, heap %.0f KB (at the end %.0f KB), stacks %.0f KB; all ready after %.0f ms",
			100*h.CoresNode, h.HeapNode/1e3, h.HeapAfter/1e3, h.StackNode/1e3, h.ReadyMS)
		if h.Calls.Offered > 0 {
			row("hollow calls", "%d offered, %d served, %d refused, %d failed; 50/99/99.9 in 100: %.2f/%.2f/%.2f ms; %s",
				h.Calls.Offered, h.Calls.Served, h.Calls.Rejected, h.Calls.Failed, h.Latency.P50, h.Latency.P99, h.Latency.P999, scheduleText(h.ScheduleKept, h.Lateness))
		}
		for _, group := range groups {
			if f, ok := h.InForce[group]; ok {
				row("in force: "+group, "%d changes; at 50/99/100 in 100 nodes: median %.1f/%.1f/%.1f ms, worst %.1f/%.1f/%.1f ms; %d heard, %d missed",
					f.Changes, f.Half.Median, f.P99.Median, f.All.Median, f.Half.Worst, f.P99.Worst, f.All.Worst, f.Applied, f.Missed)
			}
		}
	}
	if f := p.Real; f != nil {
		row("a real node", "%.3f%% of a core (most %.3f%%), %.1f MB (most %.1f MB); %d of %d alive at the end",
			100*f.CoresMean, 100*f.CoresMax, f.RSSMean/1e6, megabytes(f.RSSMax), f.Alive, f.Nodes)
	}
	if c := p.Chain; c != nil {
		for i, v := range []PathFigures{c.Direct, c.Through} {
			row(fmt.Sprintf("depth %d, %s", c.Depth, [...]string{"direct", "through nodes"}[i]), "%d offered, %d served, %d refused, %d failed; 50/99/99.9 in 100: %.2f/%.2f/%.2f ms; %s; %.1f cores in use",
				v.Offered, v.Served, v.Rejected, v.Failed, v.Latency.P50, v.Latency.P99, v.Latency.P999, scheduleText(v.ScheduleKept, v.Lateness), v.Cores)
		}
		row(fmt.Sprintf("added by %d nodes", c.Depth), "50/99/99.9 in 100: %.2f/%.2f/%.2f ms", c.AddedP50, c.AddedP99, c.AddedP999)
	}
	if c := p.Configs; c != nil {
		row("changes of configuration", "%d at %d nodes: %d in force within %.0f s, %d not; 50/99/100 in 100: %.0f/%.0f/%.0f ms",
			c.Changes, a.Real, c.InForce, c.LimitSec, c.NotInForce, c.Took.P50, c.Took.P99, c.Took.Max)
	}
	if s := p.Storm; s != nil {
		row("storm: "+s.Kind, "lost for %.1f s; calls/s before %.1f, meanwhile %.1f, in the %.1f s after %.1f, peak %.0f, which is %.1f of the mean before; out after %.0f B/s",
			s.LostSec, s.Before, s.During, s.AfterSec, s.After, s.PeakAfter, s.PeakToMean, s.PeakBytes)
		row("newest list", "at all hollow nodes %.0f ms after the return; %d without it", s.NewestAllMS, s.Missed)
		if p.Hollow != nil && p.Hollow.StormCalls != nil {
			t := p.Hollow.StormCalls
			row("hollow calls meanwhile", "%d offered, %d served, %d refused, %d failed", t.Offered, t.Served, t.Rejected, t.Failed)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}

func megabytes(bytes int64) float64 { return float64(bytes) / 1e6 }

func scheduleText(kept bool, late Quantiles) string {
	said := "schedule kept"
	if !kept {
		said = "SCHEDULE NOT KEPT"
	}
	return fmt.Sprintf("%s (99 in 100 sends within %.2f ms, latest %.1f ms)", said, late.P99, late.Max)
}

// ms is a time in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Report is what a command writes as JSON.
type Report struct {
	Command string          `json:"command"`
	Points  []Point         `json:"points"`
	Over    string          `json:"over,omitempty"`   // for a sweep: what was varied
	Slopes  map[string]Line `json:"slopes,omitempty"` // of each figure against it
}

// Command writes down a command line.
func Command(args []string) string { return "fleetscale " + strings.Join(args, " ") }

// Table writes the points, and for a sweep its slopes.
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
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "against %s\tat 0\tfor one more\tfor 1,000 more\tR2\n", r.Over)
	for _, name := range slices.Sorted(maps.Keys(r.Slopes)) {
		l := r.Slopes[name]
		fmt.Fprintf(w, "%s\t%.5g\t%.5g\t%.5g\t%.3f\n", name, l.Base, l.Slope, 1000*l.Slope, l.R2)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}
