package fleet

import (
	"context"
	"time"

	"basaltdrum/internal/fleet/nodes"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/standin"
	"basaltdrum/internal/monotime"
)

// change makes a new version of a list and notes it.
func (r *run) change(ctx context.Context, l *standin.Rotation, targets []standin.ListEntry, group string) error {
	var changed standin.ChangeResult
	spec := standin.ChangeSpec{Service: l.Service, Entries: targets}
	if err := r.registry.Call(ctx, "Change", spec, &changed); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registryUnresponsive { // it is only sent after the outage
		return nil
	}
	if l.Service < r.args.Services && r.args.Nodes > 0 {
		r.changes = append(r.changes, nodes.ListChange{
			Group: group, Service: l.Service, Rev: changed.Rev, AtNS: changed.AtNS,
		})
	}
	return nil
}

// rotate changes the lists in turn, evenly over the time, until ctx ends or the time is over.
func (r *run) rotate(ctx context.Context, length time.Duration) error {
	every := time.Duration(float64(time.Minute) / (r.args.Changes * float64(len(r.lists))))
	start := time.Now()
	for i := 0; ; i++ {
		at := every/2 + time.Duration(i)*every
		if at >= length {
			return nil
		}
		monotime.Sleep(ctx, time.Until(start.Add(at)))
		if ctx.Err() != nil {
			return nil //nolint:nilerr // who waits for the activities reports why their context has ended
		}
		l := r.lists[i%len(r.lists)]
		if changed := l.Next(); changed != nil {
			if err := r.change(ctx, l, changed, plan.GroupServerState); err != nil {
				return err
			}
		}
	}
}
