package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Schedule of a growth day, as fractions of its length. With a length of 20 s the replacement of servers takes 7 s and
// each drain takes 1 s.
const (
	replacementStart    = 0.2
	replacementDuration = 0.35
	drainDuration       = 0.05
	closeDelay          = 0.025 // from the removal of a server from the list until it stops
)

// replacedShare is the fraction of the servers that is replaced.
const replacedShare = 0.6

// watchBreaks are the times at which the connections of all open watches are closed, as fractions of the day.
var watchBreaks = []float64{0.1, 0.3, 0.45, 0.7}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	ListServer   EventKind = iota // a new server is listed
	DrainServer                   // a server starts to drain
	RemoveServer                  // a server is removed from the list
	CloseServer                   // a server stops
	BreakWatches                  // the connections of all open watches are closed
)

// Event is one step in the workload of a growth day.
type Event struct {
	At     time.Duration // since the start of the day
	Kind   EventKind
	Server int // index: the servers listed at the start come first, then their replacements
}

// DueEvents returns how many of the events, which are ordered by time, are due at a time.
func DueEvents(events []Event, at time.Duration) int {
	n, _ := slices.BinarySearchFunc(events, at, func(e Event, at time.Duration) int {
		if e.At <= at {
			return -1
		}
		return 1
	})
	return n
}

// ReplacedCount returns how many servers a day replaces, given how many are listed at its start.
func ReplacedCount(servers int) int { return int(replacedShare * float64(servers)) }

// DayEvents returns the events of a growth day in the order of their times: randomly chosen servers are replaced one
// after another at even intervals, and all open watches are broken several times. The same seed gives the same events.
func DayEvents(servers int, length time.Duration, seed uint64) []Event {
	fraction := func(f float64) time.Duration { return time.Duration(f * float64(length)) }
	var events []Event
	count := ReplacedCount(servers)
	for i, old := range rand.New(rand.NewPCG(seed, uint64(servers))).Perm(servers)[:count] {
		listed := fraction(replacementStart + replacementDuration*float64(i)/float64(count))
		drains := fraction(replacementStart + replacementDuration*(float64(i)+0.5)/float64(count))
		events = append(events, Event{listed, ListServer, servers + i}, Event{drains, DrainServer, old},
			Event{drains + fraction(drainDuration), RemoveServer, old},
			Event{drains + fraction(drainDuration+closeDelay), CloseServer, old})
	}
	for _, at := range watchBreaks {
		events = append(events, Event{At: fraction(at), Kind: BreakWatches})
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}
