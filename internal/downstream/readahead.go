package downstream

import (
	"sync/atomic"

	"basaltdrum/internal/http1"
)

const (
	// readAheadStep is the smallest read-ahead buffer, in bytes; it doubles as it fills.
	readAheadStep = 4 << 10

	// readAheadPerConn bounds the read-ahead buffer of one connection, in bytes: the longest request allowed.
	readAheadPerConn = http1.MaxHeaderBytes + http1.MaxBodyBytes
)

// readAheadBudget is the memory that the read-ahead buffers of all connections share. It needs no lock.
type readAheadBudget struct {
	limit    atomic.Int64 // bytes that all buffers together may have
	reserved atomic.Int64 // bytes that they have reserved
}

// reserve reserves n bytes, or releases them if n is negative. It reports false, and reserves nothing, if the
// limit would be exceeded.
func (b *readAheadBudget) reserve(n int) bool {
	if b.reserved.Add(int64(n)) > b.limit.Load() && n > 0 {
		b.reserved.Add(int64(-n))
		return false
	}
	return true
}

// readAheadBuffer has the bytes that a client has pipelined behind its open request. The departure watch reads them,
// so that a close or reset behind them is seen, and net/http is given them once the request is answered.
//
// The caller holds the Conn.mu of the connection, except while it reads into the slice that unused has returned.
type readAheadBuffer struct {
	budget   *readAheadBudget
	bytes    []byte
	reserved int // bytes of the budget that are reserved for this buffer
}

// size is how many bytes are buffered.
func (b *readAheadBuffer) size() int { return len(b.bytes) }

// unused returns the unused part of the buffer, which it grows when it is full. It returns nil at the limit of
// this buffer or of the budget.
func (b *readAheadBuffer) unused() []byte {
	if used := len(b.bytes); used == cap(b.bytes) {
		size := min(max(readAheadStep, 2*used), readAheadPerConn)
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

// take moves buffered bytes into p and returns how many.
func (b *readAheadBuffer) take(p []byte) int {
	n := copy(p, b.bytes)
	if b.bytes = b.bytes[n:]; len(b.bytes) == 0 {
		b.release()
	}
	return n
}

// release drops the buffered bytes and the reservation.
func (b *readAheadBuffer) release() {
	b.budget.reserve(-b.reserved)
	b.bytes, b.reserved = nil, 0
}
