package node

import (
	"log/slog"
	"time"

	"basaltdrum/balancer"
)

// trafficLogInterval is the time between two traffic lines in the log.
const trafficLogInterval = 10 * time.Second

// attemptResultCount is how many values balancer.AttemptResult has.
const attemptResultCount = 8

// trafficCounts are the figures of the traffic line, counted since the line before.
type trafficCounts struct {
	Requests int // received and passed to the module
	Served   int // answered with an endpoint's answer
	Rejected int // answered 503
	Failed   int // answered 502
	Departed int // whose client has closed its connection, or may have
	AttemptsStarted    int // attempts started
	AttemptResults  [attemptResultCount]int
	MaxLag   time.Duration // longest time from an event to its handling
	TotalLag   time.Duration // over all events
	LagSamples   int           // that the lag was measured of
}

// recordLag counts the time from an event to its handling.
func (c *trafficCounts) recordLag(lag time.Duration) {
	c.MaxLag = max(c.MaxLag, lag)
	c.TotalLag += lag
	c.LagSamples++
}

// countUnserved counts a request that was answered without an endpoint's answer.
func (c *trafficCounts) countUnserved(kind ResponseKind) {
	if kind == ResponseRejected {
		c.Rejected++
	} else {
		c.Failed++
	}
}

// trafficLog counts what the loop does and writes it to the log. It belongs to the goroutine of the loop.
type trafficLog struct {
	trafficCounts
	log             *slog.Logger
	connectionStats func() []any // further attributes for the line
}

// write logs what happened since the last traffic line, if anything did.
func (t *trafficLog) write(pending int) {
	counts := t.trafficCounts
	t.trafficCounts = trafficCounts{}
	if counts.LagSamples == 0 {
		return
	}
	results := counts.AttemptResults
	t.log.With(t.connectionStats()...).Info("traffic",
		slog.Group("requests", "received", counts.Requests, "served", counts.Served, "rejected", counts.Rejected,
			"failed", counts.Failed, "departed", counts.Departed, "pending", pending),
		slog.Group("attempts", "started", counts.AttemptsStarted, "success", results[balancer.Success],
			"server_error", results[balancer.ServerError], "rejected", results[balancer.Rejected],
			"timed_out", results[balancer.TimedOut], "connect_failed", results[balancer.ConnectFailed],
			"connection_lost", results[balancer.ConnectionLost], "cancelled", results[balancer.Cancelled],
			"not_sent", results[balancer.NotSent]),
		slog.Group("lag", "max", counts.MaxLag, "mean", counts.TotalLag/time.Duration(counts.LagSamples)))
}
