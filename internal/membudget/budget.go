// Package membudget keeps the memory that open requests and connections hold within a share of the process's memory
// limit. The garbage collector can't free what is in use, so that a request has to be rejected before its body is held.
//
// A Budget has two parts. Requests reserve bytes from the first part without waiting: the caller rejects a request for
// which there are none. Responses take slots of the second part, and wait for one: the endpoint has executed such a
// request, so that its response has to be forwarded. The parts are separate, because a response that waited for bytes
// of open requests would wait for requests that are waiting for their responses.
//
// A Budget and a Reservation may be used by any goroutine. Their locks are held for bookkeeping only: no function of
// the caller runs under them.
package membudget

import "sync"

// ResponseSlotBytes is the size of a slot for a response, in bytes.
const ResponseSlotBytes = 64 << 10

// Limits are the limits of a Budget.
type Limits struct {
	RequestBytes  int64 // for open requests and connections together, in bytes
	ResponseSlots int   // response bodies that may be held at the same time
	Costs         Costs
}

// Costs holds the memory that is counted for each connection and request besides its bodies, in bytes.
type Costs struct {
	DownstreamConn   int64 // a connection from a client
	IdleUpstreamConn int64 // a connection to an endpoint in excess of the open requests
	Request          int64 // an open request, with its attempt in flight and the connection that the attempt uses
}

// Connections holds the present number of connections, and the bytes that they hold.
type Connections struct {
	Downstream, Upstream int
	Buffered             int64 // bytes that clients have sent and no open request has counted yet
}

// Budget limits the memory of open requests, connections and responses.
type Budget struct {
	limits      Limits
	connections func() Connections
	slots       chan struct{} // has an element for each slot that is taken

	mu       sync.Mutex
	open     int   // reservations that are not released
	bytes    int64 // sum of their bytes
	rejected int   // since the last call of TakeStats
}

// New returns a budget. connections returns the present number of connections.
func New(limits Limits, connections func() Connections) *Budget {
	return &Budget{limits: limits, connections: connections, slots: make(chan struct{}, limits.ResponseSlots)}
}

// Reserve reserves memory for a request that holds a number of bytes, in addition to Costs.Request. It returns nil if
// the limit would be exceeded, and counts the request as rejected. The caller holds the reservation and releases it.
func (b *Budget) Reserve(bytes int64) *Reservation {
	connections := b.connections()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(connections, b.open+1, b.bytes+bytes) {
		b.rejected++
		return nil
	}
	b.open++
	b.bytes += bytes
	return &Reservation{budget: b, holders: 1, bytes: bytes}
}

// grow reserves more bytes for an open request, and reports whether the limit allows it. If it does not, the request
// counts as rejected.
func (b *Budget) grow(bytes int64) bool {
	connections := b.connections()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(connections, b.open, b.bytes+bytes) {
		b.rejected++
		return false
	}
	b.bytes += bytes
	return true
}

// fits reports whether open requests with a sum of bytes fit into the limit besides the connections.
func (b *Budget) fits(connections Connections, open int, bytes int64) bool {
	costs := b.limits.Costs
	used := int64(connections.Downstream)*costs.DownstreamConn +
		int64(max(0, connections.Upstream-open))*costs.IdleUpstreamConn +
		connections.Buffered + int64(open)*costs.Request + bytes
	return used <= b.limits.RequestBytes
}

// release gives back the memory of an open request.
func (b *Budget) release(bytes int64, slots int) {
	b.mu.Lock()
	b.open--
	b.bytes -= bytes
	b.mu.Unlock()
	for range slots {
		<-b.slots
	}
}

// Stats holds the numbers of a budget.
type Stats struct {
	Requests  int   // reservations that are not released
	Bytes     int64 // sum of their bytes, without Costs.Request
	Responses int   // slots that are taken
	Rejected  int   // requests that were rejected since the last call of TakeStats
}

// TakeStats returns the present numbers, and resets the count of rejected requests.
func (b *Budget) TakeStats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := Stats{Requests: b.open, Bytes: b.bytes, Responses: len(b.slots), Rejected: b.rejected}
	b.rejected = 0
	return stats
}
