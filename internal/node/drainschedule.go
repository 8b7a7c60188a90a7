package node

import "time"

// Times of a shutdown. The deployment's protocol defines how a node is stopped: new connections may arrive for 400 ms
// after the signal, and the node is not killed before the longest deadline of a class (at most killDeadlineCap) plus
// killDelay have passed.
const (
	// acceptPeriod is how long a draining node accepts connections: these 400 ms plus twice the tolerance of the
	// protocol's times.
	acceptPeriod = 500 * time.Millisecond
	// lateRequestPeriod is the minimum time after that for which open connections are served, so that the requests on
	// the last accepted connections are received.
	lateRequestPeriod   = 100 * time.Millisecond
	killDeadlineCap     = 3 * time.Second
	killDelay           = 700 * time.Millisecond
	killMargin          = 100 * time.Millisecond // from the drain limit to the kill; reserve for a stall of the process
	finalResponseMargin = 150 * time.Millisecond // from the final responses to the drain limit
)

// drainLimit returns how long the node may take to drain.
func drainLimit(cfg Config) time.Duration {
	var longest time.Duration
	for _, class := range cfg.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, killDeadlineCap) + killDelay - killMargin
}

// newDrainSchedule returns the schedule of draining for a configuration. Client connections stay open as long as
// possible, because a client whose connection is closed early may not find another node yet. The connections are closed
// half a latency objective before the final responses, so that most requests, which take less than that, complete in
// time. If the deadlines are too short for all steps, the final responses have priority.
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
