package fleet

import (
	"context"
	"time"

	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/report"
	"basaltdrum/internal/fleet/standin"
	"basaltdrum/internal/fleet/stats"
	"basaltdrum/internal/monotime"
)

// runEvents applies the day's events at their times, and all that are due at the same time together. It records the
// number of list changes and the largest delay of an event.
func (d *growthDay) runEvents(ctx context.Context, f *report.GrowthFigures) error {
	startTime := time.Now()
	var maxDelay time.Duration
	for events := plan.DayEvents(d.size.Servers, d.args.For, d.args.Seed); len(events) > 0; {
		monotime.Sleep(ctx, time.Until(startTime.Add(events[0].At)))
		if ctx.Err() != nil {
			return nil //nolint:nilerr // activities.wait returns the cause of the context's end
		}
		elapsed := time.Since(startTime)
		maxDelay = max(maxDelay, elapsed-events[0].At)
		due := plan.DueEvents(events, elapsed)
		changes, err := d.applyEvents(ctx, events[:due])
		if err != nil {
			return err
		}
		f.Changes += changes
		events = events[due:]
	}
	f.LateMS = stats.Milliseconds(maxDelay)
	return nil
}

// applyEvents applies events: first the changes of the list, one after another, then the others. It returns the number
// of list changes.
func (d *growthDay) applyEvents(ctx context.Context, events []plan.Event) (int, error) {
	var changes []standin.ChangeSpec
	var closed []int
	breakWatches := false
	for _, e := range events {
		switch e.Kind {
		case plan.CloseServer:
			closed = append(closed, e.Server)
		case plan.BreakWatches:
			breakWatches = true
		default:
			changes = append(changes, standin.ChangeSpec{Entries: []standin.ListEntry{d.entryAfter(e)}})
		}
	}
	if len(changes) > 0 {
		if err := d.registry.Call(ctx, "ChangeInTurn", changes, &struct{}{}); err != nil {
			return 0, err
		}
	}
	if breakWatches {
		if err := d.registry.Call(ctx, "BreakWatches", struct{}{}, &struct{}{}); err != nil {
			return 0, err
		}
	}
	if len(closed) > 0 {
		if err := d.servers.Call(ctx, "Close", closed, &struct{}{}); err != nil {
			return 0, err
		}
	}
	return len(changes), nil
}

// entryAfter returns the entry of a server after an event that changes the list.
func (d *growthDay) entryAfter(e plan.Event) standin.ListEntry {
	entry := d.serverEntry(e.Server)
	switch e.Kind {
	case plan.ListServer:
		entry.BootMS = time.Now().UnixMilli()
	case plan.DrainServer:
		entry.State = standin.Terminating
	case plan.RemoveServer:
		entry.State = standin.Terminated
	default: // other events don't change the list
	}
	return entry
}
