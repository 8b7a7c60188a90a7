// Package settings parses the settings object, which the simulator sends to each instance and which a node
// has in its configuration file, into the settings of the balancer module.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"basaltdrum/balancer"
)

// Parse parses the settings object, in JSON. Times in it are in milliseconds. Unknown keys are ignored; an
// unknown effect counts as not idempotent, and an unknown key scope as the narrowest. A count that is negative,
// too large or not an integer becomes -1, which balancer.New rejects together with all other values that are out
// of range. The error wraps that of encoding/json.
func Parse(text []byte) (balancer.Settings, error) {
	var d document
	if err := json.Unmarshal(text, &d); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return d.settings(), nil
}

// Milliseconds converts a time in milliseconds, the unit of the settings and the simulator, and rounds it to
// nanoseconds.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// document mirrors the keys of the settings object that the module uses.
type document struct {
	Replicas     float64  `json:"balancers"`
	ReplicaIndex float64  `json:"me"`
	Zone         string   `json:"zone"`
	Zones        []string `json:"localities"`
	Weights      struct {
		Total      float64 `json:"whole"`
		WorstClass float64 `json:"worst-class"`
	} `json:"blend"`
	Classes []classDocument `json:"lanes"`
	Limits  struct {
		AllowCancel     bool    `json:"cancelling"`
		MaxAttempts     float64 `json:"max-attempts"`
		MaxRetryAfter   float64 `json:"max-retry-after-ms"`
		AllowRetryAfter bool    `json:"retry-after"`
	} `json:"limits"`
	RegistryMode string `json:"registry-mode"`
	Rules        struct {
		PollWithin        float64 `json:"ask-within-ms"`
		SlowStartFloor    float64 `json:"cold-from"`
		SlowStartDuration float64 `json:"warm-after-ms"`
		OverloadMultiple  float64 `json:"fall-multiple"`
		OverloadWindow    float64 `json:"fall-ms"`
	} `json:"rules"`
	Tick float64 `json:"tick-ms"`
	Tier float64 `json:"tier"`
}

// classDocument mirrors the keys of one class of requests.
type classDocument struct {
	Name             string  `json:"name"`
	Effect           string  `json:"effect"`
	KeyScope         string  `json:"key-scope"`
	DedupWindow      float64 `json:"window-ms"`
	LatencyObjective float64 `json:"target-ms"`
	Deadline         float64 `json:"deadline-ms"`
	LateValue        float64 `json:"late-share"`
	PriorityWeight   float64 `json:"worth"`
}

// registryModePoll is the registry mode in which nodes have to poll for the endpoint list.
const registryModePoll = "on_request"

func (d *document) settings() balancer.Settings {
	s := balancer.Settings{
		Replicas:          count(d.Replicas),
		ReplicaIndex:      count(d.ReplicaIndex),
		Tier:              count(d.Tier),
		Zone:              d.Zone,
		ZoneCount:         len(d.Zones),
		TotalWeight:       d.Weights.Total,
		WorstClassWeight:  d.Weights.WorstClass,
		MaxAttempts:       count(d.Limits.MaxAttempts),
		AllowCancel:       d.Limits.AllowCancel,
		PollDiscovery:     d.RegistryMode == registryModePoll,
		PollWithin:        Milliseconds(d.Rules.PollWithin),
		Tick:              Milliseconds(d.Tick),
		SlowStartFloor:    d.Rules.SlowStartFloor,
		SlowStartDuration: Milliseconds(d.Rules.SlowStartDuration),
		OverloadMultiple:  d.Rules.OverloadMultiple,
		OverloadWindow:    Milliseconds(d.Rules.OverloadWindow),
	}
	if d.Limits.AllowRetryAfter {
		s.MaxRetryAfter = Milliseconds(d.Limits.MaxRetryAfter)
	}
	for _, c := range d.Classes {
		s.Classes = append(s.Classes, c.class())
	}
	return s
}

// effects holds the effects that allow a retry. Any other name maps to the zero Effect, which allows none.
var effects = map[string]balancer.Effect{
	"read_like":       balancer.Idempotent,
	"idempotency_key": balancer.IdempotentByKey,
}

// scopes holds the scopes of idempotency keys. Any other name maps to the zero Scope, which is the narrowest.
var scopes = map[string]balancer.Scope{
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

func (c classDocument) class() balancer.Class {
	return balancer.Class{
		Name:             c.Name,
		Effect:           effects[c.Effect],
		Scope:            scopes[c.KeyScope],
		DedupWindow:      Milliseconds(c.DedupWindow),
		LatencyObjective: Milliseconds(c.LatencyObjective),
		Deadline:         Milliseconds(c.Deadline),
		LateValue:        c.LateValue,
		PriorityWeight:   c.PriorityWeight,
	}
}

// invalidCount replaces a number that is not a valid count. balancer.New rejects it: no count in the module's
// settings may be negative.
const invalidCount = -1

// count converts a JSON number to a count. It may have decimals, as in 2.0, if they are zero.
func count(v float64) int {
	if v != math.Trunc(v) || !(v >= 0 && v <= math.MaxInt32) { // rejects NaN, too
		return invalidCount
	}
	return int(v)
}
