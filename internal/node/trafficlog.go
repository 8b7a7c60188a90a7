package node

import (
	"log/slog"
	"time"

	"balancer"
)

// stats count what happened, for the log.
type trafficCounts struct {
	Requests, Served, Rejected, Failed, Departed, Sends int
	Results                                             [8]int
	LagMax, LagSum                                      time.Duration
	Events                                              int
}

// statsEvery is how often the log tells what happened, when anything did.
const statsInterval = 10 * time.Second

// lag notes how long after an event the loop got to it.
func (l *loop) noteLag(at time.Duration) {
	d := -l.clock.until(at)
	l.traffic.LagMax = max(l.traffic.LagMax, d)
	l.traffic.LagSum += d
	l.traffic.Events++
}

// report logs what happened since the last report.
func (l *loop) logTraffic() {
	s := l.traffic
	l.traffic = trafficCounts{}
	if s.Events == 0 {
		return
	}
	r := s.Results
	l.log.With(l.connectionStats()...).Info("traffic",
		slog.Group("requests", "received", s.Requests, "served", s.Served, "rejected", s.Rejected,
			"failed", s.Failed, "departed", s.Departed, "pending", len(l.pending)),
		slog.Group("attempts", "started", s.Sends, "success", r[balancer.Success],
			"server_error", r[balancer.ServerError], "rejected", r[balancer.Rejected],
			"timed_out", r[balancer.TimedOut], "connect_failed", r[balancer.ConnectFailed],
			"connection_lost", r[balancer.ConnectionLost], "cancelled", r[balancer.Cancelled],
			"not_sent", r[balancer.NotSent]),
		slog.Group("lag", "max", s.LagMax, "mean", s.LagSum/time.Duration(s.Events)))
}
