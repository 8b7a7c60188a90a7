package discovery

import "basaltdrum/internal/endpointlist"

// NoVersion is the version where there is no list: the next poll requests the complete list.
const NoVersion int64 = -1

// Handler receives the updates and failures that a Client reports. Its methods are called from the Client's
// goroutines.
type Handler interface {
	// ListReceived delivers a complete list, or the entries that have changed since the previous list.
	ListReceived(list endpointlist.List)
	// ListConfirmed reports that the registry has responded and that nothing has changed.
	ListConfirmed()
	// AddressChanged reports that the watch has moved to another address. The lists that follow are those of the new
	// address, which may be older than the last one of the previous address, and may count versions anew.
	AddressChanged()
	// SubscriptionFailed reports that a poll has failed, where lists are polled. The next poll needs a Subscribe.
	SubscriptionFailed()
	// AgentUnresponsive reports that Client.StartupWait has passed, where lists are pushed. It is called once, even if
	// the agent has responded by then.
	AgentUnresponsive()
}
