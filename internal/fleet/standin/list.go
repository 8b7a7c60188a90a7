package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// maxChanges is how many changes a list keeps. A caller with an older version gets the complete list.
const maxChanges = 4096

// noVersion is the version of a caller that has no list yet.
const noVersion = -1

// ListEntry is an entry of an endpoint list, in the format of the operators' protocol.
type ListEntry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// The states of an entry.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated" // only in changes, never in complete lists
)

// listBody is the body of a response to a call for a list.
type listBody struct {
	Rev     int64       `json:"rev"`
	All     bool        `json:"all"`
	Entries []ListEntry `json:"targets"`
}

// list is the endpoint list of one service, with its most recent changes.
type list struct {
	mu         sync.Mutex
	version    int64
	uids       []string // in the order in which they were first listed
	entries    map[string]ListEntry
	changes    []change         // the most recent ones, the oldest first
	nextChange chan struct{}    // closed by the next change
	responses  map[int64][]byte // cached responses with the current version, by the version of the caller
}

// change is one changed entry of a version.
type change struct {
	version int64
	entry   ListEntry
}

func newList(listed []ListEntry) *list {
	l := &list{
		version: 1, entries: map[string]ListEntry{},
		nextChange: make(chan struct{}), responses: map[int64][]byte{},
	}
	for _, entry := range listed {
		l.uids = append(l.uids, entry.UID)
		l.entries[entry.UID] = entry
	}
	return l
}

// change makes a new version in which some entries are changed, and wakes the open watches.
func (l *list) change(changed []ListEntry) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, entry := range changed {
		if _, listed := l.entries[entry.UID]; entry.State == Terminated {
			delete(l.entries, entry.UID)
		} else {
			if !listed {
				l.addUID(entry.UID)
			}
			l.entries[entry.UID] = entry
		}
		l.changes = append(l.changes, change{l.version, entry})
	}
	if extra := len(l.changes) - maxChanges; extra > 0 {
		l.changes = l.changes[extra:] // their memory is released when append next reallocates
	}
	clear(l.responses)
	close(l.nextChange)
	l.nextChange = make(chan struct{})
	return l.version
}

// addUID appends a uid, unless it was listed before and so already has a position.
func (l *list) addUID(uid string) {
	if !slices.Contains(l.uids, uid) {
		l.uids = append(l.uids, uid)
	}
}

// responseFor returns the response to a caller that has version from, or noVersion: its body with the changes since
// then, and whether there are any. nextChange is closed by the next change.
func (l *list) responseFor(from int64) (body []byte, changed bool, nextChange <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	body, ok := l.responses[from]
	if !ok {
		if body, err = json.Marshal(l.changesSince(from)); err != nil {
			return nil, false, nil, fmt.Errorf("list: %w", err)
		}
		l.responses[from] = body
	}
	return body, from != l.version, l.nextChange, nil
}

// errUnresponsive means that a call must not be answered.
var errUnresponsive = errors.New("the registry is unresponsive")

// awaitChange returns the response to a watch from a version, or to a call for the complete list (from noVersion). If
// there are no changes since that version, it waits for one until hold has passed. It returns an error if outage is
// closed or ctx ends.
func (l *list) awaitChange(
	ctx context.Context, from int64, hold time.Duration, outage <-chan struct{},
) ([]byte, error) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for holdOver := hold == 0; ; {
		body, changed, nextChange, err := l.responseFor(from)
		if err != nil {
			return nil, err
		}
		if changed || holdOver {
			select {
			case <-outage:
				return nil, errUnresponsive
			default:
				return body, nil
			}
		}
		select {
		case <-nextChange:
		case <-timer.C:
			holdOver = true
		case <-outage:
			return nil, errUnresponsive
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// changesSince returns the entries that changed after a version, each once and in its current state. If the changes are
// no longer kept, it returns the complete list.
func (l *list) changesSince(from int64) listBody {
	if from == l.version {
		return listBody{Rev: l.version, Entries: []ListEntry{}}
	}
	known := from >= 1 && from < l.version && len(l.changes) > 0 && l.changes[0].version <= from+1
	if !known {
		return l.completeList()
	}
	update := listBody{Rev: l.version, Entries: []ListEntry{}}
	seen := map[string]bool{}
	for i := len(l.changes) - 1; i >= 0 && l.changes[i].version > from; i-- {
		if latest := l.changes[i].entry; !seen[latest.UID] {
			seen[latest.UID] = true
			update.Entries = append(update.Entries, latest)
		}
	}
	return update
}

// completeList returns all current entries.
func (l *list) completeList() listBody {
	all := listBody{Rev: l.version, All: true, Entries: []ListEntry{}}
	for _, uid := range l.uids {
		if entry, ok := l.entries[uid]; ok {
			all.Entries = append(all.Entries, entry)
		}
	}
	return all
}
