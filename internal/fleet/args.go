package fleet

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of a run.
const (
	maxHollowNodes    = 1100
	maxRealNodes      = 1100
	maxRunLength      = 10 * time.Minute
	maxCallsPerSecond = 400000 // over all nodes
	// Margin is how much longer than its length a run may take in all: to build the program and start the nodes, to
	// wait for the last updates and answers, and to end its children.
	Margin = 2 * time.Minute
)

// modePolled is the value of --mode with which lists are polled; with the other they are pushed.
const modePolled = "asked"

// Args are the arguments of a run.
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

// Check returns an error that names the first argument that can't be used.
func (a Args) Check() error {
	between := func(name string, v, least, most float64) error {
		if !(v >= least && v <= most) {
			return fmt.Errorf("--%s must be from %v to %v, not %v", name, least, most, v)
		}
		return nil
	}
	for _, err := range []error{
		between("nodes", float64(a.Nodes), 0, maxHollowNodes), between("real", float64(a.Real), 0, maxRealNodes),
		between("servers", float64(a.Servers), 2, 5000), between("services", float64(a.Services), 1, 1000),
		between("changes", a.Changes, 0, 6000), between("configs", a.Configs, 0, 600),
		between("depth", float64(a.Depth), 1, maxRealNodes), between("rate", a.Rate, 0, 10000),
	} {
		if err != nil {
			return err
		}
	}
	switch {
	case a.For < time.Second || a.For > maxRunLength:
		return fmt.Errorf("--for must be from 1s to %v, not %v", maxRunLength, a.For)
	case a.Service < 0 || a.Service > time.Second:
		return fmt.Errorf("--service must be from 0s to 1s, not %v", a.Service)
	case a.Nodes+a.Real == 0:
		return errors.New("--nodes and --real are both 0: there is nothing to measure")
	case a.Nodes > 0 && a.Services > a.Nodes:
		return fmt.Errorf("--services %d is more than --nodes %d", a.Services, a.Nodes)
	case a.Real%a.Depth != 0 || a.Real == 0 && a.Depth > 1:
		return fmt.Errorf("--real %d makes no whole chains of --depth %d", a.Real, a.Depth)
	case a.Configs > 0 && a.Real == 0:
		return errors.New("--configs needs --real nodes")
	case a.Rate*float64(a.Nodes+a.Real) > maxCallsPerSecond:
		return fmt.Errorf("--rate %v at %d nodes is more than %d calls a second", a.Rate, a.Nodes+a.Real, maxCallsPerSecond)
	case a.Services*a.Servers > 200000:
		return fmt.Errorf("--services %d of --servers %d are more than 200000 entries", a.Services, a.Servers)
	}
	return nil
}

// bound returns how long the run may take in all.
func (a Args) bound() time.Duration { return a.For + Margin }
