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

// newClass returns a class that is known to answer in meanLatency without overload.
func newClass() *Class {
	estimator := latency.NewEstimator(objective)
	for range 100 {
		estimator.Observe(float64(meanLatency))
	}
	return &Class{Objective: objective, PriorityWeight: 1, Latency: &estimator, Traffic: &Traffic{}}
}

// observeSuccesses records answers that take a share of the latency target while the limit is used up.
func observeSuccesses(l *Limiter, class *Class, answers int, share, endpointsPerReplica float64) {
	for range answers {
		l.inFlight = int(l.limit)
		l.ObserveSuccess(class, share*class.target(0), endpointsPerReplica)
	}
}

// A new limit begins at its floor, and each good answer opens it by one request, for as long as it is used
// up; a few rejections end that.
func TestNewLimitGrowsUntilEndpointsReject(t *testing.T) {
	const endpointsPerReplica, least = 5, 5 * minLimitPerEndpoint
	var limiter Limiter
	limiter.Initialize(endpointsPerReplica)
	if limiter.Limit() != least {
		t.Fatalf("a new limit is %.1f, want its floor, %.1f", limiter.Limit(), least)
	}
	class := newClass()
	observeSuccesses(&limiter, class, 20, 0.8, endpointsPerReplica)
	if limiter.Limit() != least+20 {
		t.Errorf("20 good answers opened the limit to %.1f, want %.1f", limiter.Limit(), least+20)
	}
	for i := range 8 {
		limiter.inFlight = int(limiter.limit)
		limiter.ObserveRejection(time.Duration(i)*meanLatency/10, class, endpointsPerReplica)
	}
	rejected := limiter.Limit()
	observeSuccesses(&limiter, class, 20, 0.8, endpointsPerReplica)
	if limiter.Limit() > rejected+5 {
		t.Errorf("after rejections 20 good answers opened the limit from %.1f to %.1f", rejected, limiter.Limit())
	}
}

// The limit follows the ratio of latencies to their target. While much is shed some endpoints are overloaded
// for certain, so the limit must shrink at lower latencies; but answers as fast as those of idle endpoints
// must open it however much is shed, or load shedding sustains itself.
func TestLimitFollowsLatency(t *testing.T) {
	nearTarget := func(c *Class) float64 { return 0.95 * c.target(0) }
	idle := func(c *Class) float64 { return 1.05 * c.Latency.Base() }
	for _, c := range []struct {
		name    string
		shed    float64
		latency func(*Class) float64
		grows   bool
	}{
		{"a little under the target", 0, nearTarget, true},
		{"a little under the target while much is shed", 0.8, nearTarget, false},
		{"twice the target", 0, func(c *Class) float64 { return 2 * c.target(0) }, false},
		{"idle endpoints while all is shed", 1, idle, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			const before = 100.0
			limiter := Limiter{limit: before, meanInFlight: before, shed: c.shed}
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

// The part of the limit that is not in use is lost at once when endpoints reject requests: else all replicas
// fill it together. One decrease a round of answers takes a fixed part at least.
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
				t.Errorf("the limit is %.1f, want %v to %v", limiter.Limit(), c.least, c.most)
			}
		})
	}
}

// With hundreds of replicas the floor is one request or less: a failure never takes the limit below either.
func TestLimitStaysAboveItsFloor(t *testing.T) {
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
				t.Errorf("the limit is %v, want %v", limiter.Limit(), c.want)
			}
		})
	}
}

// Retries by clients prolong an overload: they get only half of the limit. While load is shed, a class of a
// high priority may use more than the limit, and one of a low priority half of it.
func TestRetriesLeaveHalfOfTheLimit(t *testing.T) {
	for _, c := range []struct {
		name         string
		inFlight     int
		weight, shed float64 // weight against another class of weight one
		first, retry bool
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
			limiter := Limiter{limit: 10, inFlight: c.inFlight, shed: c.shed}
			limiter.Configure(Priorities{TotalWeight: 1, Classes: []*Class{class, classWith(1, 10, 5)}})
			if got := limiter.Admits(class, false); got != c.first {
				t.Errorf("a first attempt is admitted: %v, want %v", got, c.first)
			}
			if got := limiter.Admits(class, true); got != c.retry {
				t.Errorf("a retry is admitted: %v, want %v", got, c.retry)
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
		t.Errorf("%d in flight, %.2f on average; want 1 and about 1.5", limiter.InFlight(), limiter.MeanInFlight())
	}
}

func TestShedShareFollowsTheRequests(t *testing.T) {
	var limiter Limiter
	for range 2000 {
		limiter.ObserveShed()
		limiter.ObserveAdmitted()
	}
	if got := limiter.ShedShare(); got < 0.45 || got > 0.55 {
		t.Errorf("half of the requests are shed: a share of %.2f", got)
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
	fmt.Println("limit after a fast answer:", limiter.Limit())
	// Output:
	// in flight: 5
	// limit after a fast answer: 6
}
