package node

import (
	"log/slog"
	"time"

	"basaltdrum/balancer"
)

// statsInterval is the time between two traffic lines in the log.
const statsInterval = 10 * time.Second

// resultCount is how many values balancer.AttemptResult has.
const resultCount = 8

// trafficCounts are the figures of the traffic line, counted since the line before.
type trafficCounts struct {
	Requests int // received and passed to the module
	Served   int // answered with an endpoint's answer
	Rejected int // answered 503
	Failed   int // answered 502
	Departed int // whose client has closed its connection, or may have
	Sends    int // attempts started
	Results  [resultCount]int
	LagMax   time.Duration // longest time from an event to its handling
	LagSum   time.Duration // over all events
	Events   int           // that the lag was measured of
}

// noteLag counts the time from an event to its handling.
func (c *trafficCounts) noteLag(lag time.Duration) {
	c.LagMax = max(c.LagMax, lag)
	c.LagSum += lag
	c.Events++
}

// noteUnserved counts a request that was answered without an endpoint's answer.
func (c *trafficCounts) noteUnserved(kind ResponseKind) {
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
	if counts.Events == 0 {
		return
	}
	results := counts.Results
	t.log.With(t.connectionStats()...).Info("traffic",
		slog.Group("requests", "received", counts.Requests, "served", counts.Served, "rejected", counts.Rejected,
			"failed", counts.Failed, "departed", counts.Departed, "pending", pending),
		slog.Group("attempts", "started", counts.Sends, "success", results[balancer.Success],
			"server_error", results[balancer.ServerError], "rejected", results[balancer.Rejected],
			"timed_out", results[balancer.TimedOut], "connect_failed", results[balancer.ConnectFailed],
			"connection_lost", results[balancer.ConnectionLost], "cancelled", results[balancer.Cancelled],
			"not_sent", results[balancer.NotSent]),
		slog.Group("lag", "max", counts.LagMax, "mean", counts.LagSum/time.Duration(counts.Events)))
}
