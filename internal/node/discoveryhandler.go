package node

import "basaltdrum/internal/endpointlist"

// DiscoveryHandler posts what discovery reports as events to the loop. It implements discovery.Handler.
type DiscoveryHandler struct {
	Post func(Event) // queues an event for the loop
}

// ListReceived posts a list, or changes to it.
func (h DiscoveryHandler) ListReceived(list endpointlist.List) { h.Post(listReceived{list: list}) }

// ListConfirmed posts that nothing has changed.
func (h DiscoveryHandler) ListConfirmed() { h.Post(listConfirmed{}) }

// SubscriptionFailed posts that a poll has failed.
func (h DiscoveryHandler) SubscriptionFailed() { h.Post(subscriptionFailed{}) }

// AgentUnresponsive posts that the agent has not answered.
func (h DiscoveryHandler) AgentUnresponsive() { h.Post(discoveryUnresponsive{}) }
