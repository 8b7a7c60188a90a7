package balancer_test

import (
	"time"

	"basaltdrum/balancer"
)

// traceScenario is a variant of the seeded run whose actions are hashed.
type traceScenario struct {
	name           string
	endpoints      int
	change         func(*balancer.Settings)
	withCapacities bool // endpoints are listed with different capacities
	withWorkHints  bool // requests carry their expected work
	withStartTimes bool // restarted endpoints are listed with their start times
	outages        bool // at times all attempts fail for a while, or all endpoints are removed
	reconfigs      bool // at times the settings change
	hash           string
}

// traceScenarios cover all effects and scopes, discovery with and without polling, the first tier and later
// ones, slow start with and without an overload limit, outages and changes of settings. A hash may change
// only with a change of behaviour, and its commit must state the reason.
var traceScenarios = []traceScenario{
	{name: "first tier", endpoints: 8, hash: "61e0c06d0708e46c6c6d7ca0"},
	{
		name: "first tier, work hints, capacities, late responses have a value", endpoints: 30,
		withCapacities: true, withWorkHints: true, outages: true,
		change: func(s *balancer.Settings) {
			for i := range s.Classes {
				s.Classes[i].LateValue = 0.3
			}
		}, hash: "b539948d85a933ee17545f64",
	},
	{
		name: "second tier, zones, slow start without a limit", endpoints: 24, withStartTimes: true,
		change: func(s *balancer.Settings) { s.Tier, s.ZoneCount, s.Replicas, s.ReplicaIndex = 1, 3, 7, 3 },
		hash:   "d79a856a023425a0c0b0236a",
	},
	{
		name: "second tier, slow start with a limit", endpoints: 24, withStartTimes: true, withWorkHints: true,
		outages: true,
		change: func(s *balancer.Settings) {
			s.Tier, s.ZoneCount, s.Replicas, s.ReplicaIndex = 1, 3, 20, 11
			s.OverloadMultiple, s.OverloadWindow = 2, time.Second
		}, hash: "f1e76de5bd2ff3820dedaf96",
	},
	{
		name: "first tier, slow start with a high limit, few endpoints", endpoints: 4, withStartTimes: true,
		outages: true,
		change: func(s *balancer.Settings) {
			s.OverloadMultiple, s.OverloadWindow = 4, 500*time.Millisecond
		},
		hash: "92412dbbbdd018a8865a3e9c",
	},
	{
		name: "polled discovery, no cancellation, one attempt", endpoints: 12, outages: true,
		change: func(s *balancer.Settings) {
			s.PollDiscovery, s.AllowCancel, s.MaxAttempts = true, false, 1
		},
		hash: "473e625af96c6b422214e1c4",
	},
	{
		name: "settings change", endpoints: 16, withStartTimes: true, outages: true, reconfigs: true,
		change: func(s *balancer.Settings) { s.ZoneCount, s.Replicas = 3, 5 }, hash: "bfb4401c88128085c4b64777",
	},
	{
		name: "long list", endpoints: 400, withCapacities: true, withStartTimes: true, reconfigs: true,
		change: func(s *balancer.Settings) {
			s.Tier, s.ZoneCount, s.Replicas, s.ReplicaIndex = 1, 3, 90, 40
			s.OverloadMultiple, s.OverloadWindow = 3, time.Second
		}, hash: "6aaea70937a49261b98da278",
	},
}

// traceSteps is the number of ticks that a scenario lasts.
const traceSteps = 6000

// traceSettings returns the settings of the scenarios before their changes.
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
