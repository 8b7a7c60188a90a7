package node

import (
	"log/slog"
	"sync"
	"time"
)

// discovery follows the list of servers and posts its changes.
type discovery struct {
	post            func(event)
	log             *slog.Logger
	subscribeSignal chan struct{}
	hold            time.Duration
	grace           time.Duration
	startupWait     time.Duration
	after           func(time.Duration) <-chan time.Time // time.After: what goes by after a call that failed

	mu      sync.Mutex
	current *registryAddress // where the list is watched now
}

func newDiscovery(cfg Config, rev int64, post func(event), log *slog.Logger) *discovery {
	d := &discovery{
		post: post, log: log, current: newRegistryAddress(cfg.Discovery, rev), subscribeSignal: make(chan struct{}, 1),
		hold: pollHold, grace: pollGrace, startupWait: startupWait, after: time.After,
	}
	if !cfg.Settings.PollDiscovery {
		d.hold, d.grace = pushHold, pushGrace
		// The agent may hold more than the node last had, from the process's first moment on; and the
		// version that the node had may be of another place. So the whole list is asked for.
		d.current.version = -1
	}
	return d
}

func (d *discovery) currentAddress() *registryAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// move watches another address from now on. Versions count anew there, so its whole list is asked for;
// what the node holds stays in use until that has come. A call to the old address ends, and where lists are
// asked for the next one does not wait to be wanted.
func (d *discovery) setAddress(addr string) {
	d.mu.Lock()
	old := d.current
	if old.addr == addr {
		d.mu.Unlock()
		return
	}
	d.current = newRegistryAddress(addr, -1)
	d.mu.Unlock()
	old.abandon()
	old.client.CloseIdleConnections()
	d.subscribe()
}

// subscribe starts a watch where discovery is asked. It never blocks.
func (d *discovery) subscribe() {
	select {
	case d.subscribeSignal <- struct{}{}:
	default:
	}
}
