package plan

import (
	"fmt"
)

// SweepPlan returns the runs of a sweep: the arguments with one of them varied.
func SweepPlan(args Args, over string, values []int) ([]Args, error) {
	set, ok := map[string]func(a *Args, v int){
		"nodes":   func(a *Args, v int) { a.Nodes = v },
		"servers": func(a *Args, v int) { a.Servers = v },
		"changes": func(a *Args, v int) { a.Changes = float64(v) },
	}[over]
	if !ok {
		return nil, fmt.Errorf("--over %q is none of nodes, servers, changes", over)
	}
	var plan []Args
	differ := false
	for _, v := range values {
		one := args
		set(&one, v)
		if err := one.Check(); err != nil {
			return nil, fmt.Errorf("at %s %d: %w", over, v, err)
		}
		plan = append(plan, one)
		differ = differ || v != values[0]
	}
	if !differ {
		return nil, fmt.Errorf("--values must hold two different ones, not %v", values)
	}
	return plan, nil
}
