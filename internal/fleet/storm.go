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

// stormTimes are when an outage began and ended.
type stormTimes struct{ lost, back time.Time }

// storm makes an outage of a zone or of the registry for a part of the run. During an outage of the registry each
// list changes at least once, so that there is an update to send when it is back.
func (r *run) storm(ctx context.Context) (*stormTimes, error) {
	start := time.Now()
	share := func(s float64) time.Time { return start.Add(time.Duration(s * float64(r.args.For))) }
	monotime.Sleep(ctx, time.Until(share(plan.StormStart)))
	s := &stormTimes{}
	if err := r.phase(ctx, nodes.InStorm); err != nil {
		return nil, err
	}
	if err := r.lose(ctx, s); err != nil {
		return nil, err
	}
	r.Log.Info("lost", "what", r.args.Storm)
	monotime.Sleep(ctx, time.Until(share(plan.StormEnd)))
	if err := r.restore(ctx, s); err != nil {
		return nil, err
	}
	r.Log.Info("back", "what", r.args.Storm)
	return s, r.phase(ctx, nodes.AfterStorm)
}

// phase has the hollow nodes' calls counted in another phase from now on.
func (r *run) phase(ctx context.Context, phase int) error {
	if r.hollows == nil {
		return nil
	}
	return r.hollows.Call(ctx, "Phase", phase, &struct{}{})
}

// lose begins the outage.
func (r *run) lose(ctx context.Context, s *stormTimes) error {
	if r.args.Storm == plan.StormZone {
		s.lost = time.Now()
		return r.changeZone(ctx, false, plan.GroupZoneLost)
	}
	r.mu.Lock()
	r.registryUnresponsive = true
	r.mu.Unlock()
	var at int64
	err := r.registry.Call(ctx, "Silence", true, &at)
	s.lost = time.Unix(0, at)
	return err
}

// restore ends the outage.
func (r *run) restore(ctx context.Context, s *stormTimes) error {
	if r.args.Storm == plan.StormZone {
		s.back = time.Now()
		return r.changeZone(ctx, true, plan.GroupZoneBack)
	}
	// The newest version of each list is made last; all other changes of the outage are sent along with it.
	var last []nodes.ListChange
	for _, l := range r.lists {
		var changed standin.ChangeResult
		spec := standin.ChangeSpec{Service: l.Service, Entries: l.RestartLast()}
		if err := r.registry.Call(ctx, "Change", spec, &changed); err != nil {
			return err
		}
		if l.Service < r.args.Services && r.args.Nodes > 0 {
			last = append(last, nodes.ListChange{Group: plan.GroupAfterOutage, Service: l.Service, Rev: changed.Rev})
		}
	}
	var at int64
	if err := r.registry.Call(ctx, "Silence", false, &at); err != nil {
		return err
	}
	s.back = time.Unix(0, at)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registryUnresponsive = false
	for _, c := range last {
		c.AtNS = at
		r.changes = append(r.changes, c)
	}
	return nil
}

// changeZone removes the servers of the first zone from all lists, or lists them again.
func (r *run) changeZone(ctx context.Context, back bool, group string) error {
	for _, l := range r.lists {
		if targets := l.ChangeZone(back); len(targets) > 0 {
			if err := r.change(ctx, l, targets, group); err != nil {
				return err
			}
		}
	}
	return nil
}

// figures compares the registry's load after the outage with the mean before it.
func (s *stormTimes) figures(
	kind string, counted stats.Snapshot, begin, end time.Time, h *report.HollowFigures,
) *report.StormFigures {
	f := &report.StormFigures{Kind: kind, LostSec: s.back.Sub(s.lost).Seconds()}
	watched := s.back.Add(plan.StormWatchTime)
	if watched.After(end) {
		watched = end
	}
	before, _, beforeSec := counted.Between(begin, s.lost)
	during, _, duringSec := counted.Between(s.lost, s.back)
	// The bucket in which the outage ends counts as after it.
	after, peak, afterSec := counted.Between(s.back.Add(-stats.BucketWidth), watched)
	f.Before, f.During = float64(before.Calls)/beforeSec, float64(during.Calls)/duringSec
	f.After, f.WatchedAfterSec, f.BytesOutAfter = float64(after.Calls)/afterSec, afterSec, float64(after.SentBytes)/afterSec
	f.PeakAfter = float64(peak) / stats.BucketWidth.Seconds()
	if f.Before > 0 {
		f.PeakToMean = f.PeakAfter / f.Before
	}
	if h != nil {
		for _, group := range []string{plan.GroupAfterOutage, plan.GroupZoneBack} {
			if in, ok := h.InForce[group]; ok {
				f.NewestAllMS, f.Missed = in.All.Worst, in.Missed
			}
		}
	}
	return f
}
