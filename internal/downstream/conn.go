package downstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"basaltdrum/internal/http1"
	"basaltdrum/internal/socketpeek"
)

// Conn is a connection from a client. It wraps the socket for net/http and adds four things: a scan of the framing of
// requests (http1.RequestScanner), the watch for the client's departure while a request is open (departure.go), a
// read timeout for each request, and eviction without the loss of a request.
//
// Eviction closes a connection only if it lingers after its last response (linger.go). net/http reads the first bytes
// of a request some time before it reports StateActive, and a Close in between would lose that request. Instead, a read
// deadline in the past ends net/http's wait for a request (readDeadline). If a request has arrived by then, either it
// is read and answered, or it is left unread and its client may safely send it again. Conn itself tracks whether a
// request has started, as ConnState does not show it: after a response, net/http may read the first byte of a pipelined
// request before it reports StateIdle.
type Conn struct {
	net.Conn
	conns       *Conns
	activity    activity      // guarded by conns.mu
	readTimeout time.Duration // for reading the rest of a request that has started; 0: no limit

	lingerEvicted chan struct{} // closed when the connection is evicted while it lingers

	mu              sync.Mutex
	requests        http1.RequestScanner
	headMemory      int  // memory of an incomplete head that is counted in conns, in bytes
	closed          bool // the socket is closed
	requestStarted  bool // bytes of a request have been read since the last response
	requestOpen     bool // a request's head has been read and its response has not started
	requestComplete bool // the body of the open request has been read to its end
	served          bool // its goroutine has started to read, or the socket is closed
	requestAwaited  bool // net/http has waited for the next request before any byte of it was read
	readAhead       readAheadBuffer
	watch           departureWatch
	deadline        readDeadline
}

// newConn wraps the socket nc of a connection that belongs to conns. readTimeout limits the time for reading the rest
// of a request that has started; 0 means no limit.
func newConn(nc net.Conn, conns *Conns, readTimeout time.Duration) *Conn {
	conns.unserved.Add(1)
	return &Conn{
		Conn: nc, conns: conns, readTimeout: readTimeout, lingerEvicted: make(chan struct{}),
		readAhead: readAheadBuffer{budget: &conns.readAheadBudget}, deadline: readDeadline{conn: nc},
	}
}

type connKey struct{}

// NewContext is the ConnContext hook of the http.Server: it makes the connection available to the handler.
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection on which a request arrived, given the request's context.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read reads for net/http. While a request is open, net/http watches for the client's departure by reading
// one byte. Any pipelined byte would end that read, so watchForDeparture replaces it.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.startDepartureWatch() { // all other reads of net/http have a longer buffer
		return 0, c.watchForDeparture()
	}
	if n := c.takeReadAhead(p); n > 0 {
		return n, nil
	}
	if err := c.startRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	accepted := c.scan(p[:n])
	c.recordReadResult(n, err)
	if accepted < n {
		return accepted, c.cutOff()
	}
	return n, err
}

// scan passes bytes that were just read from the kernel to the scanner of the framing, and returns how many of them
// net/http may get.
func (c *Conn) scan(p []byte) (accepted int) {
	at := c.conns.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted = c.requests.Feed(p, at)
	c.countIncompleteHead()
	return accepted
}

// cutOff returns the error because of which net/http may not get more of what the client has sent, or nil.
func (c *Conn) cutOff() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.CutOff()
}

// countIncompleteHead updates the memory of incomplete heads that conns counts for the connection. The caller holds
// c.mu.
func (c *Conn) countIncompleteHead() {
	held := c.requests.IncompleteHeadMemory()
	if c.closed {
		held = 0
	}
	c.conns.headMemory.used.Add(int64(held - c.headMemory))
	c.headMemory = held
}

// limitHeadMemory rejects an incomplete head before more of it is read, if all heads together hold too much memory and
// this one is longer than those of most clients. The caller holds c.mu.
func (c *Conn) limitHeadMemory() {
	if c.headMemory > unlimitedHeadMemory && c.conns.headMemory.isExceeded() {
		c.requests.RejectHead()
	}
}

// TakeHead returns what the scanner has recorded about the head of r, which net/http has just read, or the error in the
// framing of the request.
func (c *Conn) TakeHead(r *http.Request) (http1.RequestHead, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.TakeHead(r)
}

// BodyError returns the error in the framing of the body that net/http has just read, or nil.
func (c *Conn) BodyError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.BodyError()
}

// HasPipelinedRequest reports whether another request, or a part of one, has been read after the complete body of the
// current one.
func (c *Conn) HasPipelinedRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.HasPipelinedRequest()
}

// PipelinedDeadline returns the earliest deadline of the requests that the client has sent ahead and whose heads have
// been read, as a clock time, if one of them has a deadline.
func (c *Conn) PipelinedDeadline() (at time.Duration, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.PipelinedDeadline()
}

// takeReadAhead moves bytes that were read ahead into p and returns their number.
func (c *Conn) takeReadAhead(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAhead.take(p)
}

// releaseReadAhead discards the bytes that were read ahead.
func (c *Conn) releaseReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead.release()
}

// startRead prepares a read of net/http. It sets the read timeout for the rest of a request once the request has
// started. The timeouts of net/http are not suitable: it waits for a request's first four bytes as long as for an idle
// connection, and counts the time of a connection's first request from the start of the connection. startRead returns
// the error because of which net/http may not get more of what the client has sent, or nil.
func (c *Conn) startRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markServed()
	c.limitHeadMemory()
	if err := c.requests.CutOff(); err != nil {
		return err
	}
	midRequest := c.requests.MidRequest()
	if c.readTimeout > 0 && midRequest {
		c.deadline.startRequest(c.readTimeout)
	}
	if !midRequest && !c.requests.HasPipelinedRequest() {
		c.requestAwaited = true
	}
	return nil
}

// startRequest records that net/http has read a request's head.
func (c *Conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestOpen, c.requestComplete = true, false
	c.watch.start()
}

// startDepartureWatch reports whether a request is open. If so, the read that net/http starts now is its watch for the
// client's departure, which it starts only once the body has been read to its end: the request is complete. net/http no
// longer waits for a request on this connection, so an earlier eviction or abort, which would have ended that wait, is
// revoked.
func (c *Conn) startDepartureWatch() bool {
	if !c.completeOpenRequest() {
		return false
	}
	c.recordBytesRead()
	return true
}

// completeOpenRequest records that the open request is complete, and reports whether there is one. A complete request
// is not aborted.
func (c *Conn) completeOpenRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestOpen {
		c.requestComplete = true
		c.deadline.allowRevocation()
	}
	return c.requestOpen
}

// recordBytesRead records that bytes were read from the client, which revokes an eviction.
func (c *Conn) recordBytesRead() {
	if c.revokeEviction() {
		c.conns.evictionRevoked(c) // without c.mu, which is locked after Conns.mu
	}
}

// revokeEviction lets net/http read on if the connection was being evicted, unless the read was aborted, and reports
// whether it did. Bytes of a request have been read.
func (c *Conn) revokeEviction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted = true
	return c.deadline.revoke()
}

// isReadInterrupted reports whether net/http's wait for a request is being ended to evict the connection.
func (c *Conn) isReadInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline.isInterrupted()
}

func (c *Conn) hasRequestBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestStarted
}

// evictUnlessRequestStarted ends the wait for a request, unless one has started or has arrived and not been read:
// closing a connection with unread bytes resets it, and a client retries such a request only once. It reports whether
// the connection is being evicted.
func (c *Conn) evictUnlessRequestStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestStarted && !socketpeek.IsReadable(c.Conn) {
		c.deadline.interrupt()
	}
	return c.deadline.isInterrupted()
}

// abortRead ends the wait for the rest of a request, and reports whether it did. It does nothing if the request
// is complete, as a deadline in the past would end the departure watch instead, or if there are unread bytes, which
// may be the rest of the request.
func (c *Conn) abortRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestComplete || socketpeek.IsReadable(c.Conn) {
		return false
	}
	c.deadline.abort()
	return true
}

// status returns a snapshot of the connection's state. The caller holds conns.mu.
func (c *Conn) status() ConnStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnStatus{
		RemoteAddr: c.RemoteAddr(), Phase: c.activity.phase, RequestStarted: c.requestStarted,
		Departure: c.watch.departure, ReadAhead: c.readAhead.size(),
	}
}

// Write writes for net/http. The first write of a final response ends the open request. The state changes before the
// bytes are written, because the client may send its next request as soon as it has them. The next request counts as
// started if bytes of it have been read ahead. An interim response (net/http writes 100 Continue) leaves the request
// open.
func (c *Conn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 1")) {
		c.mu.Lock()
		c.requestStarted, c.requestOpen, c.requestComplete = c.readAhead.size() > 0, false, false
		c.mu.Unlock()
	}
	return c.Conn.Write(p)
}

// SendInterimResponse probes a client that has sent a FIN: if it has closed its socket, its kernel responds
// with a reset; if it has only shut down its sending side, it ignores the interim response and keeps waiting.
func (c *Conn) SendInterimResponse(timeout time.Duration) {
	c.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
		c.recordDeparture(Disconnected)
	}
}

// SetReadDeadline sets the read deadline for net/http. The zero time, which net/http and the front end set once a
// request has been read, also ends the read timeout of that request.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() {
		c.deadline.endRequest()
	}
	return c.deadline.set(t)
}

// Close closes the socket and removes the connection from its set, as it holds no descriptor any more.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.markClosed()
	c.conns.socketClosed(c)
	return err
}

// markClosed ends the counts of the connection in its set that do not depend on its phase.
func (c *Conn) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.markServed()
	c.countIncompleteHead()
}
