package upstream

import (
	"context"
	"fmt"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/netdial"
)

// connect takes a reusable idle connection, or opens a new one, which fresh reports. A local fault is retried
// with backoff for as long as the attempt may begin.
func (p *Pool) connect(
	ctx context.Context, a *Attempt, waiter chan exchangeResult,
) (c *conn, fresh bool, err error) {
	mayWait := func(wait time.Duration) bool { return p.mayBeginIn(a, wait) }
	heldUp, err := netdial.WithBackoff(ctx, mayWait, func() error {
		c, fresh, err = p.connectOnce(ctx, a.Instance, waiter)
		return err
	})
	a.heldUp = a.heldUp || heldUp
	return c, fresh, err
}

// connectOnce is connect with at most one dial.
func (p *Pool) connectOnce(
	ctx context.Context, to endpointlist.Instance, waiter chan exchangeResult,
) (c *conn, fresh bool, err error) {
	c, err = p.takeIdle(to, waiter)
	if c != nil || err != nil {
		return c, false, err
	}
	nc, err := p.Dial(ctx, "tcp", to.Address)
	if err != nil {
		p.releaseDescriptor()
		return nil, true, fmt.Errorf("connect to %s: %w", to.UID, err)
	}
	return p.startReader(nc, to, waiter), true, nil
}

// releaseDescriptor gives back the descriptor that takeIdle has reserved for a connection that could not be opened.
func (p *Pool) releaseDescriptor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// mayBeginIn reports whether an attempt has time left after a wait, and its endpoint is still ready.
func (p *Pool) mayBeginIn(a *Attempt, wait time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.mayBegin(p.clock.Now()+wait) && p.endpoints.isReady(a.Instance)
}
