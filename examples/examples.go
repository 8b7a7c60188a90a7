// Package examples holds a complete example configuration of a node, in config.json. docs/CONFIGURATION.md explains
// its keys. The program in the directory quickstart runs a node with it.
package examples

import (
	_ "embed" // for config.json
	"strings"
)

// Config is the example configuration: the contents of config.json.
//
//go:embed config.json
var Config string

// Addresses holds the addresses in a configuration.
type Addresses struct {
	Listen    string    // where the node accepts clients' connections
	Discovery string    // of the agent or the registry
	Servers   [3]string // in the cached endpoint list
}

// ConfigAddresses returns the addresses in Config.
func ConfigAddresses() Addresses {
	return Addresses{
		Listen:    "127.0.0.1:7070",
		Discovery: "127.0.0.1:8500",
		Servers:   [3]string{"127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003"},
	}
}

// ConfigWith returns the example configuration with its addresses replaced.
func ConfigWith(addresses Addresses) string {
	example := ConfigAddresses()
	replacements := []string{example.Listen, addresses.Listen, example.Discovery, addresses.Discovery}
	for i, server := range example.Servers {
		replacements = append(replacements, server, addresses.Servers[i])
	}
	return strings.NewReplacer(replacements...).Replace(Config)
}
