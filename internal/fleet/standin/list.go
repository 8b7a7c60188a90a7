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

// maxChanges is how many changes a list keeps. Who holds a version that is older gets the complete list.
const maxChanges = 4096

// noVersion stands for the version of a list where its caller holds none.
const noVersion = -1

// ListEntry is an entry of an endpoint list, as PROTOCOL has it.
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
	Terminated  = "terminated" // only among changes
)

// listBody is the body of an answer to a call for a list.
type listBody struct {
	Rev     int64       `json:"rev"`
	All     bool        `json:"all"`
	Entries []ListEntry `json:"targets"`
}

// list is the endpoint list of one service, with its latest changes.
type list struct {
	mu      sync.Mutex
	rev     int64
	uids    []string // in the order in which they were first listed
	entries map[string]ListEntry
	changes []change // the oldest first; the last few
	newer   chan struct{}
	answers map[int64][]byte // of the present version, by the version that a caller holds
}

// change is one changed entry of a version.
type change struct {
	rev   int64
	entry ListEntry
}

func newList(targets []ListEntry) *list {
	l := &list{rev: 1, entries: map[string]ListEntry{}, newer: make(chan struct{}), answers: map[int64][]byte{}}
	for _, t := range targets {
		l.uids = append(l.uids, t.UID)
		l.entries[t.UID] = t
	}
	return l
}

// change makes a new version in which some entries are changed, and answers the open watches.
func (l *list) change(targets []ListEntry) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	for _, t := range targets {
		if _, listed := l.entries[t.UID]; t.State == Terminated {
			delete(l.entries, t.UID)
		} else {
			if !listed {
				l.addUID(t.UID)
			}
			l.entries[t.UID] = t
		}
		l.changes = append(l.changes, change{l.rev, t})
	}
	if extra := len(l.changes) - maxChanges; extra > 0 {
		l.changes = l.changes[extra:] // append drops them once it needs more memory
	}
	clear(l.answers)
	close(l.newer)
	l.newer = make(chan struct{})
	return l.rev
}

// addUID appends a uid, unless it was listed before and so has its place.
func (l *list) addUID(uid string) {
	if !slices.Contains(l.uids, uid) {
		l.uids = append(l.uids, uid)
	}
}

// answerFor returns the answer to who holds a version, or noVersion: what is newer, and whether anything is. newer
// is closed by the next change.
func (l *list) answerFor(from int64) (body []byte, changed bool, newer <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	body, ok := l.answers[from]
	if !ok {
		if body, err = json.Marshal(l.since(from)); err != nil {
			return nil, false, nil, fmt.Errorf("list: %w", err)
		}
		l.answers[from] = body
	}
	return body, from != l.rev, l.newer, nil
}

// errUnresponsive says that a call is never answered.
var errUnresponsive = errors.New("the registry is unresponsive")

// wait returns the answer to a watch from a version, or to a call for the complete list (from noVersion). Where
// nothing is newer it comes after the hold. It fails once down is closed, or ctx ends.
func (l *list) wait(ctx context.Context, from int64, hold time.Duration, down <-chan struct{}) ([]byte, error) {
	over := time.NewTimer(hold)
	defer over.Stop()
	for waited := hold == 0; ; {
		body, changed, newer, err := l.answerFor(from)
		if err != nil {
			return nil, err
		}
		if changed || waited {
			select {
			case <-down:
				return nil, errUnresponsive
			default:
				return body, nil
			}
		}
		select {
		case <-newer:
		case <-over.C:
			waited = true
		case <-down:
			return nil, errUnresponsive
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// since returns what changed after a version, each entry once and as it is now. Where the changes are no longer
// kept, it returns the complete list.
func (l *list) since(from int64) listBody {
	if from == l.rev {
		return listBody{Rev: l.rev, Entries: []ListEntry{}}
	}
	known := from >= 1 && from < l.rev && len(l.changes) > 0 && l.changes[0].rev <= from+1
	if !known {
		return l.complete()
	}
	update := listBody{Rev: l.rev, Entries: []ListEntry{}}
	seen := map[string]bool{}
	for i := len(l.changes) - 1; i >= 0 && l.changes[i].rev > from; i-- {
		if t := l.changes[i].entry; !seen[t.UID] {
			seen[t.UID] = true
			update.Entries = append(update.Entries, t)
		}
	}
	return update
}

// complete returns the complete list.
func (l *list) complete() listBody {
	all := listBody{Rev: l.rev, All: true, Entries: []ListEntry{}}
	for _, uid := range l.uids {
		if t, ok := l.entries[uid]; ok {
			all.Entries = append(all.Entries, t)
		}
	}
	return all
}
