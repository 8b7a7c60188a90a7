package fleet

import (
	"context"
	"time"

	"basaltdrum/internal/monotime"
)

// playEvents makes the day's events at their times, those that are due at once together, and notes how many
// changes they were and how late they came.
func (d *growthDay) playEvents(ctx context.Context, f *GrowthFigures) error {
	begun := time.Now()
	var latest time.Duration
	for events := Day(d.size.Servers, d.args.For, d.args.Seed); len(events) > 0; {
		monotime.Sleep(ctx, time.Until(begun.Add(events[0].At)))
		if ctx.Err() != nil {
			return nil
		}
		now := time.Since(begun)
		latest = max(latest, now-events[0].At)
		due := DueEvents(events, now)
		changes, err := d.playTogether(ctx, events[:due])
		if err != nil {
			return err
		}
		f.Changes += changes
		events = events[due:]
	}
	f.LateMS = Milliseconds(latest)
	return nil
}

// playTogether makes events: the changes of the list, one after another, then what else there is. It returns how
// many changes there were.
func (d *growthDay) playTogether(ctx context.Context, events []Event) (int, error) {
	var changes []ChangeSpec
	var ended []int
	broken := false
	for _, e := range events {
		switch e.Kind {
		case CloseServer:
			ended = append(ended, e.Server)
		case BreakWatches:
			broken = true
		default:
			changes = append(changes, ChangeSpec{0, []ListEntry{d.changed(e)}})
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
func (d *growthDay) changed(e Event) ListEntry {
	entry := d.target(e.Server)
	switch e.Kind {
	case ListServer:
		entry.BootMS = time.Now().UnixMilli()
	case DrainServer:
		entry.State = Terminating
	case RemoveServer:
		entry.State = Terminated
	}
	return entry
}
