package endpointlist

import (
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/monotime"
)

// Table is the endpoint list as a node stores it: the newest entry of each endpoint, with its start time by the node's
// clock, and the number of ready endpoints. It must be used by one goroutine only.
type Table struct {
	entries map[string]Entry // by endpoint id
	ready   int              // number of entries in state balancer.Ready
	removed removals
	clock   *bootClock
}

// NewTable returns an empty table.
func NewTable(c monotime.Clock) *Table {
	return &Table{entries: map[string]Entry{}, clock: newBootClock(c)}
}

// SetStartTimes sets the start times of entries that have just arrived. An entry that the table already has keeps the
// time that was computed when its boot_ms was first seen.
func (t *Table) SetStartTimes(entries []Entry) {
	t.clock.observe()
	for i := range entries {
		entry := &entries[i]
		previous, listed := t.entries[entry.ID]
		entry.StartedAt = t.clock.startTime(entry.BootMS, previous, listed)
	}
}

// Confirm records that the table is known to be current now.
func (t *Table) Confirm() { t.clock.confirm() }

// Apply applies a complete list or changes to the list, and returns its entries as package balancer represents them.
func (t *Table) Apply(update List) []balancer.Endpoint {
	if update.Complete {
		defer t.recordAbsent(t.entries)
		t.entries, t.ready = make(map[string]Entry, len(update.Entries)), 0
	}
	endpoints := make([]balancer.Endpoint, len(update.Entries))
	for i, entry := range update.Entries {
		endpoints[i] = entry.Endpoint
		t.applyEntry(entry)
	}
	return endpoints
}

// recordAbsent records the removal of the endpoints in earlier entries that are not listed any more.
func (t *Table) recordAbsent(earlier map[string]Entry) {
	for id, entry := range earlier {
		if _, listed := t.entries[id]; !listed {
			t.recordRemoval(entry)
		}
	}
}

// recordRemoval records that the process of an entry was removed.
func (t *Table) recordRemoval(entry Entry) { t.removed.add(entry, t.clock.clock.Now()) }

// applyEntry replaces an endpoint's entry and updates the number of ready endpoints.
func (t *Table) applyEntry(entry Entry) {
	previous, listed := t.entries[entry.ID]
	if listed && previous.State == balancer.Ready {
		t.ready--
	}
	if entry.State == balancer.Removed {
		if listed {
			t.recordRemoval(previous)
		}
		delete(t.entries, entry.ID)
		return
	}
	t.entries[entry.ID] = entry
	if entry.State == balancer.Ready {
		t.ready++
	}
}

// IsUnchangedBy reports whether applying a list would change nothing.
func (t *Table) IsUnchangedBy(update List) bool {
	for _, entry := range update.Entries {
		previous, listed := t.entries[entry.ID]
		if listed && previous != entry || !listed && entry.State != balancer.Removed {
			return false
		}
	}
	return !update.Complete || len(update.Entries) == len(t.entries)
}

// HasReady reports whether a listed endpoint is ready.
func (t *Table) HasReady() bool { return t.ready > 0 }

// Instance returns the listed process of an endpoint.
func (t *Table) Instance(id string) Instance { return t.entries[id].Instance() }

// StartedAt returns the clock time at which a listed endpoint started; 0: long ago.
func (t *Table) StartedAt(id string) time.Duration { return t.entries[id].StartedAt }
