package downstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"basaltdrum/internal/http1"
	"basaltdrum/internal/socketpeek"
)

// Conn is a connection from a client. It sits between net/http and the socket, and adds four
// things: the framing of the requests (http1.RequestScanner), the watch for the client's departure while a request
// is open (departure.go), a read timeout for each request, and eviction without the loss of a request.
//
// Eviction does not close the connection. net/http reads the first bytes of a request some time before it
// reports StateActive, and a Close in between would lose that request. Instead, a read deadline in the past
// ends net/http's wait for a request. If a request has arrived by then, either it is read and answered, or it
// is left unread and its client may safely send it again. Whether a request has begun is tracked here and
// not taken from ConnState: behind a response, net/http may read the first byte of a pipelined request before
// it reports StateIdle.
type Conn struct {
	net.Conn
	conns       *Conns
	activity    activity      // guarded by conns.mu
	readTimeout time.Duration // for reading the rest of a request that has begun; 0: no limit

	mu              sync.Mutex
	requests        http1.RequestScanner
	requestBegun    bool // bytes of a request were read since the last response
	requestOpen     bool // a request's head is read and its response has not begun
	requestComplete bool // the body of the open request is read to its end
	readAhead       readAheadBuffer
	departure       departureWatch
	deadline        time.Time // the read deadline that net/http wants
	requestDeadline time.Time // when readTimeout expires; zero while no request is being read
	readEnded       bool      // the read deadline is in the past, to evict the connection
	readAborted     bool      // readEnded holds even if more bytes arrive
}

// pastDeadline is a deadline that ends a wait at once. It is so far back that a step of the wall clock can't
// bring it into the future.
var pastDeadline = time.Now().Add(-time.Hour)

// newConn returns a connection of a set. readTimeout is the time for reading the rest of a request that has begun;
// 0: no limit.
func newConn(nc net.Conn, conns *Conns, readTimeout time.Duration) *Conn {
	return &Conn{
		Conn: nc, conns: conns, readTimeout: readTimeout, readAhead: readAheadBuffer{budget: &conns.readAheadBudget},
	}
}

type connKey struct{}

// NewContext is the ConnContext of the http.Server: it makes the connection available to the handler.
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection on which a request came, for the request's context.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read reads for net/http. While a request is open, net/http watches for the client's departure by a read of
// one byte, which any pipelined byte would end; that read is replaced by watchForDeparture.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.beginWatch() { // any other read by net/http fills a longer buffer
		return 0, c.watchForDeparture()
	}
	if n := c.takeReadAhead(p); n > 0 {
		return n, nil
	}
	c.limitRequestTime()
	n, err := c.Conn.Read(p)
	c.scan(p[:n])
	c.noteRead(n, err)
	return n, err
}

// scan follows the framing of bytes that were just read from the kernel.
func (c *Conn) scan(p []byte) {
	at := c.conns.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.Feed(p, at)
}

// TakeHead returns the scanner's head of the request that net/http has just read the head of, or the error
// in its framing.
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

// HasPipelinedRequest reports whether another request was read behind the complete body of the current one.
func (c *Conn) HasPipelinedRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.HasPipelinedRequest()
}

// takeReadAhead moves bytes that were read ahead into p and returns how many.
func (c *Conn) takeReadAhead(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAhead.take(p)
}

// releaseReadAhead drops the bytes that were read ahead.
func (c *Conn) releaseReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead.release()
}

// limitRequestTime gives the rest of a request that has begun its own read timeout. The timeouts of net/http
// do not: it waits for a request's first four bytes as long as for an idle connection, and counts the time
// of a connection's first request from the connection's start.
func (c *Conn) limitRequestTime() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readTimeout <= 0 || !c.requestDeadline.IsZero() || !c.requests.MidRequest() {
		return
	}
	c.requestDeadline = time.Now().Add(c.readTimeout)
	_ = c.setReadDeadline(c.deadline) // if the connection is closed, the read that follows reports it
}

// beginRequest notes that net/http has read a request's head.
func (c *Conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestOpen, c.requestComplete = true, false
	c.departure.begin()
}

// beginWatch reports whether a request is open, so that the read that net/http begins now is its watch for
// the client's departure. net/http begins that watch only once the body has been read to its end, so the
// request is complete. No wait for another request is left to be interrupted, and so an earlier eviction or
// abort of this connection is void.
func (c *Conn) beginWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestOpen {
		c.requestComplete, c.readAborted = true, false
		c.noteBytes()
	}
	return c.requestOpen
}

// noteBytes notes that bytes were read from the client, which revokes an eviction. c.mu is held.
func (c *Conn) noteBytes() {
	c.requestBegun = true
	if c.readEnded && !c.readAborted {
		c.readEnded = false
		c.Conn.SetReadDeadline(c.deadline)
	}
}

func (c *Conn) hasRequestBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestBegun
}

// evictIfQuiet ends the wait for a request, unless one has begun, including one that has arrived and not been
// read: closing over unread bytes resets the connection, and a client retries such a request only once. It
// reports whether the connection is being evicted.
func (c *Conn) evictIfQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestBegun && !socketpeek.IsReadable(c.Conn) {
		c.readEnded = true
		c.Conn.SetReadDeadline(pastDeadline)
	}
	return c.readEnded
}

// abortRead ends the wait for the rest of a request, and reports whether it did. It does not if the request
// is complete, when a deadline in the past would end the departure watch instead, or if bytes have arrived
// that nobody has read, which may be the rest.
func (c *Conn) abortRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestComplete || socketpeek.IsReadable(c.Conn) {
		return false
	}
	c.readEnded, c.readAborted = true, true
	c.Conn.SetReadDeadline(pastDeadline)
	return true
}

// status returns what the connection is doing. conns.mu is held.
func (c *Conn) status() ConnStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnStatus{
		RemoteAddr: c.RemoteAddr(), Phase: c.activity.phase, RequestStarted: c.requestBegun,
		Departure: c.departure.known, ReadAhead: c.readAhead.size(),
	}
}

// Write writes for net/http. The first write of a final response ends the open request. It does so before
// the bytes are written, because the client may send its next request as soon as it has them; bytes of that
// request that were read ahead already count as begun. An interim response (net/http writes 100 Continue)
// leaves the request open.
func (c *Conn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 1")) {
		c.mu.Lock()
		c.requestBegun, c.requestOpen, c.requestComplete = c.readAhead.size() > 0, false, false
		c.mu.Unlock()
	}
	return c.Conn.Write(p)
}

// SendInterimResponse probes a client that has sent a FIN: if it has closed its socket, its kernel responds
// with a reset; if it has only shut down its sending side, it skips the response and waits on.
func (c *Conn) SendInterimResponse(timeout time.Duration) {
	c.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
		c.noteDeparture(Disconnected)
	}
}

// SetReadDeadline sets the deadline that net/http wants. The zero time, which net/http and the frontend set
// once a request has been read, also ends that request's own read timeout.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() {
		c.requestDeadline = time.Time{}
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the read deadline, unless the connection is being evicted. While a request is being
// read, its own deadline replaces the wanted one, so that a request which begins shortly before the idle
// timeout has as much time as any other. c.mu is held.
func (c *Conn) setReadDeadline(t time.Time) error {
	if !c.requestDeadline.IsZero() {
		t = c.requestDeadline
	}
	c.deadline = t
	if c.readEnded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite is what net/http looks for to close a connection with unread request bytes in two steps: it
// sends a FIN, and closes some time later. A close at once would reset the connection, and the reset could
// discard the response before the client has read it.
func (c *Conn) CloseWrite() error {
	c.conns.startLingering(c)
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}
