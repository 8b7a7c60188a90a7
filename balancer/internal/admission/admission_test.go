package admission

import (
	"fmt"
	"testing"
	"time"

	"basaltdrum/balancer/internal/latency"
)

const (
	objective   = 500 * time.Millisecond
	meanLatency = 40 * time.Millisecond // without overload
)

// newClass returns a class whose responses are known to take meanLatency without overload.
func newClass() *Class {
	estimator := latency.NewEstimator(objective)
	for range 100 {
		estimator.Observe(float64(meanLatency))
	}
	return &Class{Objective: objective, PriorityWeight: 1, Latency: &estimator, Traffic: &Traffic{}}
}

// observeSuccesses records responses whose latency is a share of the target, while the limit is used up.
func observeSuccesses(l *Limiter, class *Class, responses int, share, endpointsPerReplica float64) {
	for range responses {
		l.inFlight = int(l.limit)
		l.ObserveSuccess(class, share*class.latencyTarget(0), endpointsPerReplica)
	}
}

// A new limit starts at its minimum, and each fast response raises it by one request as long as it is used
// up. A few rejections end this growth.
func TestNewLimitGrowsUntilEndpointsReject(t *testing.T) {
	const endpointsPerReplica, least = 5, 5 * minLimitPerEndpoint
	var limiter Limiter
	limiter.Initialize(endpointsPerReplica)
	if limiter.Limit() != least {
		t.Fatalf("new limit: got %.1f, want the minimum of %.1f", limiter.Limit(), least)
	}
	class := newClass()
	observeSuccesses(&limiter, class, 20, 0.8, endpointsPerReplica)
	if limiter.Limit() != least+20 {
		t.Errorf("limit after 20 fast responses: got %.1f, want %.1f", limiter.Limit(), least+20)
	}
	for i := range 8 {
		limiter.inFlight = int(limiter.limit)
		limiter.ObserveRejection(time.Duration(i)*meanLatency/10, class, endpointsPerReplica)
	}
	rejected := limiter.Limit()
	observeSuccesses(&limiter, class, 20, 0.8, endpointsPerReplica)
	if limiter.Limit() > rejected+5 {
		t.Errorf("20 fast responses after rejections: the limit rose from %.1f to %.1f, want a rise of at most 5",
			rejected, limiter.Limit())
	}
}

// The limit follows the ratio of latencies to their target. While much load is shed, some endpoints are
// certainly overloaded, so the limit must fall at lower latencies. But responses as fast as those of idle
// endpoints must raise it however much is shed, or load shedding would sustain itself.
func TestLimitFollowsLatency(t *testing.T) {
	nearTarget := func(c *Class) float64 { return 0.95 * c.latencyTarget(0) }
	idle := func(c *Class) float64 { return 1.05 * c.Latency.Base() }
	for _, c := range []struct {
		name      string
		shedShare float64
		latency   func(*Class) float64
		grows     bool
	}{
		{"a little under the target", 0, nearTarget, true},
		{"a little under the target while much is shed", 0.8, nearTarget, false},
		{"twice the target", 0, func(c *Class) float64 { return 2 * c.latencyTarget(0) }, false},
		{"idle endpoints while all is shed", 1, idle, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			const before = 100.0
			limiter := Limiter{limit: before, meanInFlight: before, shedShare: c.shedShare}
			class := newClass()
			for range 50 {
				limiter.inFlight = int(limiter.limit)
				limiter.ObserveSuccess(class, c.latency(class), 5)
			}
			if grew := limiter.Limit() > before; grew != c.grows || limiter.Limit() == before {
				t.Errorf("the limit went from %.1f to %.1f, want it to grow: %v", before, limiter.Limit(), c.grows)
			}
		})
	}
}

// When endpoints reject requests, the unused part of the limit is removed at once; otherwise all replicas
// would use it together. Each round of responses can remove at least a fixed share.
func TestRejectionsCutTheUnusedLimit(t *testing.T) {
	for _, c := range []struct {
		name         string
		meanInFlight float64
		pause        time.Duration // between rejections
		rejections   int
		least, most  float64
	}{
		{"half of the limit is unused", 40, 0, 8, 37, 41},
		{"all of it is used, one round", 80, 0, 8, 60, 64},
		{"all of it is used, three rounds", 80, meanLatency + 1, 3, 39, 41},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter := Limiter{limit: 80, meanInFlight: c.meanInFlight}
			for i := range c.rejections {
				limiter.ObserveRejection(time.Duration(i)*c.pause, newClass(), 5)
			}
			if limiter.Limit() < c.least || limiter.Limit() > c.most {
				t.Errorf("limit: got %.1f, want %v to %v", limiter.Limit(), c.least, c.most)
			}
		})
	}
}

// With hundreds of replicas the minimum is one request or less: failures never take the limit below it or
// below 1.
func TestLimitStaysAboveItsMinimum(t *testing.T) {
	for _, c := range []struct {
		name                string
		endpointsPerReplica float64
		want                float64
	}{
		{"one endpoint of this replica's own", 1, minLimitPerEndpoint},
		{"one endpoint for a hundred replicas", 0.01, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter := Limiter{limit: 20}
			for range 1000 {
				limiter.ObserveFailure(c.endpointsPerReplica)
			}
			if limiter.Limit() != c.want {
				t.Errorf("limit: got %v, want %v", limiter.Limit(), c.want)
			}
		})
	}
}

// Retries by clients prolong an overload, so they get only half of the limit. While load is shed, a class of
// high priority may use more than the limit, and one of low priority only half of it.
func TestRetriesLeaveHalfOfTheLimit(t *testing.T) {
	for _, c := range []struct {
		name              string
		inFlight          int
		weight, shedShare float64 // priority weight, the other class having weight 1
		first, retry      bool
	}{
		{"idle", 0, 1, 0, true, true},
		{"half used", 5, 1, 0, true, false},
		{"nearly used up", 9, 1, 0, true, false},
		{"used up", 10, 1, 0, false, false},
		{"used up, a high priority, nothing shed", 10, 100, 0, false, false},
		{"used up, a high priority, much shed", 10, 100, 1, true, false},
		{"half used, a low priority, nothing shed", 5, 0.01, 0, true, false},
		{"half used, a low priority, much shed", 5, 0.01, 1, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			class := classWith(c.weight, 10, 5)
			limiter := Limiter{limit: 10, inFlight: c.inFlight, shedShare: c.shedShare}
			limiter.Configure(Priorities{TotalWeight: 1, Classes: []*Class{class, classWith(1, 10, 5)}})
			if got := limiter.Admits(class, false); got != c.first {
				t.Errorf("first attempt admitted: got %v, want %v", got, c.first)
			}
			if got := limiter.Admits(class, true); got != c.retry {
				t.Errorf("retry admitted: got %v, want %v", got, c.retry)
			}
		})
	}
}

func TestInFlightIsCountedAndAveraged(t *testing.T) {
	var limiter Limiter
	for range 500 {
		limiter.StartAttempt()
		limiter.StartAttempt()
		limiter.EndAttempt()
		limiter.EndAttempt()
	}
	limiter.StartAttempt()
	if limiter.InFlight() != 1 || limiter.MeanInFlight() < 1.4 || limiter.MeanInFlight() > 1.6 {
		t.Errorf("got %d in flight and a mean of %.2f, want 1 and about 1.5", limiter.InFlight(),
			limiter.MeanInFlight())
	}
}

func TestShedShareFollowsTheRequests(t *testing.T) {
	var limiter Limiter
	for range 2000 {
		limiter.ObserveShed()
		limiter.ObserveAdmitted()
	}
	if got := limiter.ShedShare(); got < 0.45 || got > 0.55 {
		t.Errorf("shed share: got %.2f, want about 0.5", got)
	}
}

func Example() {
	estimator := latency.NewEstimator(400 * time.Millisecond)
	class := Class{Objective: 400 * time.Millisecond, PriorityWeight: 1, Latency: &estimator, Traffic: &Traffic{}}
	var limiter Limiter
	limiter.Configure(Priorities{TotalWeight: 1, Classes: []*Class{&class}})
	limiter.ObserveArrival(&class)
	limiter.Initialize(1) // one endpoint for each replica
	for limiter.Admits(&class, false) {
		limiter.StartAttempt()
	}
	fmt.Println("in flight:", limiter.InFlight())
	limiter.EndAttempt()
	limiter.ObserveSuccess(&class, float64(50*time.Millisecond), 1)
	fmt.Println("limit after a fast response:", limiter.Limit())
	// Output:
	// in flight: 5
	// limit after a fast response: 6
}
