package fleet

import (
	"context"
	"fmt"
	"time"

	"basaltdrum/internal/fleet/nodes"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/report"
	"basaltdrum/internal/fleet/stats"
	"basaltdrum/internal/monotime"
)

// measure waits for the length of the run, and fills the point.
func (r *run) measure(ctx context.Context, p *report.Point, started nodes.HollowStartReport) error {
	before, err := r.usage()
	if err != nil {
		return err
	}
	if r.hollows != nil {
		calls := nodes.HollowLoad{Rate: r.args.Rate, For: r.args.For, Seed: r.args.Seed}
		if err := r.hollows.Call(ctx, "Load", calls, &struct{}{}); err != nil {
			return err
		}
	}
	activities, running := newActivities(ctx)
	defer activities.cancel(nil)
	outcome := r.startActivities(running, activities, p)
	r.Log.Info("measuring", "for", r.args.For)
	monotime.Sleep(running, time.Until(before.at.Add(r.args.For)))
	after, err := r.usage() // before the nodes' last answers and updates, which are left out
	if err != nil {
		activities.cancel(err)
	}
	if err := activities.wait(); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	var counted stats.Snapshot
	if err := r.registry.Call(ctx, "Traffic", struct{}{}, &counted); err != nil {
		return err
	}
	r.fill(p, before, after, outcome.realCores, counted)
	if r.hollows != nil {
		if err := r.hollowFigures(ctx, p, before, after, started); err != nil {
			return err
		}
	}
	if outcome.storm != nil {
		p.Storm = outcome.storm.figures(r.args.Storm, counted, before.at, after.at, p.Hollow)
	}
	return nil
}

// activityOutcome is what the activities of a run leave for its figures. It is complete once they have ended.
type activityOutcome struct {
	storm     *stormTimes
	realCores []float64 // of each real node while calls went through it
}

// startActivities starts all that happens in a run besides the calls at hollow nodes.
func (r *run) startActivities(ctx context.Context, a *activities, p *report.Point) *activityOutcome {
	outcome := &activityOutcome{}
	if r.args.Changes > 0 {
		a.start(func() error { return r.rotate(ctx, r.args.For) })
	}
	if r.args.Storm != plan.StormNone {
		a.start(func() (err error) {
			outcome.storm, err = r.storm(ctx)
			return err
		})
	}
	if r.args.Configs > 0 {
		p.Configs = &report.Configs{LimitSec: configLimit.Seconds()}
		a.start(func() error { return r.reconfigure(ctx, p.Configs) })
	}
	if len(r.real) > 0 && r.args.Rate > 0 {
		a.start(func() (err error) {
			p.Chain, outcome.realCores, err = r.chain(ctx)
			return err
		})
	}
	return outcome
}
