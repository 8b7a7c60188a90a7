package report

import (
	"strings"

	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/stats"
)

// Machine describes the machine of a run.
type Machine struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"`          // version
	Load  string `json:"load_before"` // load average over the minute before the run
}

// PerNode holds the discovery traffic of each node. Bytes are TCP payload between the node and its agent, or the
// registry if lists are polled.
type PerNode struct {
	Nodes    int     `json:"nodes"`
	BytesIn  float64 `json:"bytes_in_per_s"`
	BytesOut float64 `json:"bytes_out_per_s"`
}

// HollowFigures holds the figures of the hollow nodes' process. Its CPU time includes everything that the process does:
// the modules, loops and discovery clients, the load generator, and the simulated attempts.
type HollowFigures struct {
	Nodes            int                      `json:"nodes"`
	ReadyMS          float64                  `json:"all_ready_after_ms"`
	CoresPerNode     float64                  `json:"cores_per_node"`
	HeapPerNode      float64                  `json:"heap_bytes_per_node"`
	HeapPerNodeAtEnd float64                  `json:"heap_bytes_per_node_at_end"` // with the run's records of changes
	StackPerNode     float64                  `json:"stack_bytes_per_node"`
	RSS              int64                    `json:"rss_bytes"`
	Calls            stats.Tally              `json:"calls"`
	Lateness         stats.Quantiles          `json:"late"`
	Latency          stats.Quantiles          `json:"latency"`
	ScheduleKept     bool                     `json:"schedule_kept"`
	InForce          map[string]stats.InForce `json:"in_force"` // by group of list changes
	Warnings         int64                    `json:"log_warnings"`
	StormCalls       *stats.Tally             `json:"calls_in_storm,omitempty"`
}

// RealFigures holds the figures of the real nodes' processes. Cores are measured in the rounds in which calls went
// through the nodes, or over the whole run if there are no calls.
type RealFigures struct {
	Nodes     int     `json:"nodes"`
	Alive     int     `json:"alive_at_end"`
	CoresMean float64 `json:"cores_mean"`
	CoresMax  float64 `json:"cores_max"`
	RSSMean   float64 `json:"rss_bytes_mean"`
	RSSMax    int64   `json:"rss_bytes_max"`
}

// RegistryFigures holds the figures of the process of the registry and the agents.
type RegistryFigures struct {
	OpenConnections int64   `json:"connections_open"`
	Conns           float64 `json:"connections_per_s"`
	Calls           float64 `json:"calls_per_s"`
	BytesIn         float64 `json:"bytes_in_per_s"`
	BytesOut        float64 `json:"bytes_out_per_s"`
	Peak            float64 `json:"peak_calls_per_s"` // in the busiest 100 ms
	CoresInUse      float64 `json:"cores"`
	RSS             int64   `json:"rss_bytes"`
}

// StormFigures compares the registry's load after an outage with the mean before it. All calls that the registry
// receives are counted, including those that it does not answer.
type StormFigures struct {
	Kind            string  `json:"kind"`
	LostSec         float64 `json:"lost_s"`
	Before          float64 `json:"calls_per_s_before"`
	During          float64 `json:"calls_per_s_while_lost"`
	After           float64 `json:"calls_per_s_after"` // over WatchedAfterSec
	PeakAfter       float64 `json:"peak_calls_per_s_after"`
	PeakToMean      float64 `json:"peak_to_mean_before"`
	BytesOutAfter   float64 `json:"bytes_out_per_s_after"`
	WatchedAfterSec float64 `json:"watched_after_s"`
	NewestAllMS     float64 `json:"newest_list_at_all_nodes_after_ms"`
	Missed          int     `json:"nodes_without_newest_list"`
}

// Point is the report of one run.
type Point struct {
	Args         plan.Args       `json:"args"`
	Machine      Machine         `json:"machine"`
	Seconds      float64         `json:"measured_s"`
	PerNode      PerNode         `json:"per_node"`
	Registry     RegistryFigures `json:"registry"`
	Hollow       *HollowFigures  `json:"hollow,omitempty"`
	Real         *RealFigures    `json:"real,omitempty"`
	Chain        *Chain          `json:"chain,omitempty"`
	Configs      *Configs        `json:"configs,omitempty"`
	Storm        *StormFigures   `json:"storm,omitempty"`
	MachineCores float64         `json:"machine_cores_in_use"`
}

// Report is what a command writes as JSON.
type Report struct {
	Command string                `json:"command"`
	Points  []Point               `json:"points"`
	Over    string                `json:"over,omitempty"`   // argument that a sweep varied
	Slopes  map[string]stats.Line `json:"slopes,omitempty"` // fit of each figure against that argument
}

// Command returns the command line of a run for its report.
func Command(args []string) string { return "fleetscale " + strings.Join(args, " ") }

// Configs holds figures of how quickly configuration changes were in force at the real nodes.
type Configs struct {
	Changes    int             `json:"changes"`
	Sent       int             `json:"sent"`         // pairs of a change and a node
	InForce    int             `json:"in_force"`     // pairs in force within LimitSec
	NotInForce int             `json:"not_in_force"` // pairs not in force by then
	LimitSec   float64         `json:"limit_s"`
	Took       stats.Quantiles `json:"took"` // times of the pairs in force
}
