package fleet

import (
	"context"
	"time"

	"basaltdrum/internal/fleet/nodes"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/standin"
	"basaltdrum/internal/monotime"
)

// changeList makes a new version of a list, and records the change unless the registry is unresponsive.
func (r *run) changeList(ctx context.Context, list *standin.Rotation, entries []standin.ListEntry, group string) error {
	var result standin.ChangeResult
	spec := standin.ChangeSpec{Service: list.Service, Entries: entries}
	if err := r.registry.Call(ctx, "Change", spec, &result); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registryUnresponsive { // the change is sent only after the outage
		return nil
	}
	if list.Service < r.args.Services && r.args.Nodes > 0 {
		r.changes = append(r.changes, nodes.ListChange{
			Group: group, Service: list.Service, Rev: result.Rev, AtNS: result.AtNS,
		})
	}
	return nil
}

// rotateLists changes the lists in turn at even intervals, until ctx ends or length has passed.
func (r *run) rotateLists(ctx context.Context, length time.Duration) error {
	interval := time.Duration(float64(time.Minute) / (r.args.Changes * float64(len(r.lists))))
	start := time.Now()
	for i := 0; ; i++ {
		at := interval/2 + time.Duration(i)*interval
		if at >= length {
			return nil
		}
		monotime.Sleep(ctx, time.Until(start.Add(at)))
		if ctx.Err() != nil {
			return nil //nolint:nilerr // activities.wait returns the cause of the context's end
		}
		list := r.lists[i%len(r.lists)]
		if changed := list.Next(); changed != nil {
			if err := r.changeList(ctx, list, changed, plan.GroupServerState); err != nil {
				return err
			}
		}
	}
}
