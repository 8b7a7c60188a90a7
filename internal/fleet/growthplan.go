package fleet

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

// eventKind says what an event of a growth day does.
type eventKind int

const (
	listServer   eventKind = iota // a new server is listed
	drainServer                   // a server begins to drain
	removeServer                  // a server is removed from the list
	closeServer                   // a server ends
	breakWatches
)

// dayEvent is an event of a growth day.
type dayEvent struct {
	at     time.Duration
	kind   eventKind
	server int // the servers listed first, then those that replace some of them
}

// dueEvents returns how many of the events of a plan are due at a time.
func dueEvents(plan []dayEvent, at time.Duration) int {
	n, _ := slices.BinarySearchFunc(plan, at, func(e dayEvent, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	return n
}

// replacedCount returns how many of so many servers a day replaces.
func replacedCount(servers int) int { return int(replacedShare * float64(servers)) }

// planDay lays out a day: servers that are drawn anew for each seed are replaced one after another, evenly over
// the time, and the watches break.
func planDay(servers int, length time.Duration, seed uint64) []dayEvent {
	share := func(s float64) time.Duration { return time.Duration(s * float64(length)) }
	var events []dayEvent
	count := replacedCount(servers)
	for i, old := range rand.New(rand.NewPCG(seed, uint64(servers))).Perm(servers)[:count] {
		listed := share(replaceBegins + replaceTakes*float64(i)/float64(count))
		drains := share(replaceBegins + replaceTakes*(float64(i)+0.5)/float64(count))
		events = append(events, dayEvent{listed, listServer, servers + i}, dayEvent{drains, drainServer, old},
			dayEvent{drains + share(drainTakes), removeServer, old},
			dayEvent{drains + share(drainTakes+closeAfter), closeServer, old})
	}
	for _, at := range watchBreaks {
		events = append(events, dayEvent{at: share(at), kind: breakWatches})
	}
	slices.SortStableFunc(events, func(a, b dayEvent) int { return cmp.Compare(a.at, b.at) })
	return events
}
