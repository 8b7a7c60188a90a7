package node

import (
	"log/slog"
	"sync"
	"time"
)

// startupWait is how long a new process waits for the endpoint list before it is ready with a cached one.
const startupWait = time.Second

// discovery is the client of the registry: it follows the endpoint list by watches, which are long polls for what
// is newer than a version, and posts each update as an event to the loop.
//
// Lists come in one of two ways. Where lists are pushed, an agent on the machine serves the watches, and one
// poll follows the other without a pause (runPushed). Where the registry itself is polled, the policy paces the
// polls and subscribes anew after each failure (runPolled).
type discovery struct {
	post            func(event)
	log             *slog.Logger
	subscribeSignal chan struct{} // holds at most one subscription that runPolled has not taken up
	hold            time.Duration // that the other side may withhold its response while nothing changes
	grace           time.Duration // for a response beyond the hold, before the poll is abandoned
	startupWait     time.Duration
	after           func(time.Duration) <-chan time.Time // time.After; paces the polls after one that failed

	mu      sync.Mutex
	current *registryAddress // where the list is watched now
}

// newDiscovery returns the client for the address of a configuration. version is that of the cached list.
func newDiscovery(cfg Config, version int64, post func(event), log *slog.Logger) *discovery {
	d := &discovery{
		post:            post,
		log:             log,
		subscribeSignal: make(chan struct{}, 1),
		hold:            pollHold,
		grace:           pollGrace,
		startupWait:     startupWait,
		after:           time.After,
	}
	if !cfg.Settings.PollDiscovery {
		d.hold, d.grace = pushHold, pushGrace
		// What the agent has counts as known to this node from the first moment of the process, and the cached
		// version may be that of another address. So the watch begins with the complete list.
		version = noVersion
	}
	d.current = newRegistryAddress(cfg.Discovery, version)
	return d
}

func (d *discovery) currentAddress() *registryAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// setAddress moves the watch to another address. Versions are specific to an address, so the watch begins with the
// complete list there; the list that the node has remains in use until that arrives. The poll of the old address
// ends, and the first one of the new address needs no subscription by the policy.
func (d *discovery) setAddress(addr string) {
	d.mu.Lock()
	old := d.current
	if old.addr == addr {
		d.mu.Unlock()
		return
	}
	d.current = newRegistryAddress(addr, noVersion)
	d.mu.Unlock()
	old.abandon()
	old.client.CloseIdleConnections()
	d.subscribe()
}

// subscribe starts a watch where discovery is polled. It never blocks.
func (d *discovery) subscribe() {
	select {
	case d.subscribeSignal <- struct{}{}:
	default: // a subscription is outstanding already
	}
}
