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
// A poll that is lost must be replaced within NotifiedWithin. The worst case is shorter: from the moment when
// discovery falls silent, the poll is abandoned after hold and grace; where lists are pushed, a dial and a response
// head that never arrive cost agentCheckTimeout and retryInterval once more; where the registry is polled, the next
// poll follows after retryInterval or a quarter of the poll interval from the settings (which is 6 s at most),
// whichever is longer. TestLostCallIsMadeUpForInTime adds these up.
//
// An agent that is silent does not respond even after it has returned, so a poll is abandoned shortly after its hold.
// Where lists are pushed, what the agent receives when discovery returns counts as known to the node at once, and
// draining endpoints must be avoided 250 ms later. So the hold is shorter than an outage: the outage is noticed
// before it ends, and from then on the agent, which is local and responds at no cost, is checked several times
// within those 250 ms.
const (
	pushHold          = time.Second
	pushGrace         = 250 * time.Millisecond
	pollHold          = 2 * time.Second // longer, as the registry itself serves these polls
	pollGrace         = 500 * time.Millisecond
	agentCheckTimeout = 150 * time.Millisecond // for the head of a response that needs no hold
	retryInterval     = 100 * time.Millisecond // from an immediate failure to the next poll
	// watchInterval is the shortest time from the start of a poll to the start of the next. While a long list
	// changes many times a second, several changes share a poll, which costs a node more than its content does. An
	// open watch allows 200 ms without a poll, and changes must be in force 250 ms later.
	watchInterval = 20 * time.Millisecond
)

// NotificationDeadline is the time after which a change counts as known to the node, whether it was received or not.
// The delay of a subscription after one that failed must be a quarter of it at most.
const NotificationDeadline = 6 * time.Second

// errStaleList reports an incremental update that is older than the list that the node has.
var errStaleList = errors.New("the update is older than the list")

// statusError is a response of the registry with a status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// runPushed watches until ctx ends. Each poll follows the previous response within watchInterval, as a watch counts
// as lost when the next poll is late.
func (c *Client) runPushed(ctx context.Context) {
	late := time.AfterFunc(c.StartupWait, c.handler.AgentUnresponsive)
	defer late.Stop()
	suspect := true // whether it is in doubt that the agent responds at all
	var watched *registryAddress
	for ctx.Err() == nil {
		address := c.currentAddress()
		suspect = suspect || address != watched
		watched = address
		responds, err := c.watchOnce(ctx, address, suspect)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil || responds || address.ctx.Err() != nil:
			suspect = false
			continue
		case !suspect:
			c.log.Warn("discovery does not answer, retrying", "error", err)
			suspect = true
		}
		c.awaitRetry(ctx, address)
	}
}

// runPolled serves subscriptions until ctx ends. A subscription is a series of watches until one fails, which is
// reported once; the policy then subscribes anew after its own delay. That is a part of the configured poll interval
// and may be close to 0, and a refused connection fails at once. So the next poll also waits for retryInterval, or
// until the watch moves to another address.
func (c *Client) runPolled(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.subscribeSignal:
		}
		for c.pollOnce(ctx) {
		}
	}
}

// pollOnce makes one poll, and reports whether another one follows without a new subscription. A poll that failed
// by a local fault never reached the registry: the policy need not delay the next one, and is not notified.
func (c *Client) pollOnce(ctx context.Context) (again bool) {
	address := c.currentAddress()
	_, err := c.watchOnce(ctx, address, false)
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

// watchOnce makes one poll and passes on its result. A suspect agent is checked beside the poll: if the agent
// responds to the check, the poll is known to be lost and is abandoned, and responds is true.
//
// A successful poll returns after watchInterval at the earliest, which paces consecutive polls.
func (c *Client) watchOnce(
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
	if err := c.receive(ctx, address); err != nil {
		return false, err
	}
	monotime.Sleep(ctx, watchInterval-time.Since(started))
	return false, nil
}

// receive makes one poll, reads the list in its response and passes it on. After a malformed or stale list, the next
// poll requests the complete list, as it is unknown which changes were missed.
func (c *Client) receive(ctx context.Context, address *registryAddress) error {
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
