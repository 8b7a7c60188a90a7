package plan

import (
	"errors"
	"math"
	"testing"
	"time"
)

// validArgs returns arguments that pass Check.
func validArgs() Args {
	return Args{
		Nodes: 10, Real: 4, Servers: 10, Services: 2, Changes: 60, Configs: 6, Mode: "pushed", Storm: StormNone,
		Depth: 2, Rate: 100, Service: time.Millisecond, Seed: 1, For: 10 * time.Second,
	}
}

// Each argument is checked against its own range, and the error names it.
func TestCheckNamesTheArgumentOutOfRange(t *testing.T) {
	if err := validArgs().Check(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		argument string
		set      func(*Args)
	}{
		{"nodes", func(a *Args) { a.Nodes = maxHollowNodes + 1 }},
		{"real", func(a *Args) { a.Real = -1 }},
		{"servers", func(a *Args) { a.Servers = 1 }},
		{"services", func(a *Args) { a.Services = 0 }},
		{"changes", func(a *Args) { a.Changes = maxChangesPerMinute + 1 }},
		{"configs", func(a *Args) { a.Configs = math.Inf(1) }},
		{"depth", func(a *Args) { a.Depth = 0 }},
		{"rate", func(a *Args) { a.Rate = math.NaN() }},
		{"for", func(a *Args) { a.For = maxRunLength + 1 }},
		{"service", func(a *Args) { a.Service = -1 }},
	} {
		t.Run(test.argument, func(t *testing.T) {
			args := validArgs()
			test.set(&args)
			var outOfRange *OutOfRangeError
			if err := args.Check(); !errors.As(err, &outOfRange) || outOfRange.Argument != test.argument {
				t.Errorf("Check() = %v, want an OutOfRangeError for --%s", err, test.argument)
			}
		})
	}
}

// Arguments that are each within their range may not fit together.
func TestCheckReportsConflicts(t *testing.T) {
	for _, test := range []struct {
		name string
		set  func(*Args)
	}{
		{"no nodes", func(a *Args) { a.Nodes, a.Real, a.Configs, a.Depth = 0, 0, 0, 1 }},
		{"more services than nodes", func(a *Args) { a.Services = a.Nodes + 1 }},
		{"an incomplete chain", func(a *Args) { a.Real = 5 }},
		{"a chain without real nodes", func(a *Args) { a.Real, a.Configs = 0, 0 }},
		{"configuration changes without real nodes", func(a *Args) { a.Real, a.Depth = 0, 1 }},
		{"too many calls", func(a *Args) { a.Nodes, a.Rate = 1000, 1000 }},
		{"too many entries", func(a *Args) { a.Nodes, a.Services, a.Servers = 1000, 1000, 201 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			args := validArgs()
			test.set(&args)
			var conflict *ConflictError
			if err := args.Check(); !errors.As(err, &conflict) {
				t.Errorf("Check() = %v, want a ConflictError", err)
			}
		})
	}
}

// A sweep has one run for each value, and rejects invalid values.
func TestSweepPlan(t *testing.T) {
	for _, test := range []struct {
		name   string
		over   string
		values []int
		fails  bool
	}{
		{"nodes", "nodes", []int{10, 20}, false},
		{"servers", "servers", []int{10, 100, 300}, false},
		{"changes", "changes", []int{0, 60}, false},
		{"an argument that can't be varied", "seeds", []int{1, 2}, true},
		{"a value out of range", "servers", []int{10, 1}, true},
		{"one value", "servers", []int{10}, true},
		{"the same value twice", "servers", []int{10, 10}, true},
		{"no value", "servers", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runs, err := SweepPlan(validArgs(), test.over, test.values)
			if (err != nil) != test.fails || err == nil && len(runs) != len(test.values) {
				t.Errorf("error %v, runs %+v; want an error for bad values, otherwise a run for each value", err, runs)
			}
		})
	}
}
