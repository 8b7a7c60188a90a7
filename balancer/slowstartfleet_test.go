package balancer

import (
	"fmt"
	"testing"
	"time"
)

// warmingSettings returns settings with one class and an overload limit.
func warmingSettings() Settings {
	return Settings{
		Classes: []Class{{
			Name: "get", Effect: Idempotent, Scope: ScopeAll, LatencyObjective: 1200 * msec,
			Deadline: 3 * time.Second, PriorityWeight: 1,
		}},
		Tier: 1, TotalWeight: 0.6, WorstClassWeight: 0.3, MaxAttempts: 6, AllowCancel: true, Tick: 5 * msec,
		PollWithin: 10 * time.Second, MaxRetryAfter: 2 * time.Second,
		SlowStartFloor: 0.12, SlowStartDuration: 24 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second,
	}
}

// warmingCase is a variant of a simulated fleet. If servers is 0, there are 20 servers with 2 cores each.
type warmingCase struct {
	replicas, warming, failing int           // number of replicas, and of servers that are warming up or fail
	servers, cores             int           // number of servers, and of cores of each
	multiple                   float64       // OverloadMultiple
	window                     time.Duration // OverloadWindow
	workHints, freshReplicas   bool          // as in warmingFleet
	tier                       int
}

// fleet returns the fleet of the case.
func (c warmingCase) fleet(seed uint64) warmingFleet {
	f := warmingFleet{
		replicas: c.replicas, servers: 20, warming: c.warming, cores: 2, capacity: 24, work: 200 * msec, load: 0.5,
		settings: warmingSettings(), workHints: c.workHints, freshReplicas: c.freshReplicas, failing: c.failing,
		seed: seed,
	}
	f.settings.Tier, f.settings.OverloadMultiple, f.settings.OverloadWindow = c.tier, c.multiple, c.window
	if c.servers > 0 {
		f.servers, f.cores, f.capacity = c.servers, c.cores, 12*c.cores
	}
	return f
}

// warmingCases returns all combinations of windows, numbers of warming and failing servers and work hints,
// alternately with old and fresh replicas and in both tiers.
func warmingCases(replicas int, multiple float64) (cases []warmingCase) {
	for _, window := range []time.Duration{500 * msec, time.Second, 2 * time.Second} {
		for _, warming := range []int{2, 10, 18} {
			for _, failing := range []int{0, (20 - warming) / 2} {
				for _, hints := range []bool{false, true} {
					n := len(cases)
					cases = append(cases, warmingCase{
						replicas: replicas, warming: warming, failing: failing, multiple: multiple, window: window,
						workHints: hints, freshReplicas: n%3 == 2, tier: n / 2 % 2,
					})
				}
			}
		}
	}
	return cases
}

// All replicas together send a server that is warming up at most what its overload limit allows, whatever the
// number of such servers, the number of replicas and their age, and even if warm servers fail meanwhile. The
// servers that are warming up are not left idle either: if they are few or the limit is high, they get most
// of their share of the work.
func TestSlowStartLimitHoldsForAllReplicas(t *testing.T) {
	for _, replicas := range []int{5, 20, 30, 100} {
		for _, multiple := range []float64{2, 4} {
			t.Run(fmt.Sprint(replicas, " replicas, multiple ", multiple), func(t *testing.T) {
				t.Parallel()
				cases, sum := warmingCases(replicas, multiple), 0.0
				for _, c := range cases {
					result := c.fleet(1).play(t, nil)
					if result.overloaded > 0 {
						t.Errorf("%+v: %d servers overloaded, want none; %.2f of the limit",
							c, result.overloaded, result.maxLimitShare)
					}
					sum += result.workShare
				}
				share := sum / float64(len(cases))
				t.Logf("servers that are warming up got %.2f of their share", share)
				if share < 0.5 {
					t.Errorf("servers that are warming up got %.2f of their share, want at least 0.5", share)
				}
			})
		}
	}
}

// warmingSize is the size of a fleet and the capacity of its servers, which determines N: the number of
// requests of mean work that the overload limit allows for a server in a window, without the tolerance of
// overloadLimit.
type warmingSize struct {
	replicas, servers, cores int
	multiple                 float64
	window                   time.Duration
	minShare                 float64 // minimum workShare, averaged over the runs
}

// The limit holds in fleets of 1 to 900 replicas, with N below 30, above 30, or growing beyond 30 while the
// servers warm up. With one or two replicas, the servers that are warming up get less than their share,
// because each replica has at most one attempt at a time in flight at each.
func TestSlowStartLimitHoldsInFleetsOfAnySize(t *testing.T) {
	for _, size := range []warmingSize{
		{replicas: 1, servers: 20, cores: 1, multiple: 2, window: time.Second, minShare: 0.5}, // N from 1.2 to 10
		{replicas: 2, servers: 20, cores: 1, multiple: 2, window: time.Second, minShare: 0.6},
		{replicas: 5, servers: 20, cores: 1, multiple: 2, window: time.Second, minShare: 0.6},
		{replicas: 30, servers: 20, cores: 1, multiple: 2, window: time.Second, minShare: 0.7},
		{replicas: 300, servers: 100, cores: 1, multiple: 2, window: time.Second, minShare: 0.5},
		{replicas: 900, servers: 300, cores: 1, multiple: 2, window: time.Second, minShare: 0.45},
		{replicas: 1, servers: 20, cores: 2, multiple: 4, window: 2 * time.Second, minShare: 0.25}, // N from 9.6 to 80
		{replicas: 2, servers: 20, cores: 2, multiple: 4, window: 2 * time.Second, minShare: 0.5},
		{replicas: 5, servers: 20, cores: 2, multiple: 4, window: 2 * time.Second, minShare: 0.6},
		{replicas: 30, servers: 20, cores: 2, multiple: 4, window: 2 * time.Second, minShare: 0.7},
		{replicas: 1, servers: 20, cores: 8, multiple: 4, window: 2 * time.Second, minShare: 0.05}, // N from 38 to 320
		{replicas: 2, servers: 20, cores: 8, multiple: 4, window: 2 * time.Second, minShare: 0.1},
		{replicas: 5, servers: 20, cores: 8, multiple: 4, window: 2 * time.Second, minShare: 0.35},
		{replicas: 30, servers: 20, cores: 8, multiple: 4, window: 2 * time.Second, minShare: 0.45},
		{replicas: 300, servers: 20, cores: 8, multiple: 4, window: 2 * time.Second, minShare: 0.45},
		{replicas: 900, servers: 60, cores: 8, multiple: 4, window: 2 * time.Second, minShare: 0.45},
	} {
		t.Run(fmt.Sprintf("%d replicas, %d cores", size.replicas, size.cores), func(t *testing.T) {
			t.Parallel()
			size.play(t)
		})
	}
}

// play simulates the fleet with a tenth, half and nine tenths of the servers warming up, each with and without
// work hints. The largest fleets are simulated with hints if half of the servers are warming up, and without
// hints otherwise.
func (size warmingSize) play(t *testing.T) {
	sum, maxLimitShare, runs := 0.0, 0.0, 0
	for i, tenths := range []int{1, 5, 9} {
		for _, hints := range []bool{false, true} {
			if size.replicas >= 300 && hints != (i == 1) {
				continue
			}
			c := warmingCase{
				replicas: size.replicas, servers: size.servers, cores: size.cores, warming: size.servers * tenths / 10,
				multiple: size.multiple, window: size.window, workHints: hints, freshReplicas: runs%3 == 2,
				tier: runs / 2 % 2,
			}
			result := c.fleet(1).play(t, nil)
			if result.overloaded > 0 {
				t.Errorf("%+v: %d servers overloaded, want none; %.2f of the limit",
					c, result.overloaded, result.maxLimitShare)
			}
			runs++
			sum, maxLimitShare = sum+result.workShare, max(maxLimitShare, result.maxLimitShare)
		}
	}
	t.Logf("servers that are warming up got %.2f of their share, and at most %.2f of the limit",
		sum/float64(runs), maxLimitShare)
	if sum/float64(runs) < size.minShare {
		t.Errorf("servers that are warming up got %.2f of their share on average, want at least %.2f",
			sum/float64(runs), size.minShare)
	}
}

// The check of the limit can fail: a server that gets all requests is overloaded, and so is one that gets the
// share of a warm server as soon as it starts.
func TestSlowStartLimitCheckCanFail(t *testing.T) {
	f := warmingCase{replicas: 20, warming: 2, multiple: 2, window: time.Second}.fleet(1)
	if result := f.play(t, func() int { return 0 }); result.overloaded != 1 {
		t.Errorf("all requests at one server: %d servers overloaded, want 1", result.overloaded)
	}
	i := 0
	roundRobin := func() int {
		i++
		return i % 6
	}
	if result := f.play(t, roundRobin); result.overloaded != 2 {
		t.Errorf("requests to 6 servers in turn: %d servers overloaded, want 2; %.2f of the limit",
			result.overloaded, result.maxLimitShare)
	}
}
