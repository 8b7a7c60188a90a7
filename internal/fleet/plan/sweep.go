package plan

import (
	"fmt"
)

// SweepPlan returns the arguments of each run of a sweep: args with the argument over set to each of the values.
func SweepPlan(args Args, over string, values []int) ([]Args, error) {
	set, ok := map[string]func(a *Args, value int){
		"nodes":   func(a *Args, value int) { a.Nodes = value },
		"servers": func(a *Args, value int) { a.Servers = value },
		"changes": func(a *Args, value int) { a.Changes = float64(value) },
	}[over]
	if !ok {
		return nil, fmt.Errorf("--over must be nodes, servers or changes, not %q", over)
	}
	var runs []Args
	differ := false
	for _, value := range values {
		run := args
		set(&run, value)
		if err := run.Check(); err != nil {
			return nil, fmt.Errorf("with --%s %d: %w", over, value, err)
		}
		runs = append(runs, run)
		differ = differ || value != values[0]
	}
	if !differ {
		return nil, fmt.Errorf("--values must contain two different values, not %v", values)
	}
	return runs, nil
}
