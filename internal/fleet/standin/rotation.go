package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"basaltdrum/internal/fleet/plan"
)

// Rotation generates the changes of one list: one server after another drains, is removed and is listed again. At most
// one server is missing at a time, except during the outage of a zone. It is safe for concurrent use.
type Rotation struct {
	Service int // the index of the list at the registry

	mu       sync.Mutex
	entries  []ListEntry // in the state InService
	current  int         // index of the server to change next
	step     int         // number of changes of this server so far
	zoneLost bool        // the first zone is in an outage
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

// Entries returns all entries in the state InService.
func (r *Rotation) Entries() []ListEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// Next returns the next change of one server, or nil if all servers are in the zone that has an outage.
func (r *Rotation) Next() []ListEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range r.entries {
		if !r.zoneLost || r.entries[r.current].Zone != plan.Zones[0] {
			break
		}
		r.current, r.step = (r.current+1)%len(r.entries), 0
	}
	entry := &r.entries[r.current]
	if r.zoneLost && entry.Zone == plan.Zones[0] {
		return nil
	}
	changed := *entry
	changed.State = []string{Terminating, Terminated, InService}[r.step]
	if r.step++; r.step == 3 {
		entry.BootMS = time.Now().UnixMilli()
		changed.BootMS = entry.BootMS
		r.step, r.current = 0, (r.current+1)%len(r.entries)
	}
	return []ListEntry{changed}
}

// RestartLast returns the change in which the last server of the list has restarted.
func (r *Rotation) RestartLast() []ListEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := &r.entries[len(r.entries)-1]
	entry.BootMS = time.Now().UnixMilli()
	return []ListEntry{*entry}
}

// ChangeZone returns the change in which all servers of the first zone are removed, or listed again after a restart if
// restored is set.
func (r *Rotation) ChangeZone(restored bool) []ListEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zoneLost = !restored
	var changed []ListEntry
	for i := range r.entries {
		entry := &r.entries[i]
		if entry.Zone != plan.Zones[0] {
			continue
		}
		updated := *entry
		updated.State = Terminated
		if restored {
			entry.BootMS = time.Now().UnixMilli()
			updated = *entry
		}
		changed = append(changed, updated)
	}
	return changed
}
