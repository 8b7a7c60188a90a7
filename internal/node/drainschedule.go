package node

import (
	"time"
)

// How a node ends, as the protocol has it: new connections come for up to 400 ms more, and it is killed no
// sooner than the longest deadline, killCap at most, and killAfter later.
const (
	drainAccept = 500 * time.Millisecond // those 400 ms, and the slack of the protocol's limits twice
	drainQuiet  = 100 * time.Millisecond // from then on callers are served on, for the last to be heard
	killCap     = 3 * time.Second
	killAfter   = 700 * time.Millisecond
	killMargin  = 100 * time.Millisecond // from the end to the kill
	lastMargin  = 150 * time.Millisecond // from the last answers to the end
)

// drainMost is how long the node may take to end.
func drainLimit(cfg Config) time.Duration {
	var longest time.Duration
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, killCap) + killAfter - killMargin
}

// endingOf is how a node ends: it serves for as long as most answers, which take less than half of their
// aim, come before the end. Callers that it lets go sooner would find no node at all. Where deadlines are so
// short that there is no time for all of that, the last answers go first.
func drainScheduleOf(cfg Config) drainSchedule {
	var aim time.Duration
	for _, c := range cfg.Settings.Classes {
		aim = max(aim, c.LatencyObjective)
	}
	last := drainLimit(cfg) - lastMargin
	serve := min(max(drainAccept+drainQuiet, last-aim/2), last-drainPollInterval)
	return drainSchedule{stopAccepting: min(drainAccept, serve), closeConns: serve, answerAll: last}
}
