package fleet

import (
	"fmt"
	"net/rpc"
	"net/rpc/jsonrpc"
	"os"
	"os/signal"
	"syscall"
)

// The roles of child processes.
const (
	roleRegistry = "registry"
	roleHollows  = "hollows"
	roleServers  = "servers"
	roleListed   = "listed-servers"
)

// Child is the main function of a child process: it serves the requests of its parent, JSON-RPC on standard input
// and output, until its input is closed.
func Child(role string) error {
	services := map[string]any{
		roleRegistry: &RegistryHost{}, roleHollows: &Hollows{}, roleServers: &Servers{}, roleListed: &ListedServers{},
	}
	host, ok := services[role]
	if !ok {
		return fmt.Errorf("child: no role %q", role)
	}
	// A terminal sends these signals to all of its processes. The parent ends its children itself.
	signal.Ignore(syscall.SIGINT, syscall.SIGTERM)
	s := rpc.NewServer()
	if err := s.RegisterName(serviceName, host); err != nil {
		return fmt.Errorf("child: %w", err)
	}
	s.ServeCodec(jsonrpc.NewServerCodec(pipes{os.Stdin, os.Stdout}))
	return nil
}
