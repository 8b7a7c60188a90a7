package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/fleet/nodes"
	"basaltdrum/internal/fleet/report"
	"basaltdrum/internal/fleet/stats"
	"basaltdrum/internal/monotime"
)

// configInForceLimit is the time within which a change must be in force at a node.
const configInForceLimit = 11 * time.Second

// Calls that check whether a change is in force.
const (
	configCallDeadline = time.Second           // of one call
	configCallInterval = 20 * time.Millisecond // pause between two calls
)

// configChanges makes changes of the real nodes' configuration. For each change and node, a goroutine waits until the
// change is in force, so that the next change can be made meanwhile.
type configChanges struct {
	nodes        []*nodes.RealNode
	client       *load.Client
	inForceTimes *stats.Latencies
	inForce      atomic.Int64 // pairs of a change and a node
	waiters      sync.WaitGroup
}

// makeConfigChanges changes the real nodes' configuration at even intervals over the run, at least once, and waits
// until each change is in force or configInForceLimit has passed.
func (r *run) makeConfigChanges(ctx context.Context, figures *report.Configs) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes := &configChanges{nodes: r.real, client: r.client, inForceTimes: stats.NewLatencies()}
	interval := time.Duration(float64(time.Minute) / r.args.Configs)
	start := time.Now()
	var err error
	for at := min(interval, r.args.For) / 2; at < r.args.For; at += interval {
		monotime.Sleep(ctx, time.Until(start.Add(at)))
		if ctx.Err() != nil {
			break
		}
		figures.Changes++
		if err = changes.addClass(ctx, fmt.Sprintf("added-%d", figures.Changes)); err != nil {
			cancel()
			break
		}
		figures.Sent += len(r.real)
	}
	changes.waiters.Wait()
	figures.InForce, figures.Took = int(changes.inForce.Load()), changes.inForceTimes.Quantiles()
	figures.NotInForce = figures.Sent - figures.InForce
	return err
}

// addClass adds a request class to the configuration of all nodes, and starts to wait until it is in force at each.
func (c *configChanges) addClass(ctx context.Context, class string) error {
	for _, n := range c.nodes {
		if err := n.AddClass(class); err != nil {
			return err
		}
		changedAt := time.Now()
		if err := n.Reload(); err != nil {
			return err
		}
		c.waiters.Add(1)
		go func() {
			defer c.waiters.Done()
			c.waitInForce(ctx, n, class, changedAt)
		}()
	}
	return nil
}

// waitInForce waits until a class is in force at a node, or configInForceLimit has passed. The class is in force when
// the node no longer responds to a request of the class that the class is unknown.
func (c *configChanges) waitInForce(ctx context.Context, n *nodes.RealNode, class string, changedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, configInForceLimit)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%s-%d", class, n.Name(), i)
		outcome, err := c.client.Call(ctx, n.Address(), class, id, time.Now().Add(configCallDeadline))
		if err == nil && outcome != load.UnknownClass {
			c.inForceTimes.Add(time.Since(changedAt))
			c.inForce.Add(1)
			return
		}
		monotime.Sleep(ctx, configCallInterval)
	}
}
