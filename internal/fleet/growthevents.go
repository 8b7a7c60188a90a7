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

// playEvents makes the day's events at their times, those that are due at once together, and notes how many
// changes they were and how late they came.
func (d *growthDay) playEvents(ctx context.Context, f *report.GrowthFigures) error {
	begun := time.Now()
	var latest time.Duration
	for events := plan.DayEvents(d.size.Servers, d.args.For, d.args.Seed); len(events) > 0; {
		monotime.Sleep(ctx, time.Until(begun.Add(events[0].At)))
		if ctx.Err() != nil {
			return nil //nolint:nilerr // who waits for the activities reports why their context has ended
		}
		now := time.Since(begun)
		latest = max(latest, now-events[0].At)
		due := plan.DueEvents(events, now)
		changes, err := d.playTogether(ctx, events[:due])
		if err != nil {
			return err
		}
		f.Changes += changes
		events = events[due:]
	}
	f.LateMS = stats.Milliseconds(latest)
	return nil
}

// playTogether makes events: the changes of the list, one after another, then what else there is. It returns how
// many changes there were.
func (d *growthDay) playTogether(ctx context.Context, events []plan.Event) (int, error) {
	var changes []standin.ChangeSpec
	var ended []int
	broken := false
	for _, e := range events {
		switch e.Kind {
		case plan.CloseServer:
			ended = append(ended, e.Server)
		case plan.BreakWatches:
			broken = true
		default:
			changes = append(changes, standin.ChangeSpec{Entries: []standin.ListEntry{d.changed(e)}})
		}
	}
	if len(changes) > 0 {
		if err := d.registry.Call(ctx, "ChangeInTurn", changes, &struct{}{}); err != nil {
			return 0, err
		}
	}
	if broken {
		if err := d.registry.Call(ctx, "BreakWatches", struct{}{}, &struct{}{}); err != nil {
			return 0, err
		}
	}
	if len(ended) > 0 {
		if err := d.servers.Call(ctx, "Close", ended, &struct{}{}); err != nil {
			return 0, err
		}
	}
	return len(changes), nil
}

// changed is the entry of a server after an event that changes the list.
func (d *growthDay) changed(e plan.Event) standin.ListEntry {
	entry := d.target(e.Server)
	switch e.Kind {
	case plan.ListServer:
		entry.BootMS = time.Now().UnixMilli()
	case plan.DrainServer:
		entry.State = standin.Terminating
	case plan.RemoveServer:
		entry.State = standin.Terminated
	default: // the other events change no entry
	}
	return entry
}
