package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/netdial"
)

// maxResponseTime is how long the registry may take for a call, besides the hold: its calls wait in turn while many
// nodes call it. The response to a call that takes longer is not used.
const maxResponseTime = 5 * time.Second

// polledWatch is the watch of a registry that is polled. The module subscribes; each successful call is followed by the
// next one, and a failed one is reported, so that the module subscribes again after a delay of its own. That delay is a
// fraction of the configured poll interval and may be close to 0, and a refused connection fails at once. So the next
// call also waits for retryInterval, or until the watch moves to another address.
//
// A call that is overdue may be lost, or the registry may be slow. It counts as failed, so that another call replaces
// it in time if it is lost. But it is not cancelled: a caller that gives up and calls again joins the end of a slow
// registry's queue each time, is never answered and adds to the load. So up to two calls are under way. The newest
// version wins, whichever call it comes from.
//
// Only the goroutine of Client.Run uses it.
type polledWatch struct {
	*Client
	address  *registryAddress
	newest   *call            // nil until the next call is due
	late     *call            // the call before it, which is overdue; nil if there is none
	due      bool             // the next call is due, once wait has ended
	wait     <-chan time.Time // ends the wait for the next call; nil: no wait
	started  int              // number of calls that were started
	accepted int              // number of the latest call whose response was accepted
	calls    sync.WaitGroup   // the goroutines of the calls
}

// runPolled serves subscriptions until ctx ends. It waits for the calls that it has started.
func (c *Client) runPolled(ctx context.Context) {
	w := &polledWatch{Client: c, address: c.currentAddress()}
	defer w.calls.Wait()
	defer w.endCalls()
	for ctx.Err() == nil {
		if w.due && w.newest == nil && w.wait == nil {
			w.startCall(ctx)
		}
		w.awaitEvent(ctx)
	}
}

// awaitEvent waits for one event and handles it.
func (w *polledWatch) awaitEvent(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.address.ctx.Done():
		w.move()
	case <-w.subscribeSignal:
		w.due = w.due || w.newest == nil // a call that is under way serves the subscription
	case <-w.wait:
		w.wait = nil
	case result := <-w.newest.results():
		w.endNewest(ctx, result)
	case result := <-w.late.results():
		w.endLate(result)
	case <-w.newest.overdueTimer():
		w.markLate()
	}
}

// startCall starts the next call.
func (w *polledWatch) startCall(ctx context.Context) {
	w.due = false
	w.started++
	address := w.address
	ctx, cancel := context.WithTimeout(ctx, w.Hold+w.Grace+maxResponseTime)
	k := &call{
		number: w.started, from: address.version, started: time.Now(), cancel: cancel,
		result: make(chan callResult, 1), overdue: w.overdueAfter(w.Hold + w.Grace),
	}
	w.newest = k
	w.calls.Add(1)
	go func() {
		defer w.calls.Done()
		defer cancel()
		list, err := address.fetchList(ctx, k.from, w.Hold)
		k.result <- callResult{list, err}
	}()
}

// endNewest handles the result of the newest call. A call that failed because of a local fault never reached the
// registry: the module need not delay the next one, and is not notified.
func (w *polledWatch) endNewest(ctx context.Context, result callResult) {
	k := w.newest
	w.newest = nil
	err := w.accept(k, result)
	switch {
	case ctx.Err() != nil || w.address.ctx.Err() != nil:
	case err == nil:
		w.due, w.wait = true, time.After(minPollInterval-time.Since(k.started))
	default:
		w.due = netdial.IsLocalError(err)
		w.reportFailure(err)
	}
}

// endLate handles the result of a late call, whose failure has been reported. If it has a response, the registry is
// slow, and the next call does not wait for another subscription.
func (w *polledWatch) endLate(result callResult) {
	k := w.late
	w.late = nil
	if w.accept(k, result) == nil && w.newest == nil {
		w.due, w.wait = true, nil
	}
}

// markLate reports that the newest call is overdue. It ends an earlier late call, which has had more than
// maxResponseTime: the newest one was started after a late call's overdue time and retryInterval, and is overdue, too.
func (w *polledWatch) markLate() {
	w.late.end()
	w.late, w.newest = w.newest, nil
	w.reportFailure(fmt.Errorf("watch: no response after %v: %w", w.Hold+w.Grace, context.DeadlineExceeded))
}

// reportFailure logs and reports a failed call, unless the next one is due anyway, and starts the wait for the next.
func (w *polledWatch) reportFailure(err error) {
	w.log.Warn("discovery poll failed, retrying", "error", err)
	if !w.due {
		w.handler.SubscriptionFailed()
	}
	w.wait = w.After(retryInterval)
}

// move moves the watch to the current address.
func (w *polledWatch) move() {
	w.endCalls()
	w.address = w.currentAddress()
	w.handler.AddressChanged()
	w.due, w.wait = true, nil
}

// endCalls cancels the calls that are under way.
func (w *polledWatch) endCalls() {
	w.newest.end()
	w.late.end()
	w.newest, w.late = nil, nil
}

// accept passes the response of a call to the handler, unless another call has brought the same version or a newer one
// in the meantime. After a malformed list, the next call requests the complete list.
func (w *polledWatch) accept(k *call, result callResult) error {
	if result.err != nil {
		var malformed *malformedError
		if errors.As(result.err, &malformed) {
			w.address.version = NoVersion
		}
		return result.err
	}
	if w.isOutdated(k, result.list) {
		return nil
	}
	if result.list.Version < w.address.version {
		w.late.end() // the versions have started again, and what the registry was asked before belongs to the old ones
		w.late = nil
	}
	w.accepted = max(w.accepted, k.number)
	w.deliver(w.address, result.list)
	return nil
}

// isOutdated reports whether the list of a call brings nothing new, because the response of another call was accepted
// while it was under way. A complete list whose version is lower than the requested one means that the registry's
// versions have started again.
func (w *polledWatch) isOutdated(k *call, list endpointlist.List) bool {
	switch {
	case list.Version < k.from:
		return k.number < w.accepted
	case w.address.version == NoVersion:
		return k.from != NoVersion && !list.Complete // the complete list is requested next
	default:
		return k.from != w.address.version && list.Version <= w.address.version
	}
}
