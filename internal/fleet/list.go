package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// keptChanges is how many changes a list remembers; who holds an older version gets the whole list.
const maxChanges = 4096

// Target is an entry of a list, as PROTOCOL has it.
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

// The states of a target.
const (
	inService   = "in_service"
	terminating = "terminating"
	terminated  = "terminated" // only among changes
)

// answerBody is what a list's calls are answered with.
type listBody struct {
	Rev     int64       `json:"rev"`
	All     bool        `json:"all"`
	Entries []ListEntry `json:"targets"`
}

// list is the servers of one service and what became of them.
type list struct {
	mu      sync.Mutex
	rev     int64
	uids    []string // uids, as first listed
	entries map[string]ListEntry
	changes []change // the oldest first; the last few
	newer   chan struct{}
	answers map[int64][]byte // of this version, by the version held; -1: the whole list
}

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

// change makes a new version of some entries and wakes the watches.
func (l *list) change(targets []ListEntry) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	for _, t := range targets {
		if _, listed := l.entries[t.UID]; t.State == terminated {
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

// relist gives a new uid its place.
func (l *list) addUID(uid string) {
	for _, known := range l.uids {
		if known == uid {
			return
		}
	}
	l.uids = append(l.uids, uid)
}

// held is the answer to who holds a version (-1: none): what is newer, and whether there is anything; newer
// is closed once there is more.
func (l *list) answerFor(from int64) (body []byte, news bool, newer <-chan struct{}, err error) {
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

// errSilent says that a call is never answered.
var errUnresponsive = errors.New("the registry is silent")

// wait is the answer to a watch from a version (-1: to a call for the whole list), after a hold where there
// is nothing newer. It fails once down is closed, or ctx ends.
func (l *list) wait(ctx context.Context, from int64, hold time.Duration, down <-chan struct{}) ([]byte, error) {
	over := time.NewTimer(hold)
	defer over.Stop()
	for waited := hold == 0; ; {
		body, news, newer, err := l.answerFor(from)
		if err != nil {
			return nil, err
		}
		if news || waited {
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

// since is what changed after a version, each entry once and as it is now; or all, where that is not known.
func (l *list) since(from int64) listBody {
	if from == l.rev {
		return listBody{Rev: l.rev, Entries: []ListEntry{}}
	}
	known := from >= 1 && from < l.rev && len(l.changes) > 0 && l.changes[0].rev <= from+1
	if !known {
		all := listBody{Rev: l.rev, All: true, Entries: []ListEntry{}}
		for _, uid := range l.uids {
			if t, ok := l.entries[uid]; ok {
				all.Entries = append(all.Entries, t)
			}
		}
		return all
	}
	news := listBody{Rev: l.rev, Entries: []ListEntry{}}
	seen := map[string]bool{}
	for i := len(l.changes) - 1; i >= 0 && l.changes[i].rev > from; i-- {
		if t := l.changes[i].entry; !seen[t.UID] {
			seen[t.UID] = true
			news.Entries = append(news.Entries, t)
		}
	}
	return news
}
