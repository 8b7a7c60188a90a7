package discovery

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"basaltdrum/internal/netdial"
)

// startupWait is how long a new process waits for the endpoint list before it is ready with a cached one.
const startupWait = time.Second

// Config says where and how a Client follows the endpoint list.
type Config struct {
	Address string // address and port of the agent or the registry
	Polled  bool   // the registry is polled; otherwise an agent pushes lists
	Version int64  // of the cached list, or NoVersion. Only used where lists are polled
}

// Client follows the endpoint list of one address at a time. New makes one, and Run follows until its context ends.
//
// The exported fields have defaults, and may be changed before Run.
type Client struct {
	// Hold is how long the other side may withhold its response while nothing changes.
	Hold time.Duration
	// Grace is the time for a response beyond the hold, before the poll is abandoned.
	Grace time.Duration
	// StartupWait is the time after which an agent that has not answered is reported as unresponsive.
	StartupWait time.Duration
	// Dial opens connections.
	Dial netdial.Func
	// After is time.After; it delays the poll after one that failed.
	After func(time.Duration) <-chan time.Time

	handler         Handler
	log             *slog.Logger
	polled          bool
	subscribeSignal chan struct{} // holds at most one subscription that runPolled has not taken up

	mu      sync.Mutex
	current *registryAddress // where the list is watched now
}

// New returns a client that passes on lists to handler. Nothing is polled before Run.
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
	}
	version := cfg.Version
	if !cfg.Polled {
		c.Hold, c.Grace = pushHold, pushGrace
		// What the agent has counts as known to this node from the first moment of the process, and the cached
		// version may be that of another address. So the watch begins with the complete list.
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

// SetAddress moves the watch to another address. Versions are specific to an address, so the watch begins with the
// complete list there; the list that the node has remains in use until that arrives. The poll of the old address
// ends, and the first one of the new address needs no Subscribe.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	old := c.current
	if old.addr == addr {
		c.mu.Unlock()
		return
	}
	c.current = newRegistryAddress(addr, NoVersion, c.dial)
	c.mu.Unlock()
	old.abandon()
	old.client.CloseIdleConnections()
	c.Subscribe()
}

// Subscribe starts a watch where lists are polled. It never blocks.
func (c *Client) Subscribe() {
	select {
	case c.subscribeSignal <- struct{}{}:
	default: // a subscription is outstanding already
	}
}

// CloseIdleConnections closes the connections to the present address that no poll uses.
func (c *Client) CloseIdleConnections() { c.currentAddress().client.CloseIdleConnections() }

func (c *Client) currentAddress() *registryAddress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// dial opens a connection by the Dial of the moment.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return c.Dial(ctx, network, address)
}
