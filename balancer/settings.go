package balancer

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect describes what happens when a request runs more than once.
type Effect int

// Effects. The zero value allows the least.
const (
	NonIdempotent   Effect = iota // must never run twice
	IdempotentByKey               // the endpoints of a Scope discard duplicates of a key within DedupWindow
	Idempotent                    // may run any number of times
)

// Scope is the set of endpoints that discard duplicates of a request with an idempotency key.
type Scope int

// Scopes, from the narrowest to the widest.
const (
	ScopeCell Scope = iota
	ScopeZone
	ScopeAll
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Effect           Effect
	Scope            Scope         // for IdempotentByKey
	DedupWindow      time.Duration // for IdempotentByKey: window for duplicates, from the first attempt
	LatencyObjective time.Duration // a response within it earns the full PriorityWeight
	Deadline         time.Duration // how long a client waits in total, over all its attempts
	LateValue        float64       // share of PriorityWeight earned by a response after LatencyObjective
	PriorityWeight   float64
}

// Settings configure a Balancer; Reconfigure replaces them.
type Settings struct {
	Classes          []Class
	Replicas         int     // balancer replicas that send requests to this tier
	ReplicaIndex     int     // this replica's index, from 0
	Tier             int     // tier that requests are sent to; 0 is the one that clients call
	Zone             string  // this replica's zone
	ZoneCount        int     // number of zones
	TotalWeight      float64 // weight, in load shedding, of the served share of all priority weight
	WorstClassWeight float64 // weight, in load shedding, of the on-time share of the worst-served class

	MaxAttempts   int           // per request
	AllowCancel   bool          // whether the host can cancel attempts
	PollDiscovery bool          // whether endpoint updates come only after a Subscribe
	PollWithin    time.Duration // with PollDiscovery: longest time allowed without a Subscribe
	Tick          time.Duration // resolution of the host's timers
	MaxRetryAfter time.Duration // longest Retry-After that clients honor; 0: they ignore it

	SlowStartFloor    float64       // minimum share of its capacity that an endpoint has when it starts
	SlowStartDuration time.Duration // time from an endpoint's start to its full capacity

	// An endpoint in slow start fails permanently when all replicas together send it more than
	// OverloadMultiple times its current capacity for the length of OverloadWindow. 0: there is no such
	// limit.
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// SettingError reports a setting that is invalid.
type SettingError struct {
	Field string // its name in Settings, such as Classes[1].Deadline
	Class string // name of the class that the setting belongs to, if any
	Err   error
}

// Reasons of a SettingError.
var (
	ErrOutOfRange = errors.New("is out of range")
	ErrMissing    = errors.New("is missing")
	ErrDuplicate  = errors.New("is used twice")
)

func (e *SettingError) Error() string {
	if e.Class != "" {
		return fmt.Sprintf("balancer: %s (class %q) %v", e.Field, e.Class, e.Err)
	}
	return fmt.Sprintf("balancer: %s %v", e.Field, e.Err)
}

// Unwrap returns the reason.
func (e *SettingError) Unwrap() error { return e.Err }

// Validate returns a *SettingError for the first invalid setting, or nil.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 {
		return &SettingError{Field: "Classes", Err: ErrMissing}
	}
	seen := map[string]bool{}
	for i, class := range s.Classes {
		if field, reason := class.validate(); reason != nil {
			field = fmt.Sprintf("Classes[%d].%s", i, field)
			return &SettingError{Field: field, Class: class.Name, Err: reason}
		}
		if seen[class.Name] {
			field := fmt.Sprintf("Classes[%d].Name", i)
			return &SettingError{Field: field, Class: class.Name, Err: ErrDuplicate}
		}
		seen[class.Name] = true
	}
	for _, setting := range s.ranges() {
		if !(setting.value >= 0 && setting.value <= setting.upperBound) { // also rejects NaN
			return &SettingError{Field: setting.name, Err: fmt.Errorf("%w: %v", ErrOutOfRange, setting.value)}
		}
	}
	return nil
}

// validate returns the name of the first invalid field and the reason, or a nil reason.
func (c Class) validate() (field string, reason error) {
	switch {
	case c.Name == "":
		return "Name", ErrMissing
	case c.LatencyObjective <= 0:
		return "LatencyObjective", ErrOutOfRange
	case c.Deadline <= 0:
		return "Deadline", ErrOutOfRange
	case c.DedupWindow < 0:
		return "DedupWindow", ErrOutOfRange
	case !(c.PriorityWeight >= 0 && c.PriorityWeight <= math.MaxFloat64):
		return "PriorityWeight", ErrOutOfRange
	case !(c.LateValue >= 0 && c.LateValue <= 1):
		return "LateValue", ErrOutOfRange
	}
	return "", nil
}

// settingRange holds the value of a setting, which must lie between 0 and upperBound.
type settingRange struct {
	name              string
	value, upperBound float64
}

// maxZones bounds ZoneCount, which multiplies replica indexes when subsets are positioned.
const maxZones = 1000

// ranges returns the numeric settings other than those of classes, with the upper bounds of their ranges.
func (s Settings) ranges() []settingRange {
	return []settingRange{
		{"Tier", float64(s.Tier), math.MaxInt32},
		{"ReplicaIndex", float64(s.ReplicaIndex), math.MaxInt32},
		{"ZoneCount", float64(s.ZoneCount), maxZones},
		{"Replicas", float64(s.Replicas), math.MaxInt32},
		{"MaxAttempts", float64(s.MaxAttempts), math.MaxInt32},
		{"TotalWeight", s.TotalWeight, math.MaxFloat64},
		{"WorstClassWeight", s.WorstClassWeight, math.MaxFloat64},
		{"SlowStartFloor", s.SlowStartFloor, 1},
		{"OverloadMultiple", s.OverloadMultiple, math.MaxFloat64},
		{"OverloadWindow", float64(s.OverloadWindow), math.MaxInt64},
		{"PollWithin", float64(s.PollWithin), math.MaxInt64},
		{"Tick", float64(s.Tick), math.MaxInt64},
		{"MaxRetryAfter", float64(s.MaxRetryAfter), math.MaxInt64},
		{"SlowStartDuration", float64(s.SlowStartDuration), math.MaxInt64},
	}
}
