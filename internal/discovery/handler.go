package discovery

import "basaltdrum/internal/endpointlist"

// NoVersion stands for the version of the list where there is none: the first poll requests the complete list.
const NoVersion int64 = -1

// Handler receives what a Client learns. Its methods are called from the Client's goroutines.
type Handler interface {
	// ListReceived passes on a complete list, or the entries that have changed since the list before it.
	ListReceived(list endpointlist.List)
	// ListConfirmed reports that the registry has answered and that nothing has changed.
	ListConfirmed()
	// SubscriptionFailed reports that a poll has failed, where lists are polled. The next one needs a Subscribe.
	SubscriptionFailed()
	// AgentUnresponsive reports that the agent has not answered within Client.StartupWait, where lists are pushed.
	// It is called once, also if the agent answers at that very moment.
	AgentUnresponsive()
}
