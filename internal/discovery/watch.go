package discovery

import (
	"context"
	"errors"
	"time"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
)

// Durations of a watch.
//
// A lost poll must be replaced within NotificationDeadline. The worst case is shorter: once discovery has stopped
// responding, the poll counts as failed after hold and grace; where lists are pushed, a dial and response headers that
// never arrive cost agentCheckTimeout and retryInterval once more; where the registry is polled, the next poll follows
// after retryInterval or a quarter of the poll interval from the settings (which is 6 s at most), whichever is longer.
// TestLostPollIsReplacedInTime adds these up.
//
// An agent that became unresponsive during a poll does not respond to it even after it recovers, so a poll of an agent
// is cancelled shortly after its hold. The list that the agent receives when discovery recovers counts as
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

// runPushed polls until ctx ends. Each poll follows the previous response within minPollInterval, as a watch counts as
// lost when the next poll is late.
func (c *Client) runPushed(ctx context.Context) {
	startupTimer := time.AfterFunc(c.StartupWait, c.handler.AgentUnresponsive)
	defer startupTimer.Stop()
	suspect := true // whether the agent may be unresponsive
	var watched *registryAddress
	for ctx.Err() == nil {
		address := c.currentAddress()
		if address != watched {
			suspect = true
			if watched != nil {
				c.handler.AddressChanged()
			}
		}
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
	list, err := address.fetchList(ctx, address.version, c.Hold)
	var malformed *malformedError
	if errors.As(err, &malformed) {
		address.version = NoVersion
	}
	if err != nil {
		return err
	}
	c.deliver(address, list)
	return nil
}

// deliver passes a list to the handler, unless the watch has moved to another address, and records its version.
func (c *Client) deliver(address *registryAddress, list endpointlist.List) {
	address.version = list.Version
	switch {
	case address.ctx.Err() != nil: // the watch has moved to another address
	case !list.Complete && len(list.Entries) == 0: // the hold ended without a change
		c.handler.ListConfirmed()
	default:
		c.handler.ListReceived(list)
	}
}
