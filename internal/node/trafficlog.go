package node

import (
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
	e := s.Results
	l.log.With(l.connectionStats()...).Info("traffic", "requests", s.Requests, "served", s.Served, "refused", s.Rejected,
		"failed", s.Failed, "gone", s.Departed, "sends", s.Sends, "success", e[balancer.Success],
		"failure", e[balancer.ServerError], "overloaded", e[balancer.Rejected],
		"timed_out", e[balancer.TimedOut], "unreachable", e[balancer.ConnectFailed],
		"broken", e[balancer.ConnectionLost], "withdrawn", e[balancer.Cancelled], "void", e[balancer.NotSent],
		"pending", len(l.pending), "lag_max", s.LagMax, "lag_mean", s.LagSum/time.Duration(s.Events))
}
