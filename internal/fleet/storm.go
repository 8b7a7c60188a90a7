package fleet

import (
	"context"
	"time"

	"basaltdrum/internal/fleet/nodes"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/report"
	"basaltdrum/internal/fleet/standin"
	"basaltdrum/internal/fleet/stats"
	"basaltdrum/internal/monotime"
)

// stormTimes holds the times at which an outage started and ended.
type stormTimes struct{ lostAt, restoredAt time.Time }

// runStorm simulates an outage of a zone or of the registry during a part of the run. During an outage of the registry
// each list changes at least once, so that there is an update to send after it.
func (r *run) runStorm(ctx context.Context) (*stormTimes, error) {
	start := time.Now()
	timeAt := func(fraction float64) time.Time {
		return start.Add(time.Duration(fraction * float64(r.args.For)))
	}
	monotime.Sleep(ctx, time.Until(timeAt(plan.StormStart)))
	s := &stormTimes{}
	if err := r.setPhase(ctx, nodes.InStorm); err != nil {
		return nil, err
	}
	if err := r.startOutage(ctx, s); err != nil {
		return nil, err
	}
	r.Log.Info("lost", "what", r.args.Storm)
	monotime.Sleep(ctx, time.Until(timeAt(plan.StormEnd)))
	if err := r.endOutage(ctx, s); err != nil {
		return nil, err
	}
	r.Log.Info("back", "what", r.args.Storm)
	return s, r.setPhase(ctx, nodes.AfterStorm)
}

// setPhase sets the phase in which the hollow nodes' calls are counted from now on.
func (r *run) setPhase(ctx context.Context, phase int) error {
	if r.hollows == nil {
		return nil
	}
	return r.hollows.Call(ctx, "Phase", phase, &struct{}{})
}

// startOutage starts the outage and records the time.
func (r *run) startOutage(ctx context.Context, s *stormTimes) error {
	if r.args.Storm == plan.StormZone {
		s.lostAt = time.Now()
		return r.changeZone(ctx, false, plan.GroupZoneLost)
	}
	r.mu.Lock()
	r.registryUnresponsive = true
	r.mu.Unlock()
	var at int64
	err := r.registry.Call(ctx, "Silence", true, &at)
	s.lostAt = time.Unix(0, at)
	return err
}

// endOutage ends the outage and records the time.
func (r *run) endOutage(ctx context.Context, s *stormTimes) error {
	if r.args.Storm == plan.StormZone {
		s.restoredAt = time.Now()
		return r.changeZone(ctx, true, plan.GroupZoneBack)
	}
	// This makes the newest version of each list. All other changes made during the outage are sent along with it.
	var newest []nodes.ListChange
	for _, list := range r.lists {
		var result standin.ChangeResult
		spec := standin.ChangeSpec{Service: list.Service, Entries: list.RestartLast()}
		if err := r.registry.Call(ctx, "Change", spec, &result); err != nil {
			return err
		}
		if list.Service < r.args.Services && r.args.Nodes > 0 {
			newest = append(newest, nodes.ListChange{
				Group: plan.GroupAfterOutage, Service: list.Service, Rev: result.Rev,
			})
		}
	}
	var at int64
	if err := r.registry.Call(ctx, "Silence", false, &at); err != nil {
		return err
	}
	s.restoredAt = time.Unix(0, at)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registryUnresponsive = false
	for _, change := range newest {
		change.AtNS = at
		r.changes = append(r.changes, change)
	}
	return nil
}

// changeZone removes the servers of the first zone from all lists, or lists them again if restored is set.
func (r *run) changeZone(ctx context.Context, restored bool, group string) error {
	for _, list := range r.lists {
		if entries := list.ChangeZone(restored); len(entries) > 0 {
			if err := r.changeList(ctx, list, entries, group); err != nil {
				return err
			}
		}
	}
	return nil
}

// figures compares the registry's load after the outage with the mean before it.
func (s *stormTimes) figures(
	kind string, traffic stats.Snapshot, runStart, runEnd time.Time, hollow *report.HollowFigures,
) *report.StormFigures {
	f := &report.StormFigures{Kind: kind, LostSec: s.restoredAt.Sub(s.lostAt).Seconds()}
	watchEnd := s.restoredAt.Add(plan.StormWatchTime)
	if watchEnd.After(runEnd) {
		watchEnd = runEnd
	}
	before, _, beforeSec := traffic.Between(runStart, s.lostAt)
	during, _, duringSec := traffic.Between(s.lostAt, s.restoredAt)
	// The bucket in which the outage ends counts as after it.
	after, peak, afterSec := traffic.Between(s.restoredAt.Add(-stats.BucketWidth), watchEnd)
	f.Before, f.During = float64(before.Calls)/beforeSec, float64(during.Calls)/duringSec
	f.After, f.WatchedAfterSec, f.BytesOutAfter =
		float64(after.Calls)/afterSec, afterSec, float64(after.SentBytes)/afterSec
	f.PeakAfter = float64(peak) / stats.BucketWidth.Seconds()
	if f.Before > 0 {
		f.PeakToMean = f.PeakAfter / f.Before
	}
	if hollow != nil {
		for _, group := range []string{plan.GroupAfterOutage, plan.GroupZoneBack} {
			if inForce, ok := hollow.InForce[group]; ok {
				f.NewestAllMS, f.Missed = inForce.All.Worst, inForce.Missed
			}
		}
	}
	return f
}
