package fleet

import (
	"fmt"

	"basaltdrum/internal/fleet/nodes"
	"basaltdrum/internal/fleet/process"
	"basaltdrum/internal/fleet/standin"
)

// The roles of child processes.
const (
	roleRegistry = "registry"
	roleHollows  = "hollows"
	roleServers  = "servers"
	roleListed   = "listed-servers"
)

// Child is the main function of a child process. It serves the requests of its parent in the given role until its
// standard input is closed.
func Child(role string) error {
	services := map[string]any{
		roleRegistry: &standin.RegistryHost{},
		roleHollows:  &nodes.Hollows{},
		roleServers:  &standin.Servers{},
		roleListed:   &standin.ListedServers{},
	}
	service, ok := services[role]
	if !ok {
		return fmt.Errorf("child: unknown role %q", role)
	}
	return process.ServeParent(service)
}
