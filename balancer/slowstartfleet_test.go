package balancer

import (
	"fmt"
	"testing"
	"time"
)

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

// warmingCase is a row of the table below.
type warmingCase struct {
	replicas, warming, failing int
	servers, cores             int // of a server; 0: 20 and 2
	multiple                   float64
	window                     time.Duration
	hints, fresh               bool
	tier                       int
}

func (c warmingCase) fleet(seed uint64) warmingFleet {
	f := warmingFleet{
		replicas: c.replicas, servers: 20, warming: c.warming, cores: 2, capacity: 24, work: 200 * msec, load: 0.5,
		set: warmingSettings(), hints: c.hints, fresh: c.fresh, failing: c.failing, seed: seed,
	}
	f.set.Tier, f.set.OverloadMultiple, f.set.OverloadWindow = c.tier, c.multiple, c.window
	if c.servers > 0 {
		f.servers, f.cores, f.capacity = c.servers, c.cores, 12*c.cores
	}
	return f
}

// warmingCases has each combination of windows, warming and failing servers and hints, by turns with old and
// new replicas and in both tiers.
func warmingCases(replicas int, multiple float64) (rows []warmingCase) {
	for _, window := range []time.Duration{500 * msec, time.Second, 2 * time.Second} {
		for _, warming := range []int{2, 10, 18} {
			for _, failing := range []int{0, (20 - warming) / 2} {
				for _, hints := range []bool{false, true} {
					n := len(rows)
					rows = append(rows, warmingCase{
						replicas: replicas, warming: warming, failing: failing, multiple: multiple, window: window,
						hints: hints, fresh: n%3 == 2, tier: n / 2 % 2,
					})
				}
			}
		}
	}
	return rows
}

// No warming server gets more from all replicas together than the settings allow, however many are warming,
// whether the replicas are few or many, old or new, and though the warm servers fail meanwhile. Nor are the
// warming ones left idle: where few are warming, or the limit is wide, they take most of their share of the
// work.
func TestSlowStartLimitHoldsForAllReplicas(t *testing.T) {
	for _, replicas := range []int{5, 20, 30, 100} {
		for _, multiple := range []float64{2, 4} {
			t.Run(fmt.Sprint(replicas, " replicas, multiple ", multiple), func(t *testing.T) {
				t.Parallel()
				rows, sum := warmingCases(replicas, multiple), 0.0
				for _, c := range rows {
					res := c.fleet(1).play(t, nil)
					if res.overloaded > 0 {
						t.Errorf("%+v: %d servers overloaded, %.2f of the limit", c, res.overloaded, res.worst)
					}
					sum += res.share
				}
				share := sum / float64(len(rows))
				t.Logf("warming servers took %.2f of their share", share)
				if share < 0.5 {
					t.Errorf("warming servers took %.2f of their share on average", share)
				}
			})
		}
	}
}

// warmingSize is the size of a fleet and the capacity of its servers, which determines what the settings
// allow a warming server in a window: N.
type warmingSize struct {
	replicas, servers, cores int
	multiple                 float64
	window                   time.Duration
	share                    float64 // that the warming servers take at least
}

// The limit holds in fleets from one replica to the largest, with N under 30, over it, and on both sides of
// it as the servers warm up. With one or two replicas the warming servers take less than their share: a
// replica has one call at a time at each.
func TestSlowStartLimitHoldsInFleetsOfAnySize(t *testing.T) {
	for _, size := range []warmingSize{
		{replicas: 1, servers: 20, cores: 1, multiple: 2, window: time.Second, share: 0.5}, // N from 1.2 to 10
		{replicas: 2, servers: 20, cores: 1, multiple: 2, window: time.Second, share: 0.6},
		{replicas: 5, servers: 20, cores: 1, multiple: 2, window: time.Second, share: 0.6},
		{replicas: 30, servers: 20, cores: 1, multiple: 2, window: time.Second, share: 0.7},
		{replicas: 300, servers: 100, cores: 1, multiple: 2, window: time.Second, share: 0.5},
		{replicas: 900, servers: 300, cores: 1, multiple: 2, window: time.Second, share: 0.45},
		{replicas: 1, servers: 20, cores: 2, multiple: 4, window: 2 * time.Second, share: 0.25}, // N from 9.6 to 80
		{replicas: 2, servers: 20, cores: 2, multiple: 4, window: 2 * time.Second, share: 0.5},
		{replicas: 5, servers: 20, cores: 2, multiple: 4, window: 2 * time.Second, share: 0.6},
		{replicas: 30, servers: 20, cores: 2, multiple: 4, window: 2 * time.Second, share: 0.7},
		{replicas: 1, servers: 20, cores: 8, multiple: 4, window: 2 * time.Second, share: 0.05}, // N from 38 to 320
		{replicas: 2, servers: 20, cores: 8, multiple: 4, window: 2 * time.Second, share: 0.1},
		{replicas: 5, servers: 20, cores: 8, multiple: 4, window: 2 * time.Second, share: 0.35},
		{replicas: 30, servers: 20, cores: 8, multiple: 4, window: 2 * time.Second, share: 0.45},
		{replicas: 300, servers: 20, cores: 8, multiple: 4, window: 2 * time.Second, share: 0.45},
		{replicas: 900, servers: 60, cores: 8, multiple: 4, window: 2 * time.Second, share: 0.45},
	} {
		t.Run(fmt.Sprintf("%d replicas, %d cores", size.replicas, size.cores), func(t *testing.T) {
			t.Parallel()
			size.play(t)
		})
	}
}

// play plays a tenth, half and nine tenths of the servers warming; for the largest fleets with hints only at
// one.
func (size warmingSize) play(t *testing.T) {
	sum, worst, rows := 0.0, 0.0, 0
	for i, tenths := range []int{1, 5, 9} {
		for _, hints := range []bool{false, true} {
			if size.replicas >= 300 && hints != (i == 1) {
				continue
			}
			c := warmingCase{
				replicas: size.replicas, servers: size.servers, cores: size.cores, warming: size.servers * tenths / 10,
				multiple: size.multiple, window: size.window, hints: hints, fresh: rows%3 == 2, tier: rows / 2 % 2,
			}
			res := c.fleet(1).play(t, nil)
			if res.overloaded > 0 {
				t.Errorf("%+v: %d servers overloaded, %.2f of the limit", c, res.overloaded, res.worst)
			}
			rows++
			sum, worst = sum+res.share, max(worst, res.worst)
		}
	}
	t.Logf("warming servers took %.2f of their share, and at most %.2f of the limit", sum/float64(rows), worst)
	if sum/float64(rows) < size.share {
		t.Errorf("warming servers took %.2f of their share on average, want %.2f", sum/float64(rows), size.share)
	}
}

// The check can fail: one server that gets all requests is overloaded, and so is one that gets a warm one's
// share from its first moment.
func TestSlowStartLimitCheckCanFail(t *testing.T) {
	f := warmingCase{replicas: 20, warming: 2, multiple: 2, window: time.Second}.fleet(1)
	if res := f.play(t, func() int { return 0 }); res.overloaded != 1 {
		t.Errorf("one server gets all: %d overloaded", res.overloaded)
	}
	i := 0
	even := func() int {
		i++
		return i % 6
	}
	if res := f.play(t, even); res.overloaded != 2 {
		t.Errorf("all servers alike: %d overloaded, %.2f of the limit", res.overloaded, res.worst)
	}
}
