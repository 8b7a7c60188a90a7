package discovery

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"basaltdrum/internal/netdial"
)

// startupWait is how long a new process waits for the endpoint list before it becomes ready with a cached one.
const startupWait = time.Second

// Config specifies the address and the mode in which a Client follows the endpoint list.
type Config struct {
	Address string // address and port of the agent or the registry
	Polled  bool   // the registry is polled; otherwise an agent pushes lists
	Version int64  // of the cached list, or NoVersion. Only used where lists are polled
}

// Client follows the endpoint list of one address at a time. It polls while Run is running.
//
// New sets the exported fields to defaults, which may be changed before Run.
type Client struct {
	// Hold is the long-poll timeout: how long the server may withhold its response while nothing changes.
	Hold time.Duration
	// Grace is how long after Hold a response may arrive before the poll counts as failed.
	Grace time.Duration
	// StartupWait is the time from the start of Run to the call of Handler.AgentUnresponsive.
	StartupWait time.Duration
	// Dial opens connections.
	Dial netdial.Func
	// After creates the timer that delays the poll after a failed one. The default is time.After.
	After func(time.Duration) <-chan time.Time

	handler         Handler
	log             *slog.Logger
	polled          bool                                 // the registry is polled; otherwise an agent pushes lists
	subscribeSignal chan struct{}                        // buffers one subscription that runPolled has not served yet
	overdueAfter    func(time.Duration) <-chan time.Time // creates the timer of a call of runPolled; time.After

	mu      sync.Mutex
	current *registryAddress // the address that is watched
}

// New returns a client that passes lists to handler. Nothing is polled before Run.
func New(cfg Config, handler Handler, log *slog.Logger) *Client {
	c := &Client{
		Hold:            pollHold,
		Grace:           pollGrace,
		StartupWait:     startupWait,
		Dial:            (&net.Dialer{}).DialContext,
		After:           time.After,
		handler:         handler,
		log:             log,
		polled:          cfg.Polled,
		subscribeSignal: make(chan struct{}, 1),
		overdueAfter:    time.After,
	}
	version := cfg.Version
	if !cfg.Polled {
		c.Hold, c.Grace = pushHold, pushGrace
		// The agent's list counts as known to this node as soon as the process starts, and the cached version may
		// belong to another address. So the first poll requests the complete list.
		version = NoVersion
	}
	c.current = newRegistryAddress(cfg.Address, version, c.dial)
	return c
}

// Run follows the list until ctx ends.
func (c *Client) Run(ctx context.Context) {
	if c.polled {
		c.runPolled(ctx)
	} else {
		c.runPushed(ctx)
	}
}

// SetAddress moves the watch to another address. Versions are specific to an address, so the first poll there
// requests the complete list; the node's current list remains in use until that arrives. The poll of the old address
// is cancelled, and the first poll of the new address needs no Subscribe. Handler.AddressChanged is called before the
// first list of the new address is delivered.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	old := c.current
	if old.addr == addr {
		c.mu.Unlock()
		return
	}
	c.current = newRegistryAddress(addr, NoVersion, c.dial)
	c.mu.Unlock()
	old.cancel()
	old.client.CloseIdleConnections()
	c.Subscribe()
}

// Subscribe starts a watch where lists are polled. It never blocks.
func (c *Client) Subscribe() {
	select {
	case c.subscribeSignal <- struct{}{}:
	default: // a subscription is already pending
	}
}

// CloseIdleConnections closes the connections to the current address that no poll uses.
func (c *Client) CloseIdleConnections() { c.currentAddress().client.CloseIdleConnections() }

func (c *Client) currentAddress() *registryAddress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// dial calls Dial as it is set when the connection is opened, which may be after New.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return c.Dial(ctx, network, address)
}
