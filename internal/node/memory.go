package node

import (
	"errors"
	"net/http"

	"basaltdrum/internal/http1"
	"basaltdrum/internal/membudget"
)

// errMemoryExhausted reports that there is no memory for a request. The request is rejected, once its body is read.
var errMemoryExhausted = errors.New("no memory for the request")

const (
	bytesPerMB = 1 << 20

	// nonHeapBytes is the part of the memory limit that is left to what the Go runtime does not count: the pages of the
	// program and of the C library, and the stacks of threads.
	nonHeapBytes = 8 * bytesPerMB

	// Limits of that part for small and for large memory limits, as divisors of the limit. The runtime may exceed its
	// soft limit for a moment by an amount that grows with it.
	maxNonHeapDivisor = 4
	minNonHeapDivisor = 16

	// processBytes is the memory that the runtime needs for a node without connections.
	processBytes = 3 * bytesPerMB

	// Shares of the rest, as divisors. What neither requests nor responses may hold is left to the garbage between two
	// cycles of the collector.
	responseMemoryDivisor = 16
	garbageMemoryDivisor  = 8

	// headMemoryDivisor is the share of that memory which heads may hold that are not complete, as a divisor.
	headMemoryDivisor = 8

	// requestMemoryDivisor is the part of the memory of requests that connections leave to them, as a divisor.
	requestMemoryDivisor = 4
)

// memoryCosts is the memory that connections and requests hold besides bodies: the stacks of their goroutines, their
// buffers and the objects of net/http.
var memoryCosts = membudget.Costs{DownstreamConn: 18 << 10, IdleUpstreamConn: 6 << 10, Request: 24 << 10}

// connReadingBody is the memory of a connection from a client while a body is read for which there is no memory, in
// bytes: the request itself is held besides memoryCosts.DownstreamConn, and the stack of the goroutine is deeper.
const connReadingBody = 32 << 10

// heapLimit returns the soft memory limit of the Go runtime for a memory limit of the process, in bytes.
func heapLimit(memoryMB int) int64 {
	total := int64(memoryMB) * bytesPerMB
	return total - max(min(nonHeapBytes, total/maxNonHeapDivisor), total/minNonHeapDivisor)
}

// memoryLimits returns the limits on the memory of open requests and connections for a configuration.
func memoryLimits(cfg Config) membudget.Limits {
	available := heapLimit(cfg.MemoryMB) - processBytes
	responses := available / responseMemoryDivisor
	return membudget.Limits{
		RequestBytes:  available - responses - available/garbageMemoryDivisor,
		ResponseSlots: int(responses / membudget.ResponseSlotBytes),
		Costs:         memoryCosts,
	}
}

// maxDownstreamConns returns how many connections from clients the memory of a configuration allows. The memory that
// each connection holds can't be used by requests, also if it is idle, and all of them may be reading a body at once.
func maxDownstreamConns(cfg Config) int {
	requests := memoryLimits(cfg).RequestBytes
	return int((requests - requests/requestMemoryDivisor) / connReadingBody)
}

// connections returns the numbers that the memory budget counts.
func (n *Node) connections() membudget.Connections {
	conns := n.frontend.conns
	return membudget.Connections{
		Downstream: conns.Count(), Upstream: n.upstream.Connections(),
		Buffered: conns.ReadAheadReserved() + conns.IncompleteHeadMemory(),
	}
}

// heldBytes returns the bytes that a request holds from its head on: its body, if the length is declared, and its head.
func heldBytes(r *http.Request) int64 {
	head, fields := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, value := range values {
			head += len(name) + len(value)
			fields++
		}
	}
	return int64(http1.HeadMemory(head, fields)) + max(0, r.ContentLength)
}

// reserveBody returns a function that reserves the memory of the body's buffer before it is allocated. The memory of a
// body with a declared length was reserved with the head.
func (req *request) reserveBody(r *http.Request) func(size int) error {
	reserved := int(max(0, r.ContentLength))
	return func(size int) error {
		if size <= reserved {
			return nil
		}
		if !req.Memory.Grow(int64(size - reserved)) {
			return errMemoryExhausted
		}
		reserved = size
		return nil
	}
}

// discardBody reads the body of a request for which there is no memory, and returns errMemoryExhausted, or the error of
// an invalid body. It discards the header fields first, as the body may take long to arrive.
func discardBody(r *http.Request, framingError func() error) error {
	r.Header = nil
	if err := bodyError(http1.DiscardBody(r.Body), framingError()); err != nil {
		return err
	}
	return errMemoryExhausted
}
