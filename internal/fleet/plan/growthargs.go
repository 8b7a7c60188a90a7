package plan

import (
	"fmt"
	"time"
)

// Upper limits of a growth run.
const (
	maxListedServers = 3200
	maxFleetNodes    = 900 // nodes of the fleet according to the settings
	maxGrowthNodes   = 50  // real nodes
	maxGrowthRate    = 300 // calls per second at a node
	maxGrowthLength  = time.Minute
)

// GrowthArgs are the arguments of a growth run.
//
//nolint:lll // a struct tag is one string
type GrowthArgs struct {
	Servers int           `help:"Servers listed at the usual size." default:"200" json:"servers"`
	Factor  int           `help:"How many times as many servers the large size has." default:"16" json:"factor"`
	Real    int           `help:"Real nodes that are played, one process each." default:"4" json:"real"`
	Fleet   int           `help:"Nodes that the settings tell at the usual size; at the large size as many times more as --factor says, 900 at most." default:"300" json:"fleet"`
	Mode    string        `help:"Whether lists are ${enum}." enum:"pushed,asked" default:"pushed" json:"mode"`
	Rate    float64       `help:"Calls a second at each node." default:"30" json:"rate"`
	Service time.Duration `help:"Mean time that a server takes for a request, drawn anew for each." default:"5ms" json:"service"`
	Seed    uint64        `help:"Seed of all that is drawn." default:"1" json:"seed"`
	For     time.Duration `help:"Length of each day." default:"20s" json:"for"`
	Program string        `help:"The nodes' program; built by go build where none is named." type:"path" json:"program,omitempty"`
}

// Check returns an error for the first invalid argument: an OutOfRangeError or a ConflictError.
func (a GrowthArgs) Check() error {
	err := firstError(
		checkRange("servers", float64(a.Servers), 10, maxListedServers),
		checkRange("factor", float64(a.Factor), 2, 16),
		checkRange("real", float64(a.Real), 1, maxGrowthNodes),
		checkRange("fleet", float64(a.Fleet), float64(a.Real), maxFleetNodes),
		checkRange("rate", a.Rate, 1, maxGrowthRate),
	)
	if err != nil {
		return err
	}
	err = firstConflict([]conflictRule{{
		a.Servers*a.Factor > maxListedServers,
		fmt.Sprintf("--servers %d times --factor %d is more than %d", a.Servers, a.Factor, maxListedServers),
	}})
	if err != nil {
		return err
	}
	return firstError(
		checkRange("for", a.For, time.Second, maxGrowthLength),
		checkRange("service", a.Service, 0, maxServiceTime),
	)
}

// MaxDuration returns how long both days may take together, including start and stop.
func (a GrowthArgs) MaxDuration() time.Duration { return 2*a.For + StartStopMargin }

// GrowthSize is the size of the fleet on one day.
type GrowthSize struct {
	Servers  int
	Nodes    int     // of the fleet according to the settings
	Capacity float64 // of each server; 1 at the usual size
}

// Usual returns the usual size.
func (a GrowthArgs) Usual() GrowthSize {
	return GrowthSize{Servers: a.Servers, Nodes: a.Fleet, Capacity: 1}
}

// Large returns the large size. The total capacity of the servers per node is the same as at the usual size.
func (a GrowthArgs) Large() GrowthSize {
	size := GrowthSize{Servers: a.Servers * a.Factor, Nodes: min(a.Fleet*a.Factor, maxFleetNodes)}
	size.Capacity = float64(size.Nodes) / float64(a.Fleet) / float64(a.Factor)
	return size
}
