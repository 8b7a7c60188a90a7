package downstream

import "basaltdrum/internal/http1"

// Read-ahead: while a request is open, the departure watch reads whatever the client pipelines behind it, so
// that a close or reset behind those bytes is seen. They are buffered here and served to net/http once the
// request is answered.

const (
	// readAheadStep is the smallest read-ahead buffer, in bytes; it doubles as it fills.
	readAheadStep = 4 << 10

	// readAheadPerConn bounds the read-ahead buffer of one connection, in bytes: the longest request allowed.
	readAheadPerConn = http1.MaxHeaderBytes + http1.MaxBodyBytes
)

// reserveReadAhead reserves n bytes of the read-ahead memory of all connections, or releases them if n is
// negative. It reports false, and reserves nothing, if the limit would be exceeded.
func (s *Conns) reserveReadAhead(n int) bool {
	if s.readAheadReserved.Add(int64(n)) > s.readAheadLimit.Load() && n > 0 {
		s.readAheadReserved.Add(int64(-n))
		return false
	}
	return true
}

// readAheadBuffer returns the unused part of the read-ahead buffer, which it grows when it is full. It
// returns nil at the limit of this connection or of all connections.
func (c *Conn) readAheadBuffer() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if used := len(c.readAhead); used == cap(c.readAhead) {
		size := min(max(readAheadStep, 2*used), readAheadPerConn)
		if used >= size || !c.conns.reserveReadAhead(size-c.readAheadReserved) {
			return nil
		}
		c.readAheadReserved = size
		c.readAhead = append(make([]byte, 0, size), c.readAhead...)
	}
	return c.readAhead[len(c.readAhead):cap(c.readAhead)]
}

// appendReadAhead adds the n bytes that were read into the unused part of the buffer.
func (c *Conn) appendReadAhead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAhead = c.readAhead[:len(c.readAhead)+n]; len(c.readAhead) == 0 {
		c.releaseReadAhead()
	}
}

// takeReadAhead moves buffered bytes into p and returns how many.
func (c *Conn) takeReadAhead(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.readAhead)
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.releaseReadAhead()
	}
	return n
}

// releaseReadAhead drops the buffer and its reservation. c.mu is held.
func (c *Conn) releaseReadAhead() {
	c.conns.reserveReadAhead(-c.readAheadReserved)
	c.readAhead, c.readAheadReserved = nil, 0
}
