package node

import "basaltdrum/internal/endpointlist"

// discoveryHandler posts what discovery reports as events to the loop. It implements discovery.Handler.
type discoveryHandler struct{ post func(event) }

// ListReceived posts a list, or changes to it.
func (h discoveryHandler) ListReceived(list endpointlist.List) { h.post(listReceived{list: list}) }

// ListConfirmed posts that nothing has changed.
func (h discoveryHandler) ListConfirmed() { h.post(listConfirmed{}) }

// SubscriptionFailed posts that a poll has failed.
func (h discoveryHandler) SubscriptionFailed() { h.post(subscriptionFailed{}) }

// Unresponsive posts that the agent has not answered.
func (h discoveryHandler) Unresponsive() { h.post(discoveryUnresponsive{}) }
