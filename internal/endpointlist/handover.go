package endpointlist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basaltdrum/balancer"
)

// Durations of a handover, from its start.
const (
	// returnDelay is how long an endpoint that drains or was removed stays so although it is listed as ready. Whatever
	// a new address has to tell counts as known to the node by then, whenever its list arrives.
	returnDelay = 4 * time.Second

	// absenceDelay is how long an endpoint is kept that an older list does not name, if others are ready by then. It is
	// shorter, as such an endpoint must not be used any more once the list counts as known.
	absenceDelay = returnDelay - 500*time.Millisecond
)

// handoverPhase is the part of what a new address lists that is in force.
type handoverPhase int

const (
	noHandover      handoverPhase = iota
	keepingAbsent                 // no process returns, and an older list removes no endpoint by not naming it
	keepingDraining               // no process returns
)

// Handover is the change of discovery to a new address, whose list may be older than the one that the node has. The
// versions do not tell, as the new address may count them anew.
//
// What endpoints do not do by themselves is the sign of an older list: a process that drains or was removed does not
// return, and an endpoint does not become one of its earlier processes. Such entries are not in force before
// returnDelay. An endpoint that a list with such entries does not name may have been added since, and is kept until
// absenceDelay, or until returnDelay if no other is ready. Everything else is in force at once, and after returnDelay
// the list of the new address as it is, also if it arrives only then.
//
// It must be used by the goroutine of its Table only.
type Handover struct {
	table     *Table
	phase     handoverPhase
	absenceAt time.Duration    // clock time at which keepingAbsent ends
	returnAt  time.Duration    // clock time at which keepingDraining ends
	listed    map[string]Entry // what the new address lists, by endpoint id; nil: its list has not arrived
}

// NewHandover returns a Handover for a table. None is in progress.
func NewHandover(table *Table) *Handover { return &Handover{table: table} }

// Start starts a handover. Lists that are received from now on are those of the new address. In a handover that is in
// progress, what the address before it has listed still comes into force when it is due, unless the new one has sent
// its list by then.
func (h *Handover) Start() {
	now := h.now()
	if h.phase != keepingAbsent || h.listed == nil {
		h.absenceAt, h.listed = now+absenceDelay, nil
	}
	h.phase, h.returnAt = keepingAbsent, now+returnDelay
}

func (h *Handover) now() time.Duration { return h.table.clock.clock.Now() }

// Next returns the clock time at which Advance is due, if a handover is in progress.
func (h *Handover) Next() (at time.Duration, found bool) {
	switch h.phase {
	case keepingAbsent:
		return h.absenceAt, true
	case keepingDraining:
		return h.returnAt, true
	default:
		return 0, false
	}
}

// Advance ends the current phase if it is due. It returns the list that is to be applied then, if there is one.
func (h *Handover) Advance() (list List, changed bool) {
	now := h.now()
	if at, found := h.Next(); !found || now < at {
		return List{}, false
	}
	listed := List{Complete: true, Entries: sortedEntries(h.listed)}
	hasArrived := h.listed != nil
	if now >= h.returnAt {
		h.phase, h.listed = noHandover, nil
		return listed, hasArrived
	}
	list, _ = h.reconcile(listed)
	if hasArrived && !list.hasReady() {
		h.absenceAt = h.returnAt // until then there would be no endpoint to use
		return List{}, false
	}
	h.phase = keepingDraining
	return list, hasArrived
}

// sortedEntries returns entries in the order of their ids, so that equal lists are applied in the same order.
func sortedEntries(entries map[string]Entry) []Entry {
	return slices.SortedFunc(maps.Values(entries), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// Receive takes a list from discovery, and returns the list that is to be applied instead of it.
func (h *Handover) Receive(update List) List {
	if h.phase == noHandover {
		return update
	}
	h.record(update)
	reconciled, isOlder := h.reconcile(update)
	if update.Complete && isOlder && h.phase == keepingAbsent {
		reconciled.Entries = append(reconciled.Entries, h.absent()...)
	}
	return reconciled
}

// record applies a list to what the new address lists. Changes to a list that has not arrived are not recorded.
func (h *Handover) record(update List) {
	switch {
	case update.Complete:
		h.listed = map[string]Entry{}
	case h.listed == nil:
		return
	}
	for _, entry := range update.Entries {
		if entry.State == balancer.Removed {
			delete(h.listed, entry.ID)
		} else {
			h.listed[entry.ID] = entry
		}
	}
}

// reconcile returns a list without what is not in force yet, and reports whether there was any.
func (h *Handover) reconcile(list List) (reconciled List, isOlder bool) {
	removed := h.table.removed.latestByID(h.now())
	reconciled = List{Version: list.Version, Complete: list.Complete, Entries: make([]Entry, 0, len(list.Entries))}
	for _, entry := range list.Entries {
		previous, listed := h.table.entries[entry.ID]
		bootMS, wasRemoved := removed[entry.ID]
		switch {
		case listed && (h.isEarlierProcess(entry, previous) || h.returns(entry, previous)):
			reconciled.Entries = append(reconciled.Entries, previous)
			isOlder = true
		case !listed && wasRemoved && entry.State != balancer.Removed && !h.startedAfter(entry.BootMS, bootMS):
			isOlder = true
		default:
			reconciled.Entries = append(reconciled.Entries, entry)
		}
	}
	return reconciled, isOlder
}

// isEarlierProcess reports whether an entry is about an earlier process of an endpoint than the entry that the node
// has. An endpoint that was removed may be listed without its start.
func (h *Handover) isEarlierProcess(entry, previous Entry) bool {
	if entry.State == balancer.Removed && entry.BootMS == 0 {
		return false
	}
	return h.startedAfter(previous.BootMS, entry.BootMS)
}

// returns reports whether an entry names a process as ready that drains.
func (h *Handover) returns(entry, previous Entry) bool {
	return entry.State == balancer.Ready && previous.State == balancer.Draining &&
		!h.startedAfter(entry.BootMS, previous.BootMS)
}

// startedAfter reports whether the process that is listed with one start has started after the process that is listed
// with another one. A start that was long ago may be listed as 0 at one address and not at another.
func (h *Handover) startedAfter(bootMS, otherBootMS float64) bool {
	if otherBootMS == 0 && h.table.clock.isLongAgo(bootMS) {
		return false
	}
	return bootMS > otherBootMS
}

// absent returns the entries of the node's list that the new address does not list.
func (h *Handover) absent() []Entry {
	absent := map[string]Entry{}
	for id, entry := range h.table.entries {
		if _, listed := h.listed[id]; !listed {
			absent[id] = entry
		}
	}
	return sortedEntries(absent)
}
