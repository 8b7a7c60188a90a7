package settings

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"

	"basaltdrum/balancer"
)

func TestUnknownEffectIsNotIdempotent(t *testing.T) {
	s, err := Parse([]byte(`{"lanes":[{"name":"a","effect":"odd"},{"name":"b","effect":"read_like"}],"new":1,
		"zone":"east","localities":["north","east"]}`))
	if err != nil || s.Zone != "east" || s.ZoneCount != 2 {
		t.Fatalf("got %+v, %v; want the zone east of two zones", s, err)
	}
	if s.Classes[0].Effect != balancer.NonIdempotent || s.Classes[1].Effect != balancer.Idempotent {
		t.Errorf("got the classes %+v, want a non-idempotent and an idempotent one", s.Classes)
	}
}

func TestEachKeyIsRead(t *testing.T) {
	got, err := Parse([]byte(`{"balancers":12,"me":3.0,"zone":"north","localities":["north","east"],"tier":1,
		"blend":{"whole":0.7,"worst-class":0.3},"registry-mode":"on_request","tick-ms":2.5,
		"limits":{"cancelling":true,"max-attempts":4,"max-retry-after-ms":1500.5,"retry-after":true},
		"rules":{"ask-within-ms":800,"cold-from":0.25,"warm-after-ms":9000,"fall-multiple":1.5,"fall-ms":400},
		"lanes":[{"name":"pay","effect":"idempotency_key","key-scope":"zone","window-ms":700,"target-ms":200.25,
			"deadline-ms":1200,"late-share":0.5,"worth":2}]}`))
	want := balancer.Settings{
		Replicas: 12, ReplicaIndex: 3, Tier: 1, Zone: "north", ZoneCount: 2, TotalWeight: 0.7, WorstClassWeight: 0.3,
		MaxAttempts: 4, AllowCancel: true, PollDiscovery: true, PollWithin: 800 * time.Millisecond,
		Tick: 2500 * time.Microsecond, MaxRetryAfter: 1500500 * time.Microsecond,
		SlowStartFloor: 0.25, SlowStartDuration: 9 * time.Second,
		OverloadMultiple: 1.5, OverloadWindow: 400 * time.Millisecond,
		Classes: []balancer.Class{{
			Name: "pay", Effect: balancer.IdempotentByKey, Scope: balancer.ScopeZone,
			DedupWindow: 700 * time.Millisecond, LatencyObjective: 200250 * time.Microsecond,
			Deadline: 1200 * time.Millisecond, LateValue: 0.5, PriorityWeight: 2,
		}},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got  %+v, %v\nwant %+v", got, err, want)
	}
}

// None of these numbers is a count. Parse accepts them and Validate returns an error.
func TestCountOutOfRangeIsRejectedByTheModule(t *testing.T) {
	for _, text := range []string{"-1", "1.5", "3e9"} {
		s, err := Parse([]byte(`{"me":` + text + `,"lanes":[{"name":"a","target-ms":1,"deadline-ms":1}]}`))
		if err != nil || s.ReplicaIndex != invalidCount || s.Validate() == nil {
			t.Errorf("%s: got %d, error %v, validation error %v; want -1 and only a validation error",
				text, s.ReplicaIndex, err, s.Validate())
		}
	}
}

func TestMaxRetryAfterIsZeroWhereRetryAfterIsNotAllowed(t *testing.T) {
	s, err := Parse([]byte(`{"limits":{"max-retry-after-ms":9}}`))
	if err != nil || s.MaxRetryAfter != 0 {
		t.Errorf("got %v, %v; want 0 and no error", s.MaxRetryAfter, err)
	}
}

func TestParseWrapsJSONErrors(t *testing.T) {
	var syntax *json.SyntaxError
	if _, err := Parse([]byte("{bad")); !errors.As(err, &syntax) {
		t.Errorf("bad syntax: got %v, want a *json.SyntaxError", err)
	}
	var wrongType *json.UnmarshalTypeError
	_, err := Parse([]byte(`{"limits":{"max-attempts":"4"}}`))
	if !errors.As(err, &wrongType) || wrongType.Field != "limits.max-attempts" {
		t.Errorf("wrong type: got %v, want a *json.UnmarshalTypeError for limits.max-attempts", err)
	}
}
