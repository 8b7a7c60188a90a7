package node

import (
	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
)

// SetCachedList sets the last endpoint list that the node had before its start. If lists are polled, the loop applies
// it at once and the module subscribes to a newer one. It must be called before Run and after SetHooks.
func (l *Loop) SetCachedList(cached endpointlist.List) {
	l.cachedList = cached
	if !l.listsPushed {
		l.useCachedList()
	}
}

// handleDiscoveryEvent handles an event about the endpoint list.
func (l *Loop) handleDiscoveryEvent(e Event) {
	switch e := e.(type) {
	case listReceived:
		if !e.list.Complete {
			l.useCachedList() // the changes are relative to it
		}
		l.applyList(l.handover.Receive(e.list), listFromDiscovery)
	case listConfirmed:
		l.endpoints.Confirm()
	case discoveryMoved:
		l.handover.Start()
	case subscriptionFailed:
		l.passToModule(l.clock.Now(), balancer.SubscriptionFailed{})
	case discoveryUnresponsive:
		l.useCachedList()
	}
}

// useCachedList applies the cached list, unless a list has been applied already. Where lists are pushed, the list of
// the agent takes precedence from the start of the process: the cached list is used only when changes arrive from the
// agent, which are relative to it, or once discovery is considered unresponsive. The module queues requests until it
// has a list.
func (l *Loop) useCachedList() {
	if !l.listApplied {
		l.applyList(l.cachedList, listFromCache)
	}
}

// advanceHandover applies what the new address of discovery has listed and what is in force from now on.
func (l *Loop) advanceHandover() {
	if list, changed := l.handover.Advance(); changed {
		l.applyList(list, listFromHandover)
	}
}

// listSource is where a list comes from that is applied.
type listSource int

const (
	listFromDiscovery listSource = iota // it has just arrived
	listFromHandover                    // it has arrived some time ago
	listFromCache                       // it was known before the start of the process
)

// applyList applies a complete list or changes to it, and passes it to the upstream pool and to the module. If lists
// are pushed, a list that changes nothing is not passed on; one arrives when discovery has moved to another address.
// The module treats every list as a change and selects its subset again, which would move requests to other endpoints
// and open connections unnecessarily. Where lists are polled, each list that arrives is an answer to a subscription.
func (l *Loop) applyList(update endpointlist.List, source listSource) {
	l.listApplied, l.cachedList = true, endpointlist.List{}
	l.endpoints.SetStartTimes(update.Entries)
	if source == listFromDiscovery {
		defer l.endpoints.Confirm()
	}
	isAnswer := source == listFromDiscovery && !l.listsPushed
	if source != listFromCache && !isAnswer && l.endpoints.IsUnchangedBy(update) {
		return
	}
	cached := source == listFromCache
	e := balancer.EndpointUpdate{Complete: update.Complete, Cached: cached, Endpoints: l.endpoints.Apply(update)}
	l.hooks.UpdateEndpoints(update.Entries, update.Complete)
	l.passToModule(l.clock.Now(), e)
	l.ready.Store(l.endpoints.HasReady())
}
