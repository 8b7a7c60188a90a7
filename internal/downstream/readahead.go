package downstream

import (
	"sync/atomic"

	"basaltdrum/internal/http1"
)

const (
	// minReadAheadBytes is the initial size of a read-ahead buffer, which doubles whenever it is full.
	minReadAheadBytes = 4 << 10

	// maxReadAheadBytes limits the read-ahead buffer of one connection: it holds the longest request allowed.
	maxReadAheadBytes = http1.MaxHeaderBytes + http1.MaxBodyBytes
)

// readAheadBudget limits the memory of the read-ahead buffers of all connections. It needs no lock.
type readAheadBudget struct {
	limit    atomic.Int64 // bytes that all buffers together may reserve
	reserved atomic.Int64 // bytes that all buffers together have reserved
}

// reserve reserves n bytes, or releases -n bytes if n is negative. It returns false and reserves nothing if the limit
// would be exceeded.
func (b *readAheadBudget) reserve(n int) bool {
	if b.reserved.Add(int64(n)) > b.limit.Load() && n > 0 {
		b.reserved.Add(int64(-n))
		return false
	}
	return true
}

// readAheadBuffer holds the bytes that a client has pipelined after its open request. The departure watch reads them
// in order to see a close or reset that follows them. They are passed to net/http once the request is answered.
//
// The caller holds the connection's Conn.mu, except while it reads into the slice that unused has returned.
type readAheadBuffer struct {
	budget   *readAheadBudget
	bytes    []byte
	reserved int // bytes that are reserved from the budget for this buffer
	withheld int // number of bytes at the end that net/http may not get
}

// size returns the number of buffered bytes.
func (b *readAheadBuffer) size() int { return len(b.bytes) }

// unused returns the unused part of the buffer, and grows the buffer if it is full. It returns nil if the buffer or the
// budget has reached its limit.
func (b *readAheadBuffer) unused() []byte {
	if used := len(b.bytes); used == cap(b.bytes) {
		size := min(max(minReadAheadBytes, 2*used), maxReadAheadBytes)
		if used >= size || !b.budget.reserve(size-b.reserved) {
			return nil
		}
		b.reserved = size
		b.bytes = append(make([]byte, 0, size), b.bytes...)
	}
	return b.bytes[len(b.bytes):cap(b.bytes)]
}

// extend adds the n bytes that were read into the unused part.
func (b *readAheadBuffer) extend(n int) {
	if b.bytes = b.bytes[:len(b.bytes)+n]; len(b.bytes) == 0 {
		b.release()
	}
}

// withhold excludes the last n bytes from what take returns, besides those that are withheld already.
func (b *readAheadBuffer) withhold(n int) { b.withheld += n }

// take moves buffered bytes into p and returns their number. Bytes that are withheld are discarded after the others.
func (b *readAheadBuffer) take(p []byte) int {
	n := copy(p, b.bytes[:len(b.bytes)-b.withheld])
	if b.bytes = b.bytes[n:]; len(b.bytes) == b.withheld {
		b.release()
	}
	return n
}

// release discards the buffered bytes and gives their memory back to the budget.
func (b *readAheadBuffer) release() {
	b.budget.reserve(-b.reserved)
	b.bytes, b.reserved, b.withheld = nil, 0, 0
}
