package nodes

import (
	"encoding/json"
	"fmt"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/fleet/plan"
)

// NodeSpec holds the parameters of the configuration of one node.
type NodeSpec struct {
	Name          string
	Index         int // among the replicas of its service
	Replicas      int
	Tier          int
	Listen        string   // 127.0.0.1:0 for a port chosen by the system
	Discovery     string   // address of the agent, or of the registry if lists are polled
	PollDiscovery bool     // lists are polled, not pushed
	Classes       []string // in addition to the class of the calls
	Seed          uint64
}

// Configuration returns the node's configuration file, with the limits of the target: 128 MB of memory, 1,024 file
// descriptors.
func (s NodeSpec) Configuration() ([]byte, error) {
	type object = map[string]any
	var classes []object
	for _, name := range append([]string{load.Class}, s.Classes...) {
		classes = append(classes, object{
			"name": name, "effect": "read_like", "target-ms": 1000,
			"deadline-ms": load.Deadline.Milliseconds(), "worth": 1,
		})
	}
	mode := "pushed"
	if s.PollDiscovery {
		mode = "on_request"
	}
	text, err := json.MarshalIndent(object{
		"name": s.Name, "listen": s.Listen, "discovery": s.Discovery, "seed": fmt.Sprintf("%016x", s.Seed),
		"limits": object{"cores": 1, "memory_mb": 128, "sockets": 1024},
		"known":  object{"rev": 0, "all": true, "targets": []any{}},
		"settings": object{
			"balancers": s.Replicas, "me": s.Index, "tier": s.Tier, "zone": plan.Zones[s.Index%len(plan.Zones)],
			"localities": plan.Zones, "registry-mode": mode, "tick-ms": 5, "lanes": classes,
			"blend": object{"whole": 0.65, "worst-class": 0.2},
			"limits": object{
				"cancelling": true, "conn-idle-ms": 10000, "connect-timeout-ms": 150,
				"max-attempts": 3, "max-retry-after-ms": 2000, "retry-after": true,
			},
			"rules": object{
				"answer-slack-ms": 20, "ask-within-ms": 10000, "cold-from": 0.12, "fall-ms": 1000,
				"fall-multiple": 4, "stop-sending-within-ms": 250, "warm-after-ms": 24000,
			},
		},
	}, "", " ")
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return text, nil
}
