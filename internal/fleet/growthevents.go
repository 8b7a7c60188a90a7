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
	for plan := planDay(d.size.servers, d.args.For, d.args.Seed); len(plan) > 0; {
		monotime.Sleep(ctx, time.Until(begun.Add(plan[0].at)))
		if ctx.Err() != nil {
			return nil
		}
		now := time.Since(begun)
		latest = max(latest, now-plan[0].at)
		due := dueEvents(plan, now)
		changes, err := d.playTogether(ctx, plan[:due])
		if err != nil {
			return err
		}
		f.Changes += changes
		plan = plan[due:]
	}
	f.LateMS = ms(latest)
	return nil
}

// playTogether makes events: the changes of the list, one after another, then what else there is. It returns how
// many changes there were.
func (d *growthDay) playTogether(ctx context.Context, events []dayEvent) (int, error) {
	var changes []ChangeSpec
	var ended []int
	broken := false
	for _, e := range events {
		switch e.kind {
		case closeServer:
			ended = append(ended, e.server)
		case breakWatches:
			broken = true
		default:
			changes = append(changes, ChangeSpec{0, []ListEntry{d.changed(e)}})
		}
	}
	if len(changes) > 0 {
		if err := d.registry.call(ctx, "ChangeInTurn", changes, &struct{}{}); err != nil {
			return 0, err
		}
	}
	if broken {
		if err := d.registry.call(ctx, "BreakWatches", struct{}{}, &struct{}{}); err != nil {
			return 0, err
		}
	}
	if len(ended) > 0 {
		if err := d.servers.call(ctx, "Close", ended, &struct{}{}); err != nil {
			return 0, err
		}
	}
	return len(changes), nil
}

// changed is the entry of a server after an event that changes the list.
func (d *growthDay) changed(e dayEvent) ListEntry {
	entry := d.target(e.server)
	switch e.kind {
	case listServer:
		entry.BootMS = time.Now().UnixMilli()
	case drainServer:
		entry.State = terminating
	case removeServer:
		entry.State = terminated
	}
	return entry
}
