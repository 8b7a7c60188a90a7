package balancer

import (
	"fmt"
	"testing"
	"time"

	"basaltdrum/balancer/internal/outlier"
)

// A server that fails at once has few calls in flight; without ejection it would win every pick.
func TestServerThatFailsFastIsEjected(t *testing.T) {
	for _, e := range []AttemptResult{ServerError, ConnectFailed, ConnectionLost} {
		t.Run(fmt.Sprint("result ", int(e)), func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(10)})
			got := sendTraffic(b, 600, "get", func(s string) AttemptResult {
				if s == "s03" {
					return e
				}
				return Success
			})
			if got["s03"] > 10 {
				t.Errorf("ending %d: the faulty server got %d of 300 first attempts", e, got["s03"])
			}
		})
	}
}

// When every server fails alike the fault is below them: no server may be left without calls.
func TestFailuresEverywhereEjectFewServers(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(10)})
	got := sendTraffic(b, 800, "get", func(string) AttemptResult { return ServerError })
	if len(got) < 8 {
		t.Errorf("only %d of 10 servers are still used", len(got))
	}
}

// An unresponsive machine shows only by an old unanswered call while other servers answer.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(10)})
	stuck, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Endpoint == "s03" {
				stuck++
			} else {
				succeed(b, now+10*msec, id, s)
			}
		}
	}
	if stuck == 0 || stuck > 6 {
		t.Errorf("the unresponsive server has %d calls in flight", stuck)
	}
}

// After an ejection the first trial must not be a request that cannot be retried.
func TestServerOnTrialGetsNoNonIdempotentRequest(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(10)})
	s := knownEndpoint(t, b, "s03")
	eject(s, 0, 0)
	if got := sendTraffic(b, 400, "pay", func(string) AttemptResult { return Success }); got["s03"] != 0 {
		t.Errorf("a server on trial got %d unsafe requests", got["s03"])
	}
	if got := sendTraffic(b, 400, "get", func(string) AttemptResult { return Success }); got["s03"] == 0 {
		t.Error("the server was never tried again")
	}
}

// In overload every server is needed: the more is shed, the fewer may be ejected.
func TestLoadSheddingEjectsFewerServers(t *testing.T) {
	for _, c := range []struct {
		shed float64
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 0}} {
		t.Run(fmt.Sprint("shed ", c.shed), func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(20)})
			for _, s := range allReady(b)[:10] {
				eject(s, msec, time.Minute)
			}
			shedUpTo(b, c.shed)
			out := 0
			choice := selection{
				endpointSelector: &b.endpoints, now: b.now, req: &request{class: b.classes.byName["get"]},
				load: replicaLoad{shedShare: b.admission.ShedShare()},
			}
			choice.excludeUnhealthy(candidates{groups: b.endpoints.Groups(), excludeOutliers: true})
			for _, s := range allReady(b) {
				if s.Excluded {
					out++
				}
			}
			if out != c.want {
				t.Errorf("shed %.1f: %d ruled out, want %d", c.shed, out, c.want)
			}
		})
	}
}

// A server whose connection table is filled by other replicas refuses connections at once: it gets no more
// own calls than it had, however many others refuse too, and is tried again later.
func TestServerThatRefusesConnectionsGetsNoMoreCalls(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Replicas = 1, 1 })
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(10)})
	now, id := msec, 0
	full := map[string]bool{"s00": true, "s02": true, "s03": true, "s05": true, "s06": true, "s08": true}
	refused := func(n int) (count int) {
		for range n {
			now += 5 * msec
			id++
			todo := sends(b.Handle(now, Request{ID: fmt.Sprint(id), Class: "get", Deadline: now + time.Second}))
			for try := 0; len(todo) > 0; try++ {
				end := Success
				if full[todo[0].Endpoint] {
					end = ConnectFailed
					count++
				}
				now += 20 * msec
				todo = sends(b.Handle(now, AttemptEnded{
					ID: fmt.Sprint(id), Attempt: try, Endpoint: todo[0].Endpoint,
					Result: end, Answered: end == Success,
				}))
			}
		}
		return count
	}
	// Six of ten are full: without memory each request meets more than one refusal.
	if got := refused(24); got < 3 || got > 16 {
		t.Errorf("%d refusals of 24 requests: full servers are still drawn, or none was found", got)
	}
	now += time.Minute
	if refused(20) == 0 {
		t.Error("full servers were never tried again")
	}
}

// An overloaded server answers, but late: one overlong response must be enough to eject it for a while, for
// one of many nodes calls it too rarely to wait for a mean. Where overlong responses are common none is
// ejected.
func TestOverlongResponseEjects(t *testing.T) {
	for _, c := range []struct {
		otherBadResults int // of the latest; 11 make half of them bad
		want            bool
	}{{0, true}, {11, false}} {
		t.Run(fmt.Sprint(c.otherBadResults, " other bad results"), func(t *testing.T) {
			b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
			b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: servers(10)})
			sendTraffic(b, 40, "get", func(string) AttemptResult { return Success })
			b.endpoints.outliers = outlier.NewDetector()
			for range c.otherBadResults {
				b.endpoints.outliers.ObserveFailure(&outlier.Record{}, b.now, float64(msec))
			}
			now := b.now
			s := sends(b.Handle(now, Request{ID: "slow", Class: "get", Deadline: now + time.Second}))[0]
			succeed(b, now+400*msec, "slow", s)
			if out := knownEndpoint(t, b, s.Endpoint).Health.IsEjected(b.now); out != c.want {
				t.Errorf("with %d other bad results: ejected %v, want %v", c.otherBadResults, out, c.want)
			}
		})
	}
}
