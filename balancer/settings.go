package balancer

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect says what happens when a request runs more than once.
type Effect int

// Effects. The zero value is the one that permits least.
const (
	NonIdempotent   Effect = iota // must never run twice
	IdempotentByKey               // the endpoints of one scope discard repeats of a key for a while
	Idempotent                    // may run any number of times
)

// Scope names the endpoints that discard the repeats of a request with an idempotency key.
type Scope int

// Scopes, from the narrowest.
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
	DedupWindow      time.Duration // for IdempotentByKey: how long repeats are discarded, from the first send
	LatencyObjective time.Duration // an answer within it earns all of PriorityWeight
	Deadline         time.Duration // how long a client waits over all its attempts
	LateValue        float64       // share of PriorityWeight that an answer after LatencyObjective earns
	PriorityWeight   float64
}

// Settings hold until the Balancer is given others by Reconfigure.
type Settings struct {
	Classes          []Class
	Replicas         int     // balancers that place requests on this tier
	ReplicaIndex     int     // this balancer's number among them, from 0
	Tier             int     // the tier sent to; 0 is the one that clients call
	Zone             string  // this balancer's zone
	ZoneCount        int     // how many zones there are
	TotalWeight      float64 // how much the sum over all classes counts when load is shed
	WorstClassWeight float64 // how much the class served worst counts when load is shed

	MaxAttempts   int           // of one request
	AllowCancel   bool          // attempts may be called off
	PollDiscovery bool          // endpoint updates come only after a Subscribe
	PollWithin    time.Duration // with PollDiscovery: the longest time without a Subscribe that is allowed
	Tick          time.Duration // resolution of the host's timers
	MaxRetryAfter time.Duration // longest Retry-After that clients heed; 0: they take none

	SlowStartFloor    float64       // share of its capacity that an endpoint has at its start, at least
	SlowStartDuration time.Duration // time after its start when it has all of it

	// An endpoint in slow start fails for good when all replicas together send it more than OverloadMultiple
	// times its present capacity for as long as OverloadWindow. 0: there is no such limit.
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// SettingError says which setting can't be used, by its name in Settings.
type SettingError struct {
	Field string // such as Classes[1].Deadline
	Class string // the class that it belongs to, if any
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

// Validate returns a *SettingError for the first setting that can't be used, or nil.
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
		if !(setting.value >= 0 && setting.value <= setting.most) { // NaN fails too
			return &SettingError{Field: setting.name, Err: fmt.Errorf("%w: %v", ErrOutOfRange, setting.value)}
		}
	}
	return nil
}

// validate returns the name of the first field that can't be used, and the reason.
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

// settingRange is the value of a setting, which must lie between 0 and most.
type settingRange struct {
	name        string
	value, most float64
}

// maxZones bounds ZoneCount, by which places among the replicas are multiplied.
const maxZones = 1000

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
