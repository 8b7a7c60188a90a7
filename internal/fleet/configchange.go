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

// configLimit is the time within which a change must be in force everywhere.
const configLimit = 11 * time.Second

// Times of one change: how long a call may take that asks whether it is in force, and the pause before the next.
const (
	configCallDeadline = time.Second
	configCallPause    = 20 * time.Millisecond
)

// configChanges makes changes of the real nodes' configuration, and follows each in goroutines of its own: the next
// change is made meanwhile.
type configChanges struct {
	nodes     []*nodes.RealNode
	client    *load.Client
	took      *stats.Latencies
	inForce   atomic.Int64 // pairs of a change and a node
	followers sync.WaitGroup
}

// reconfigure changes the real nodes' configuration evenly over the run, at least once, and waits until the changes
// are in force or their time is over.
func (r *run) reconfigure(ctx context.Context, c *report.Configs) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes := &configChanges{nodes: r.real, client: r.client, took: stats.NewLatencies()}
	every := time.Duration(float64(time.Minute) / r.args.Configs)
	start := time.Now()
	var err error
	for at := min(every, r.args.For) / 2; at < r.args.For; at += every {
		monotime.Sleep(ctx, time.Until(start.Add(at)))
		if ctx.Err() != nil {
			break
		}
		c.Changes++
		if err = changes.addClass(ctx, fmt.Sprintf("added-%d", c.Changes)); err != nil {
			cancel()
			break
		}
		c.Sent += len(r.real)
	}
	changes.followers.Wait()
	c.InForce, c.Took = int(changes.inForce.Load()), changes.took.Quantiles()
	c.NotInForce = c.Sent - c.InForce
	return err
}

// AddClass adds a class to the configuration of all nodes, and follows the change at each.
func (c *configChanges) addClass(ctx context.Context, class string) error {
	for _, n := range c.nodes {
		if err := n.AddClass(class); err != nil {
			return err
		}
		begun := time.Now()
		if err := n.Reload(); err != nil {
			return err
		}
		c.followers.Add(1)
		go func() {
			defer c.followers.Done()
			c.follow(ctx, n, class, begun)
		}()
	}
	return nil
}

// follow waits until a class is in force at a node, or configLimit has passed. It is in force at a node that no
// longer answers a request of the class as of an unknown class.
func (c *configChanges) follow(ctx context.Context, n *nodes.RealNode, class string, begun time.Time) {
	ctx, cancel := context.WithTimeout(ctx, configLimit)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%s-%d", class, n.Name(), i)
		got, err := c.client.Call(ctx, n.Address(), class, id, time.Now().Add(configCallDeadline))
		if err == nil && got != load.UnknownClass {
			c.took.Add(time.Since(begun))
			c.inForce.Add(1)
			return
		}
		monotime.Sleep(ctx, configCallPause)
	}
}
