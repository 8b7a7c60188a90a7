package upstream

import (
	"context"
	"fmt"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/netdial"
)

// connect returns a reusable idle connection or a new one; fresh reports whether it is new. After a local fault it
// retries with backoff for as long as the attempt may start.
func (p *Pool) connect(
	ctx context.Context, a *Attempt, waiter *responseWaiter,
) (c *conn, fresh bool, err error) {
	mayWait := func(wait time.Duration) bool { return p.mayStartAfter(a, wait) }
	localFault, err := netdial.WithBackoff(ctx, mayWait, func() error {
		c, fresh, err = p.connectOnce(ctx, a.Instance, waiter)
		return err
	})
	a.localFault = a.localFault || localFault
	return c, fresh, err
}

// connectOnce does the same as connect, with at most one dial.
func (p *Pool) connectOnce(
	ctx context.Context, instance endpointlist.Instance, waiter *responseWaiter,
) (c *conn, fresh bool, err error) {
	c, err = p.takeIdle(instance, waiter)
	if c != nil || err != nil {
		return c, false, err
	}
	nc, err := p.Dial(ctx, "tcp", instance.Address)
	if err != nil {
		p.releaseDescriptor()
		return nil, true, fmt.Errorf("connect to %s: %w", instance.UID, err)
	}
	return p.startReader(nc, instance, waiter), true, nil
}

// releaseDescriptor releases the descriptor that takeIdle has reserved for a connection that could not be opened.
func (p *Pool) releaseDescriptor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// mayStartAfter reports whether an attempt has time left after a wait, and its endpoint is still ready.
func (p *Pool) mayStartAfter(a *Attempt, wait time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.mayStart(p.clock.Now()+wait) && p.endpoints.isReady(a.Instance)
}
