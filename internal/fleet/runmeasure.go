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

// measure runs the activities for the length of the run, and sets the figures of the point.
func (r *run) measure(ctx context.Context, p *report.Point, started nodes.HollowStartReport) error {
	before, err := r.readUsage()
	if err != nil {
		return err
	}
	if r.hollows != nil {
		calls := nodes.HollowLoad{Rate: r.args.Rate, For: r.args.For, Seed: r.args.Seed}
		if err := r.hollows.Call(ctx, "Load", calls, &struct{}{}); err != nil {
			return err
		}
	}
	activities, activityCtx := newActivities(ctx)
	defer activities.cancel(nil)
	results := r.startActivities(activityCtx, activities, p)
	r.Log.Info("measuring", "for", r.args.For)
	monotime.Sleep(activityCtx, time.Until(before.at.Add(r.args.For)))
	after, err := r.readUsage() // excludes the wait for the last responses and updates
	if err != nil {
		activities.cancel(err)
	}
	if err := activities.wait(); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	var traffic stats.Snapshot
	if err := r.registry.Call(ctx, "Traffic", struct{}{}, &traffic); err != nil {
		return err
	}
	r.fillFigures(p, before, after, results.realCores, traffic)
	if r.hollows != nil {
		if err := r.fillHollowFigures(ctx, p, before, after, started); err != nil {
			return err
		}
	}
	if results.storm != nil {
		p.Storm = results.storm.figures(r.args.Storm, traffic, before.at, after.at, p.Hollow)
	}
	return nil
}

// activityResults holds the results of a run's activities. They are complete once all activities have returned.
type activityResults struct {
	storm     *stormTimes
	realCores []float64 // mean cores that each real node used while calls went through it
}

// startActivities starts all activities of a run except the calls at hollow nodes.
func (r *run) startActivities(ctx context.Context, a *activities, p *report.Point) *activityResults {
	results := &activityResults{}
	if r.args.Changes > 0 {
		a.start(func() error { return r.rotateLists(ctx, r.args.For) })
	}
	if r.args.Storm != plan.StormNone {
		a.start(func() (err error) {
			results.storm, err = r.runStorm(ctx)
			return err
		})
	}
	if r.args.Configs > 0 {
		p.Configs = &report.Configs{LimitSec: configInForceLimit.Seconds()}
		a.start(func() error { return r.makeConfigChanges(ctx, p.Configs) })
	}
	if len(r.real) > 0 && r.args.Rate > 0 {
		a.start(func() (err error) {
			p.Chain, results.realCores, err = r.measureChain(ctx)
			return err
		})
	}
	return results
}
