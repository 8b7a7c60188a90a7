package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"basaltdrum/internal/monotime"
)

// configLimit is the time within which a change must be in force everywhere.
const configLimit = 11 * time.Second

// addClass adds a class to the configuration of all nodes. The function that it returns waits until the class is in
// force at each node or configLimit has passed, and returns at how many nodes it is. It is in force at a node that no
// longer answers a request of the class as of an unknown class.
func (r *run) addClass(ctx context.Context, class string, took *latencies) (wait func() int, err error) {
	var wg sync.WaitGroup
	var inForce atomic.Int32
	for _, n := range r.real {
		n.spec.Classes = append(n.spec.Classes, class)
		if err := n.write(); err != nil {
			return nil, err
		}
		begun := time.Now()
		if err := n.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return nil, fmt.Errorf("%s: %w", n.spec.Name, err)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			limit, cancel := context.WithTimeout(ctx, configLimit)
			defer cancel()
			for i := 0; limit.Err() == nil; i++ {
				got, err := r.client.call(limit, n.address, class, fmt.Sprintf("%s-%s-%d", class, n.spec.Name, i),
					time.Now().Add(time.Second))
				if err == nil && got != unknownClass {
					took.add(time.Since(begun))
					inForce.Add(1)
					return
				}
				monotime.Sleep(limit, 20*time.Millisecond)
			}
		}()
	}
	return func() int { wg.Wait(); return int(inForce.Load()) }, nil
}

// reconfigure changes the real nodes' configuration evenly over the run, at least once.
func (r *run) reconfigure(ctx context.Context, c *Configs) error {
	every := time.Duration(float64(time.Minute) / r.args.Configs)
	first := min(every, r.args.For) / 2
	start := time.Now()
	took := newLatencies()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for at := first; at < r.args.For; at += every {
		monotime.Sleep(ctx, time.Until(start.Add(at)))
		if ctx.Err() != nil {
			break
		}
		c.Changes++
		class := fmt.Sprintf("added-%d", c.Changes)
		// One change is followed while the next is made. The nodes' files are this goroutine's own.
		wait, err := r.addClass(ctx, class, took)
		if err != nil {
			errs = append(errs, err)
			break
		}
		c.Sent += len(r.real)
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := wait()
			mu.Lock()
			defer mu.Unlock()
			c.InForce += n
		}()
	}
	wg.Wait()
	c.NotInForce, c.Took = c.Sent-c.InForce, took.quantiles()
	return errors.Join(errs...)
}
