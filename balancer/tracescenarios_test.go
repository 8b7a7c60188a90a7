package balancer_test

import (
	"time"

	"basaltdrum/balancer"
)

// traceScenario is a setting of the seeded run whose actions are hashed.
type traceScenario struct {
	name      string
	servers   int
	change    func(*balancer.Settings)
	sized     bool // endpoints are listed with different sizes
	hinted    bool // requests tell the work expected of them
	warming   bool // restarted endpoints are listed with the time of their start
	outages   bool // now and then all attempts fail for a while, or all endpoints leave the list
	reconfigs bool // now and then other settings are put in force
	hash      string
}

// traceScenarios cover all effects and scopes, both ways to have the list, the first tier and later ones,
// warming endpoints with and without a limit, outages and new settings. A hash changes only with a change
// of behaviour, whose commit says why.
var traceScenarios = []traceScenario{
	{name: "first tier", servers: 8, hash: "61e0c06d0708e46c6c6d7ca0"},
	{
		name: "first tier, hints, sizes, late answers worth something", servers: 30, sized: true,
		hinted: true, outages: true,
		change: func(s *balancer.Settings) {
			for i := range s.Classes {
				s.Classes[i].LateValue = 0.3
			}
		}, hash: "b539948d85a933ee17545f64",
	},
	{
		name: "second tier, zones, warming without a limit", servers: 24, warming: true,
		change: func(s *balancer.Settings) { s.Tier, s.ZoneCount, s.Replicas, s.ReplicaIndex = 1, 3, 7, 3 },
		hash:   "d79a856a023425a0c0b0236a",
	},
	{
		name: "second tier, warming with a limit", servers: 24, warming: true, hinted: true, outages: true,
		change: func(s *balancer.Settings) {
			s.Tier, s.ZoneCount, s.Replicas, s.ReplicaIndex = 1, 3, 20, 11
			s.OverloadMultiple, s.OverloadWindow = 2, time.Second
		}, hash: "f1e76de5bd2ff3820dedaf96",
	},
	{
		name: "first tier, warming with a wide limit, a small service", servers: 4, warming: true, outages: true,
		change: func(s *balancer.Settings) {
			s.OverloadMultiple, s.OverloadWindow = 4, 500*time.Millisecond
		},
		hash: "92412dbbbdd018a8865a3e9c",
	},
	{
		name: "polled list, no cancelling, one attempt", servers: 12, outages: true,
		change: func(s *balancer.Settings) {
			s.PollDiscovery, s.AllowCancel, s.MaxAttempts = true, false, 1
		},
		hash: "473e625af96c6b422214e1c4",
	},
	{
		name: "new settings", servers: 16, warming: true, outages: true, reconfigs: true,
		change: func(s *balancer.Settings) { s.ZoneCount, s.Replicas = 3, 5 }, hash: "bfb4401c88128085c4b64777",
	},
	{
		name: "long list", servers: 400, sized: true, warming: true, reconfigs: true,
		change: func(s *balancer.Settings) {
			s.Tier, s.ZoneCount, s.Replicas, s.ReplicaIndex = 1, 3, 90, 40
			s.OverloadMultiple, s.OverloadWindow = 3, time.Second
		}, hash: "6aaea70937a49261b98da278",
	},
}

// traceSteps is how many ticks of a scenario are played.
const traceSteps = 6000

func traceSettings() balancer.Settings {
	class := func(name string, effect balancer.Effect, scope balancer.Scope) balancer.Class {
		return balancer.Class{
			Name: name, Effect: effect, Scope: scope, DedupWindow: 900 * time.Millisecond,
			LatencyObjective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond,
			PriorityWeight: float64(1 + len(name)),
		}
	}
	return balancer.Settings{
		Classes: []balancer.Class{
			class("read", balancer.Idempotent, balancer.ScopeAll),
			class("cell", balancer.IdempotentByKey, balancer.ScopeCell),
			class("zone", balancer.IdempotentByKey, balancer.ScopeZone),
			class("keyed", balancer.IdempotentByKey, balancer.ScopeAll),
			class("unsafe", balancer.NonIdempotent, balancer.ScopeCell),
		},
		Replicas: 4, ReplicaIndex: 1, Zone: "z1", ZoneCount: 1, TotalWeight: 0.6, WorstClassWeight: 0.3,
		MaxAttempts: 4, AllowCancel: true,
		PollWithin: 10 * time.Second, Tick: 5 * time.Millisecond, MaxRetryAfter: 2 * time.Second,
		SlowStartFloor: 0.15, SlowStartDuration: 8 * time.Second,
	}
}
