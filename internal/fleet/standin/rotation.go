package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"basaltdrum/internal/fleet/plan"
)

// Rotation changes one list: one server after the other drains, is removed and is listed again. At most one server
// is missing at a time, except in the outage of a zone.
type Rotation struct {
	Service int // the index of the list at the registry

	mu      sync.Mutex
	entries []ListEntry // as they are while in service
	at      int         // the server whose turn it is
	step    int
	lost    bool // the first zone is in an outage
}

// NewRotation returns the rotation of the list of a service, whose servers all have the same endpoint.
func NewRotation(service, servers int, endpoint string) *Rotation {
	r := &Rotation{Service: service}
	for i := range servers {
		r.entries = append(r.entries, ListEntry{
			UID: fmt.Sprintf("s-%d-%d", service, i), Endpoint: endpoint,
			Zone: plan.Zones[i%len(plan.Zones)], Model: "m1", Cell: i % 10, State: InService, Capacity: 1,
		})
	}
	return r
}

// Entries returns all entries, as they are while in service.
func (r *Rotation) Entries() []ListEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// Next returns the next change of one server, or none if all that could change are in the outage.
func (r *Rotation) Next() []ListEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range r.entries {
		if !r.lost || r.entries[r.at].Zone != plan.Zones[0] {
			break
		}
		r.at, r.step = (r.at+1)%len(r.entries), 0
	}
	t := &r.entries[r.at]
	if r.lost && t.Zone == plan.Zones[0] {
		return nil
	}
	changed := *t
	changed.State = []string{Terminating, Terminated, InService}[r.step]
	if r.step++; r.step == 3 {
		t.BootMS = time.Now().UnixMilli()
		changed.BootMS = t.BootMS
		r.step, r.at = 0, (r.at+1)%len(r.entries)
	}
	return []ListEntry{changed}
}

// Restart returns the change in which the last server has restarted.
func (r *Rotation) Restart() []ListEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.entries[len(r.entries)-1]
	t.BootMS = time.Now().UnixMilli()
	return []ListEntry{*t}
}

// ChangeZone returns the change in which all servers of the first zone are removed, or are back after a restart.
func (r *Rotation) ChangeZone(back bool) []ListEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = !back
	var changed []ListEntry
	for i := range r.entries {
		t := &r.entries[i]
		if t.Zone != plan.Zones[0] {
			continue
		}
		n := *t
		n.State = Terminated
		if back {
			t.BootMS = time.Now().UnixMilli()
			n = *t
		}
		changed = append(changed, n)
	}
	return changed
}
