package node

import (
	"log/slog"
	"time"

	"basaltdrum/balancer"
)

// trafficLogInterval is the interval between two traffic lines in the log.
const trafficLogInterval = 10 * time.Second

// attemptResultCount is the number of values of balancer.AttemptResult.
const attemptResultCount = 8

// trafficCounts holds the counters of the traffic line. They count what happened since the previous line.
type trafficCounts struct {
	Requests        int // requests passed to the decision module
	Served          int // requests answered with the response of an endpoint
	Rejected        int // requests answered with status 503
	Failed          int // requests answered with status 502
	Departed        int // requests whose client has closed its connection or may have closed it
	AnsweredEarly   int // requests answered before their deadline for one that was sent ahead
	AttemptsStarted int
	AttemptResults  [attemptResultCount]int
	MaxLag          time.Duration // longest time from an event to its handling
	TotalLag        time.Duration // sum of these times over all events
	LagSamples      int           // number of events whose lag was measured
}

// recordLag records the time from an event to its handling.
func (c *trafficCounts) recordLag(lag time.Duration) {
	c.MaxLag = max(c.MaxLag, lag)
	c.TotalLag += lag
	c.LagSamples++
}

// countUnserved counts a request that was answered without the response of an endpoint.
func (c *trafficCounts) countUnserved(kind ResponseKind) {
	if kind == ResponseRejected {
		c.Rejected++
	} else {
		c.Failed++
	}
}

// trafficLog counts requests, attempts and lag of the loop, and logs the counters. Only the loop's goroutine uses it.
type trafficLog struct {
	trafficCounts
	log             *slog.Logger
	connectionStats func() []any // returns further attributes for the line
}

// write logs and resets the counters. Without any event since the last line it logs nothing. pending is the number of
// pending requests.
func (t *trafficLog) write(pending int) {
	counts := t.trafficCounts
	t.trafficCounts = trafficCounts{}
	if counts.LagSamples == 0 {
		return
	}
	results := counts.AttemptResults
	t.log.With(t.connectionStats()...).Info("traffic",
		slog.Group("requests", "received", counts.Requests, "served", counts.Served, "rejected", counts.Rejected,
			"failed", counts.Failed, "departed", counts.Departed, "answered_early", counts.AnsweredEarly,
			"pending", pending),
		slog.Group("attempts", "started", counts.AttemptsStarted, "success", results[balancer.Success],
			"server_error", results[balancer.ServerError], "rejected", results[balancer.Rejected],
			"timed_out", results[balancer.TimedOut], "connect_failed", results[balancer.ConnectFailed],
			"connection_lost", results[balancer.ConnectionLost], "cancelled", results[balancer.Cancelled],
			"not_sent", results[balancer.NotSent]),
		slog.Group("lag", "max", counts.MaxLag, "mean", counts.TotalLag/time.Duration(counts.LagSamples)))
}
