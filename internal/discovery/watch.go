package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/netdial"
)

// Durations of a watch.
//
// A lost poll must be replaced within NotificationDeadline. The worst case is shorter: once discovery has stopped
// responding, the poll is cancelled after hold and grace; where lists are pushed, a dial and response headers that
// never arrive cost agentCheckTimeout and retryInterval once more; where the registry is polled, the next poll follows
// after retryInterval or a quarter of the poll interval from the settings (which is 6 s at most), whichever is longer.
// TestLostPollIsReplacedInTime adds these up.
//
// An agent that became unresponsive during a poll does not respond to it even after it recovers, so a poll is cancelled
// shortly after its hold. Where lists are pushed, the list that the agent receives when discovery recovers counts as
// known to the node at once, and draining endpoints must be avoided 250 ms later. So the hold is shorter than an
// outage: the outage is detected before it ends, and from then on the agent, which is local and cheap to poll, is
// checked several times within those 250 ms.
const (
	pushHold          = time.Second
	pushGrace         = 250 * time.Millisecond
	pollHold          = 2 * time.Second // longer, as the registry itself serves these polls
	pollGrace         = 500 * time.Millisecond
	agentCheckTimeout = 150 * time.Millisecond // for the response headers of a poll without a hold
	retryInterval     = 100 * time.Millisecond // from a failed poll to the next one
	// minPollInterval is the minimum time between the starts of two polls. While a long list changes many times a
	// second, a poll returns several changes at once, since a poll costs a node more than the changes in it. A watch
	// may be without a poll for 200 ms, and changes must be in force 250 ms later.
	minPollInterval = 20 * time.Millisecond
)

// NotificationDeadline is the time after which a change counts as known to the node, whether the node has received it
// or not. The delay from a failed subscription to the next must be a quarter of it at most.
const NotificationDeadline = 6 * time.Second

// errStaleList reports an incremental update that is older than the list that the node has.
var errStaleList = errors.New("the update is older than the list")

// statusError is a response of the registry with a status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("unexpected status %d", int(e)) }

// runPushed polls until ctx ends. Each poll follows the previous response within minPollInterval, as a watch counts as
// lost when the next poll is late.
func (c *Client) runPushed(ctx context.Context) {
	startupTimer := time.AfterFunc(c.StartupWait, c.handler.AgentUnresponsive)
	defer startupTimer.Stop()
	suspect := true // whether the agent may be unresponsive
	var watched *registryAddress
	for ctx.Err() == nil {
		address := c.currentAddress()
		suspect = suspect || address != watched
		watched = address
		responds, err := c.poll(ctx, address, suspect)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil || responds || address.ctx.Err() != nil:
			suspect = false
			continue
		case !suspect:
			c.log.Warn("watch of the discovery agent failed, retrying", "error", err)
			suspect = true
		}
		c.awaitRetry(ctx, address)
	}
}

// runPolled serves subscriptions until ctx ends. A subscription is a series of polls that ends with the first failure,
// which is reported; the balancer module then subscribes again after a delay of its own. That delay is a fraction of
// the configured poll interval and may be close to 0, and a refused connection fails at once. So the next poll also
// waits for retryInterval, or until the watch moves to another address.
func (c *Client) runPolled(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.subscribeSignal:
		}
		for c.pollSubscribed(ctx) {
		}
	}
}

// pollSubscribed makes one poll of a subscription, and reports whether another one follows without a new subscription.
// A poll that failed because of a local fault never reached the registry: the module need not delay the next one, and
// is not notified.
func (c *Client) pollSubscribed(ctx context.Context) (again bool) {
	address := c.currentAddress()
	_, err := c.poll(ctx, address, false)
	if err == nil || address.ctx.Err() != nil || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	again = netdial.IsLocalError(err)
	c.log.Warn("discovery poll failed, retrying", "error", err)
	if !again {
		c.handler.SubscriptionFailed()
	}
	c.awaitRetry(ctx, address)
	return again && ctx.Err() == nil
}

// awaitRetry waits for retryInterval, or until ctx ends or the watch moves to another address.
func (c *Client) awaitRetry(ctx context.Context, address *registryAddress) {
	select {
	case <-ctx.Done():
	case <-address.ctx.Done():
	case <-c.After(retryInterval):
	}
}

// poll sends one poll request and passes the result to the handler. During the poll, a suspect agent is also
// health-checked: if it responds to the check, the poll is known to be lost and is cancelled, and responds is true.
//
// A successful poll returns after minPollInterval at the earliest, which paces consecutive polls.
func (c *Client) poll(
	ctx context.Context, address *registryAddress, suspect bool,
) (responds bool, err error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Hold+c.Grace)
	defer cancel()
	defer context.AfterFunc(address.ctx, cancel)() //nolint:contextcheck // a poll ends with either context
	if suspect {
		checked, from := make(chan bool, 1), address.version
		go func() {
			ok := address.checkAgent(ctx, from)
			checked <- ok
			if ok {
				cancel()
			}
		}()
		defer func() { cancel(); responds = <-checked }()
	}
	if err := c.receiveList(ctx, address); err != nil {
		return false, err
	}
	monotime.Sleep(ctx, minPollInterval-time.Since(started))
	return false, nil
}

// receiveList sends one poll request, reads the list in the response and passes it to the handler. After a malformed or
// stale list, the next poll requests the complete list, as it is unknown which changes were missed.
func (c *Client) receiveList(ctx context.Context, address *registryAddress) error {
	resp, err := address.get(ctx, address.version, c.Hold)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: %w", statusError(resp.StatusCode))
	}
	body := newListBody(resp.Body)
	list, err := endpointlist.Read(body)
	if body.err != nil {
		return fmt.Errorf("watch: %w", body.err)
	}
	if err == nil && !list.Complete && list.Version < address.version {
		err = fmt.Errorf("list: %w: version %d after %d", errStaleList, list.Version, address.version)
	}
	if err != nil {
		address.version = NoVersion
		return err
	}
	address.version = list.Version
	switch {
	case address.ctx.Err() != nil: // the watch has moved to another address
	case !list.Complete && len(list.Entries) == 0: // the hold ended without a change
		c.handler.ListConfirmed()
	default:
		c.handler.ListReceived(list)
	}
	return nil
}
