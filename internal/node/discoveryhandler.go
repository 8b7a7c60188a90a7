package node

import "basaltdrum/internal/endpointlist"

// DiscoveryHandler implements discovery.Handler: it posts each notification of discovery as an event to the loop.
type DiscoveryHandler struct {
	Post func(Event) // queues an event for the loop
}

// ListReceived posts a complete endpoint list, or changes to it.
func (h DiscoveryHandler) ListReceived(list endpointlist.List) { h.Post(listReceived{list: list}) }

// ListConfirmed posts that the endpoint list has not changed.
func (h DiscoveryHandler) ListConfirmed() { h.Post(listConfirmed{}) }

// AddressChanged posts that discovery is watched at another address.
func (h DiscoveryHandler) AddressChanged() { h.Post(discoveryMoved{}) }

// SubscriptionFailed posts that a poll of discovery has failed.
func (h DiscoveryHandler) SubscriptionFailed() { h.Post(subscriptionFailed{}) }

// AgentUnresponsive posts that discovery has not answered since the start of the process.
func (h DiscoveryHandler) AgentUnresponsive() { h.Post(discoveryUnresponsive{}) }
