package plan

import (
	"fmt"
	"time"
)

// Upper limits of a run.
const (
	maxHollowNodes      = 1100
	maxRealNodes        = 1100
	maxRunLength        = 10 * time.Minute
	maxCallsPerSecond   = 400000 // over all nodes
	maxServersListed    = 5000   // in the list of one node
	maxServices         = 1000
	maxEntries          = 200000      // of all lists together
	maxChangesPerMinute = 6000        // of one list
	maxConfigsPerMinute = 600         // of one node
	maxNodeRate         = 10000       // calls per second at one node
	maxServiceTime      = time.Second // mean of a server
	// StartStopMargin is the extra time that a run may take beyond its length: to build the program, start the nodes,
	// wait for the last updates and responses, and stop the child processes.
	StartStopMargin = 2 * time.Minute
)

// ModePolled is the value of --mode for lists that are polled. With the other value they are pushed.
const ModePolled = "asked"

// Values of --storm. The remaining one, "registry", needs no constant.
const (
	StormNone = "none"
	StormZone = "zone"
)

// Args are the arguments of a run.
//
//nolint:lll // a struct tag is one string
type Args struct {
	Nodes    int           `help:"Hollow nodes: the real module, loop and discovery client, without sockets to callers and servers." default:"0" json:"nodes"`
	Real     int           `help:"Real nodes, one process each, in chains of --depth." default:"0" json:"real"`
	Servers  int           `help:"Servers listed to each node." default:"10" json:"servers"`
	Services int           `help:"Services that the hollow nodes are shared out to, each with a list of its own." default:"1" json:"services"`
	Changes  float64       `help:"Changes a minute of each list." default:"0" json:"changes"`
	Configs  float64       `help:"Changes a minute of the real nodes' configuration." default:"0" json:"configs"`
	Mode     string        `help:"Whether lists are ${enum}." enum:"pushed,asked" default:"pushed" json:"mode"`
	Storm    string        `help:"What is lost from a quarter to 0.6 of the length: ${enum}." enum:"none,zone,registry" default:"none" json:"storm"`
	Depth    int           `help:"Real nodes that a call passes in a row." default:"1" json:"depth"`
	Rate     float64       `help:"Calls a second at each node." default:"0" json:"rate"`
	Service  time.Duration `help:"Mean time that a server takes for a request, drawn anew for each." default:"0s" json:"service"`
	Seed     uint64        `help:"Seed of all that is drawn." default:"1" json:"seed"`
	For      time.Duration `help:"Length of the run; its start and end take two minutes more at most." default:"10s" json:"for"`
	Program  string        `help:"The real nodes' program; built by go build where none is named." type:"path" json:"program,omitempty"`
}

// Check returns an error for the first invalid argument: an OutOfRangeError or a ConflictError.
func (a Args) Check() error {
	err := firstError(
		checkRange("nodes", float64(a.Nodes), 0, maxHollowNodes),
		checkRange("real", float64(a.Real), 0, maxRealNodes),
		checkRange("servers", float64(a.Servers), 2, maxServersListed),
		checkRange("services", float64(a.Services), 1, maxServices),
		checkRange("changes", a.Changes, 0, maxChangesPerMinute),
		checkRange("configs", a.Configs, 0, maxConfigsPerMinute),
		checkRange("depth", float64(a.Depth), 1, maxRealNodes),
		checkRange("rate", a.Rate, 0, maxNodeRate),
		checkRange("for", a.For, time.Second, maxRunLength),
		checkRange("service", a.Service, 0, maxServiceTime),
	)
	if err != nil {
		return err
	}
	return firstConflict(a.conflictRules())
}

// conflictRules returns the rules that the arguments of a run must meet together.
func (a Args) conflictRules() []conflictRule {
	nodes := a.Nodes + a.Real
	return []conflictRule{
		{nodes == 0, "--nodes and --real are both 0: there is nothing to measure"},
		{
			a.Nodes > 0 && a.Services > a.Nodes,
			fmt.Sprintf("--services %d is more than --nodes %d", a.Services, a.Nodes),
		},
		{
			a.Real%a.Depth != 0 || a.Real == 0 && a.Depth > 1,
			fmt.Sprintf("--real %d is not a positive multiple of --depth %d", a.Real, a.Depth),
		},
		{a.Configs > 0 && a.Real == 0, "--configs needs --real nodes"},
		{
			a.Rate*float64(nodes) > maxCallsPerSecond,
			fmt.Sprintf("--rate %v at %d nodes is more than %d calls a second", a.Rate, nodes, maxCallsPerSecond),
		},
		{
			a.Services*a.Servers > maxEntries,
			fmt.Sprintf("--services %d times --servers %d is more than %d entries", a.Services, a.Servers, maxEntries),
		},
	}
}

// MaxDuration returns how long the run may take, including start and stop.
func (a Args) MaxDuration() time.Duration { return a.For + StartStopMargin }
