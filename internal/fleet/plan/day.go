package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// When things happen on a growth day, as shares of its length. At 20 s the replacement takes 7 s and a drain 1 s.
const (
	replaceBegins = 0.2
	replaceTakes  = 0.35
	drainTakes    = 0.05
	closeAfter    = 0.025 // from the removal of a server from the list to its end
)

// replacedShare is the share of the servers that is replaced.
const replacedShare = 0.6

// watchBreaks are when all open watches of the list are broken, as shares of the day.
var watchBreaks = []float64{0.1, 0.3, 0.45, 0.7}

// EventKind says what an event of a growth day does.
type EventKind int

// The kinds of events.
const (
	ListServer   EventKind = iota // a new server is listed
	DrainServer                   // a server begins to drain
	RemoveServer                  // a server is removed from the list
	CloseServer                   // a server ends
	BreakWatches
)

// Event is an event of a growth day.
type Event struct {
	At     time.Duration
	Kind   EventKind
	Server int // the servers listed first, then those that replace some of them
}

// DueEvents returns how many of the events of a plan are due at a time.
func DueEvents(plan []Event, at time.Duration) int {
	n, _ := slices.BinarySearchFunc(plan, at, func(e Event, at time.Duration) int {
		if e.At <= at {
			return -1
		}
		return 1
	})
	return n
}

// ReplacedCount returns how many of so many servers a day replaces.
func ReplacedCount(servers int) int { return int(replacedShare * float64(servers)) }

// Day lays out a day: servers that are drawn anew for each seed are replaced one after another, evenly over
// the time, and the watches break.
func Day(servers int, length time.Duration, seed uint64) []Event {
	share := func(s float64) time.Duration { return time.Duration(s * float64(length)) }
	var events []Event
	count := ReplacedCount(servers)
	for i, old := range rand.New(rand.NewPCG(seed, uint64(servers))).Perm(servers)[:count] {
		listed := share(replaceBegins + replaceTakes*float64(i)/float64(count))
		drains := share(replaceBegins + replaceTakes*(float64(i)+0.5)/float64(count))
		events = append(events, Event{listed, ListServer, servers + i}, Event{drains, DrainServer, old},
			Event{drains + share(drainTakes), RemoveServer, old},
			Event{drains + share(drainTakes+closeAfter), CloseServer, old})
	}
	for _, at := range watchBreaks {
		events = append(events, Event{At: share(at), Kind: BreakWatches})
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}
