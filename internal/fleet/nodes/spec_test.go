package nodes

import (
	"slices"
	"testing"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/node"
)

// The node accepts the configuration and reads from it what the spec contains.
func TestConfigurationIsAccepted(t *testing.T) {
	for _, test := range []struct {
		name string
		spec NodeSpec
	}{
		{"lists are pushed", NodeSpec{Name: "n0", Replicas: 1}},
		{"lists are polled", NodeSpec{Name: "n0", Replicas: 1, PollDiscovery: true}},
		{"the last of many replicas", NodeSpec{Name: "n899", Index: 899, Replicas: 900}},
		{"more classes", NodeSpec{Name: "n0", Replicas: 1, Classes: []string{"added-1", "added-2"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.spec.Listen, test.spec.Discovery = "127.0.0.1:0", "127.0.0.1:1"
			text, err := test.spec.Configuration()
			if err != nil {
				t.Fatal(err)
			}
			config, err := node.ParseConfig(text)
			if err != nil {
				t.Fatal(err)
			}
			var classes []string
			for _, class := range config.Settings.Classes {
				classes = append(classes, class.Name)
			}
			if want := append([]string{load.Class}, test.spec.Classes...); !slices.Equal(classes, want) {
				t.Errorf("classes %v, want %v", classes, want)
			}
			if config.Settings.PollDiscovery != test.spec.PollDiscovery || config.Discovery != test.spec.Discovery {
				t.Errorf("configuration %+v differs from the spec in how or where lists are fetched", config)
			}
		})
	}
}
