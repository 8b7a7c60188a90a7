package node

// aheadStep is the least that is kept of what a caller sends ahead, in bytes.
const readAheadStep = 4 << 10

// aheadEach is how much one caller may send ahead, in bytes: the longest request that there is.
const readAheadPerConn = maxHeaderBytes + maxBody

// aheadShare is the part of the node's memory that all callers together may fill with what they send ahead.
const readAheadMemoryShare = 16

// keepAhead reserves bytes for what a caller sends ahead, or gives some back.
func (s *downstreamConns) reserveReadAhead(n int) bool {
	if s.readAheadReserved.Add(int64(n)) > s.readAheadLimit && n > 0 {
		s.readAheadReserved.Add(int64(-n))
		return false
	}
	return true
}

// spare is room for more that is sent ahead, or nil at the bound of this connection's or of all.
func (c *downstreamConn) readAheadBuffer() []byte {
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

// keep adds bytes that were read into the spare room.
func (c *downstreamConn) appendReadAhead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAhead = c.readAhead[:len(c.readAhead)+n]; len(c.readAhead) == 0 {
		c.releaseReadAhead()
	}
}

// takeAhead takes bytes that were read ahead.
func (c *downstreamConn) takeReadAhead(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.readAhead)
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.releaseReadAhead()
	}
	return n
}

// dropAhead gives back the room for what is sent ahead. The caller holds mu.
func (c *downstreamConn) releaseReadAhead() {
	c.conns.reserveReadAhead(-c.readAheadReserved)
	c.readAhead, c.readAheadReserved = nil, 0
}
