package node

import "time"

// How a node is ended, as the protocol has it: new connections may come for 400 ms after the signal, and the node
// is killed no sooner than the longest deadline of a class, or killDeadlineCap if that is less, and killDelay
// later.
const (
	// acceptPeriod is how long a draining node accepts connections: those 400 ms, and twice the tolerance that the
	// protocol's times have.
	acceptPeriod = 500 * time.Millisecond
	// lateRequestPeriod is how long clients are served on after that, at least, so that the requests on the connections
	// that came last are received.
	lateRequestPeriod        = 100 * time.Millisecond
	killDeadlineCap = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	killMargin         = 100 * time.Millisecond // from the drain limit to the kill; a held-up node uses it
	finalResponseMargin  = 150 * time.Millisecond // from the final answers to the drain limit
)

// drainLimit is how long the node may take to drain.
func drainLimit(cfg Config) time.Duration {
	var longest time.Duration
	for _, class := range cfg.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, killDeadlineCap) + killDelay - killMargin
}

// newDrainSchedule works out the steps of draining. The node keeps its clients' connections until it must close
// them for most answers, which take less than half of their latency objective, to come in time: a client whose
// connection is closed sooner might find no other node yet. Where deadlines are so short that there is no time
// for all of that, the final answers have priority.
func newDrainSchedule(cfg Config) drainSchedule {
	var objective time.Duration
	for _, class := range cfg.Settings.Classes {
		objective = max(objective, class.LatencyObjective)
	}
	answerAll := drainLimit(cfg) - finalResponseMargin
	closeConns := min(max(acceptPeriod+lateRequestPeriod, answerAll-objective/2), answerAll-drainPollInterval)
	return drainSchedule{
		stopAccepting: min(acceptPeriod, closeConns),
		closeConns:    closeConns,
		answerAll:     answerAll,
	}
}
