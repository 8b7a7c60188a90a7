package balancer

import (
	"testing"
	"time"

	"basaltdrum/internal/servermodel"
)

// shopsOutage returns the outage of a deployment whose servers have a low concurrency limit and a short
// queue, and stay slow after an overload.
func shopsOutage() outage {
	return outage{
		replicas: 46, servers: 84, work: 75 * msec, lowerTierWait: 3.2, load: 0.55,
		model: servermodel.Settings{
			Cores: 2, Speed: 0.85, ConcurrencyLimit: 13, QueueLimit: 2, SlowStartFloor: 0.35, SlowStartCalls: 60,
			Knee: 4, Contention: 0.6, DegradeAt: 8.6, DegradeAfter: 2400 * msec, DegradeFactor: 2.5,
			RecoverBelow: 0.37, RecoverAfter: 2500 * msec,
		},
		settings: Settings{
			Classes: []Class{
				{
					Name: "search", Effect: Idempotent, Scope: ScopeAll, LatencyObjective: 850 * msec,
					Deadline: 2180 * msec, PriorityWeight: 1, LateValue: 0.5,
				},
				{
					Name: "order", LatencyObjective: 1760 * msec, Deadline: 4420 * msec, PriorityWeight: 3,
					LateValue: 0.2,
				},
				{
					Name: "intake", LatencyObjective: 2430 * msec, Deadline: 6060 * msec, PriorityWeight: 2,
					LateValue: 0.5,
				},
			},
			TotalWeight: 0.6, WorstClassWeight: 0.2, MaxAttempts: 5, AllowCancel: true, Tick: msec,
			PollWithin: 10 * time.Second, SlowStartFloor: 0.32, SlowStartDuration: 9 * time.Second,
			OverloadMultiple: 3, OverloadWindow: time.Second,
		},
	}
}

// galleryOutage returns the outage of a deployment whose servers have a high concurrency limit and a long
// queue, and recover from an overload at once.
func galleryOutage() outage {
	o := shopsOutage()
	o.replicas, o.servers, o.work, o.lowerTierWait = 48, 60, 150*msec, 2
	o.model = servermodel.Settings{
		Cores: 3, Speed: 1.1, ConcurrencyLimit: 50, QueueLimit: 60,
		SlowStartFloor: 0.2, SlowStartCalls: 300,
	}
	o.settings.MaxAttempts = 6
	o.settings.Classes = []Class{
		{
			Name: "favourite", Effect: IdempotentByKey, Scope: ScopeZone, DedupWindow: 5 * time.Second,
			LatencyObjective: 1200 * msec, Deadline: 3 * time.Second, PriorityWeight: 10,
		},
		{Name: "print", LatencyObjective: 2500 * msec, Deadline: 6 * time.Second, PriorityWeight: 30},
	}
	return o
}

// recoveryCase is an outage, and the minimum shares of the offered priority weight that must be served before
// the faults and after the recovery. No minimum applies in between, when the clients of most replicas can't
// connect.
type recoveryCase struct {
	name          string
	outage        outage
	before, after float64 // minimum served shares
}

func recoveryCases() (cases []recoveryCase) {
	add := func(name string, o outage, before, after float64, change func(o *outage)) {
		change(&o)
		cases = append(cases, recoveryCase{name, o, before, after})
	}
	add("shops", shopsOutage(), 0.9, 0.6, func(*outage) {})
	add("shops, long waits in the tiers below", shopsOutage(), 0.8, 0.45, func(o *outage) {
		o.load, o.lowerTierWait = 0.6, 4
	})
	add("shops, low load", shopsOutage(), 0.95, 0.9, func(o *outage) { o.load = 0.45 })
	add("servers do not degrade", shopsOutage(), 0.9, 0.75, func(o *outage) { o.model.DegradeAt = 0 })
	add("many replicas, few servers", shopsOutage(), 0.9, 0.4, func(o *outage) {
		o.replicas, o.servers, o.load = 100, 20, 0.45
	})
	add("few replicas, many servers", shopsOutage(), 0.9, 0.9, func(o *outage) { o.replicas, o.servers = 10, 80 })
	add("gallery", galleryOutage(), 0.95, 0.9, func(*outage) {})
	add("gallery, high load", galleryOutage(), 0.9, 0.85, func(o *outage) { o.load = 0.7 })
	return cases
}

// After an outage the fleet serves about as much as before, although overloaded servers stay slow until their
// load has been low for a while, and although most replicas have lost their state: the overload must not
// sustain itself. Nor may overly cautious replicas reject requests that the servers can serve, before the
// outage or after it.
func TestFleetRecoversFromAnOutage(t *testing.T) {
	for _, c := range recoveryCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				c.outage.seed = seed + 1
				result := c.outage.run(t)
				before, after := result.servedShare(0, faultStart), result.servedShare(recoveryDeadline, requestsEnd)
				t.Logf("seed %d: served shares %.2f before, %.2f during, %.2f after", c.outage.seed, before,
					result.servedShare(faultStart, recoveryDeadline), after)
				if before < c.before || after < c.after {
					t.Errorf("seed %d: served shares %.2f before and %.2f after, want at least %.2f and %.2f",
						c.outage.seed, before, after, c.before, c.after)
				}
			}
		})
	}
}
