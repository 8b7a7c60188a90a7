package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"balancer"
)

// restFor is how long a connection rests after an answer before it carries another request. A second copy
// of the answer may come some milliseconds late, and nothing in it tells that it is no answer to the next
// request: that one's client would get another's body. One that comes during the rest closes the connection.
// It is the slack of the protocol's limits; a copy that is later still can't be told from an answer.
// The price is connections: as many more to a server as a node's calls end there during the rest.
const reuseDelay = 50 * time.Millisecond

const (
	maxBody             = 64 << 10 // the longest body of a request or an answer
	maxResponseOverhead = 16 << 10 // all of an answer but its body: heads, 1xx before them, chunks' sizes
)

// attempt is one send of a call to a server.
type attempt struct {
	ctx               context.Context
	cancel            context.CancelFunc
	call              *request
	number            int
	to                endpointInstance
	sent, deadline    time.Duration
	notAfter          time.Duration // it must not begin later: the servers discard its repeats no longer; 0: no such time
	begun             bool          // a byte of it may have been written. Guarded by call.mu
	ended             bool          // and its result is passed on
	heldUp            bool          // local trouble kept it from beginning for a while; read once it has ended
	outlivesHalfClose bool          // it goes on until its caller is known to be gone
}

// host is one life of a server at one address. A server that starts anew, or another at an address that
// one has left, must not be met over its predecessor's connections.
type endpointInstance struct {
	uid, address string
	bootMS       float64
}

// result is how an attempt ended.
type attemptOutcome struct {
	result      balancer.AttemptResult
	endedAt     time.Duration // when: for an answer, when its last byte was read
	body        []byte
	contentType string
}

// reply is what came back on a connection: a complete answer, or why there is none.
type upstreamReply struct {
	attemptOutcome
	endedByClose bool // nothing but the end of the connection told that it is complete
	err          error
}

// conn is a connection to a server. Its reader watches it for as long as it is open, so that one
// closed by the server leaves the idle ones at once.
type upstreamConn struct {
	net.Conn
	to         endpointInstance
	limited    *limitedReader
	reader     *bufio.Reader      // over in; empty between answers
	waiter     chan upstreamReply // the attempt on it takes one reply here; nil while idle. Guarded by backend.mu
	idleSince  time.Duration
	reusableAt time.Duration // when it may carry another request
	stage      exchangeStage // guarded by backend.mu
	closed     bool          // guarded by backend.mu
}

// stage is how far the request on a connection is.
type exchangeStage int

const (
	stageIdle exchangeStage = iota // no byte of a request is written: whatever comes in answers none
	stageWriting
	stageWritten // whole
)

// backend runs attempts over pools of kept connections, the last used first of those that have rested. http.Transport would
// send some requests again by itself, and does not tell whether the last byte was written.
type upstreamPool struct {
	clock               clock
	dial                dialFunc
	maxConns            int        // connections open or being opened
	descriptorAllowance func() int // for how many callers leave descriptors

	mu          sync.Mutex
	dialTimeout time.Duration // that a connection may take to come up
	idleTimeout time.Duration
	reuseDelay  time.Duration
	idle        map[endpointInstance][]*upstreamConn // the oldest first
	open        int
	connsMade   int
	endpoints   map[string]listEntry // the listed servers by uid
}

func newUpstreamPool(cfg Config, c clock, most int) *upstreamPool {
	b := &upstreamPool{
		clock: c, maxConns: most, idle: map[endpointInstance][]*upstreamConn{}, endpoints: map[string]listEntry{},
		descriptorAllowance: func() int { return most },
	}
	b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		b.mu.Lock()
		dialer := net.Dialer{Timeout: b.dialTimeout, KeepAlive: -1}
		b.mu.Unlock()
		return dialer.DialContext(ctx, network, address)
	}
	b.configure(cfg)
	return b
}

// configure takes over the times for connections; those that are open or being opened go by what they had.
func (b *upstreamPool) configure(cfg Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialTimeout = cfg.ConnectTimeout
	b.reuseDelay = min(reuseDelay, cfg.ConnIdle/4)
	// Closed a little before the server does, or a request might cross its close and end as a reset.
	b.idleTimeout = cfg.ConnIdle - cfg.ConnIdle/10
}

// sweepEvery is how often idle connections are looked at.
func (b *upstreamPool) sweepInterval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.idleTimeout/20, time.Millisecond)
}

// errNoRoom says that the node is out of descriptors, which is no server's fault.
var errNoDescriptor = errors.New("no descriptor left for a connection")

// run makes an attempt and tells how it ended. Its connection is closed by then, or idle again.
func (b *upstreamPool) do(a *attempt) attemptOutcome {
	ctx, cancel := context.WithTimeout(a.ctx, b.clock.until(a.deadline))
	defer cancel()
	r := b.roundTrip(ctx, a)
	if r.endedAt == 0 {
		r.endedAt = b.clock.now()
	}
	return r
}

func (b *upstreamPool) roundTrip(ctx context.Context, a *attempt) attemptOutcome {
	var (
		c      *upstreamConn
		waiter chan upstreamReply
	)
	text, wait, err := encodeRequest(a)
	if err != nil || b.remainingTime(a) == 0 {
		return attemptOutcome{result: balancer.NotSent}
	}
	for {
		waiter = make(chan upstreamReply, 1)
		var (
			fresh bool
			err   error
		)
		c, fresh, err = b.connect(ctx, a, waiter)
		switch {
		case errors.Is(err, errNoDescriptor), isLocalDialError(err):
			return attemptOutcome{result: balancer.NotSent}
		case err != nil && errors.Is(a.ctx.Err(), context.Canceled):
			return attemptOutcome{result: balancer.Cancelled}
		case err != nil:
			return attemptOutcome{result: balancer.ConnectFailed}
		}
		may := b.beginWrite(ctx, c, waiter, a)
		if may == mayWrite {
			break
		}
		switch {
		case errors.Is(a.ctx.Err(), context.Canceled):
			return attemptOutcome{result: balancer.Cancelled}
		case may == attemptObsolete:
			return attemptOutcome{result: balancer.NotSent}
		case fresh || ctx.Err() != nil:
			return attemptOutcome{result: balancer.ConnectFailed}
		}
	}
	// A timed-out or cancelled attempt closes its connection, which ends the wait below.
	stop := context.AfterFunc(ctx, func() { b.abandon(c, waiter) })
	defer stop()
	// The last thing before the write, so that no wait for a connection or a lock makes it too long.
	if !writeDeadlineValue(wait, b.remainingTime(a)) {
		b.abandon(c, waiter)
		return attemptOutcome{result: balancer.NotSent}
	}
	sent, err := c.Write(text)
	if err != nil {
		b.abandon(c, waiter)
	} else {
		b.noteWritten(c)
	}
	got := <-waiter
	switch {
	// The system tells of a reset once, to the write or to the read: after a failed write, what the reader
	// took for the end of the connection may have been a reset.
	case got.err == nil && !(got.endedByClose && err != nil):
		return got.attemptOutcome
	case errors.Is(a.ctx.Err(), context.Canceled):
		return attemptOutcome{result: balancer.Cancelled}
	case sent < len(text):
		// The server never got the last byte, so it has not begun: sending again is harmless.
		return attemptOutcome{result: balancer.ConnectFailed}
	case ctx.Err() != nil:
		return attemptOutcome{result: balancer.TimedOut}
	}
	return attemptOutcome{result: balancer.ConnectionLost}
}

// encode writes the request to a server. Method, target, body, id and idempotency key pass through unchanged.
// wait is the part of text that holds the value of X-Deadline, to be filled in by putWait.
func encodeRequest(a *attempt) (text, wait []byte, err error) {
	h := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {a.call.id},
		"X-Deadline":   {strings.Repeat("0", deadlineValueWidth)},
	}
	if a.call.key != "" {
		h["Idempotency-Key"] = []string{a.call.key}
	}
	if a.call.contentType != "" {
		h["Content-Type"] = []string{a.call.contentType}
	}
	r := http.Request{
		Method: a.call.method, URL: &url.URL{Opaque: a.call.target}, Host: "backend.local",
		Header: h, ContentLength: int64(len(a.call.body)),
	}
	if len(a.call.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(a.call.body))
	}
	// The complete request in one write: what Write returns tells whether its last byte left.
	var buf bytes.Buffer
	buf.Grow(512 + len(a.call.body))
	if err := r.Write(&buf); err != nil {
		return nil, nil, fmt.Errorf("request: %w", err)
	}
	text = buf.Bytes()
	const field = "\r\nX-Deadline: " // no value before it can hold a line end
	at := bytes.Index(text, []byte(field)) + len(field)
	return text, text[at : at+deadlineValueWidth], nil
}

// watch starts the reader of a connection that an attempt is about to use.
func (b *upstreamPool) startReader(nc net.Conn, to endpointInstance, waiter chan upstreamReply) *upstreamConn {
	in := &limitedReader{Reader: nc}
	c := &upstreamConn{Conn: nc, to: to, limited: in, reader: bufio.NewReader(in), waiter: waiter}
	go b.readLoop(c)
	return c
}

// permission says whether the first byte of a request may be written.
type writePermission int

const (
	mayWrite        writePermission = iota
	useAnotherConn                  // not on this connection, which is closed
	attemptObsolete                 // not at all: this attempt has become pointless or harmful while it waited
)

// begin has a request written next, unless the server has closed the connection or said something
// meanwhile, which can be no answer to it: then the connection is closed, and another will do. The list,
// the caller and the clock may have moved on while the connection came up, so this is where they are
// asked: nothing is begun at a server that drains, is gone or started anew, for a caller that left, or
// when the servers discard no repeats any more. The connection itself is kept for others then.
func (b *upstreamPool) beginWrite(ctx context.Context, c *upstreamConn, waiter chan upstreamReply, a *attempt) writePermission {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter != waiter {
		return useAnotherConn
	}
	overdue := a.notAfter > 0 && b.clock.now() >= a.notAfter || b.remainingTime(a) == 0
	switch {
	case hasUnreadOrClosed(c.Conn):
		c.waiter = nil
		b.closeConn(c)
		return useAnotherConn
	case ctx.Err() != nil || overdue || !b.isReady(c.to) || !a.call.beginAttempt(a):
		c.waiter, c.idleSince = nil, b.clock.now()
		b.putIdle(c)
		if ctx.Err() != nil {
			return useAnotherConn // the time is over, or the attempt was called off
		}
		return attemptObsolete
	}
	c.stage = stageWriting
	return mayWrite
}

// serves says that the list has a server as ready, in the same life and at the same address. The caller
// holds mu.
func (b *upstreamPool) isReady(h endpointInstance) bool {
	t, listed := b.endpoints[h.uid]
	return listed && t.State == balancer.Ready && t.instance() == h
}

// take returns the idle connection used last of those that have rested, or nil once there is room to open
// one. When short, the connection idle for longest is closed first.
func (b *upstreamPool) takeIdle(to endpointInstance, waiter chan upstreamReply) (*upstreamConn, error) {
	most := min(b.maxConns, b.descriptorAllowance()) // before the lock: callers ask for connections under theirs
	b.mu.Lock()
	defer b.mu.Unlock()
	free, now := b.idle[to], b.clock.now()
	for i := len(free) - 1; i >= 0; i-- {
		if c := free[i]; now >= c.reusableAt {
			b.idle[to] = slices.Delete(free, i, i+1)
			c.waiter, c.stage = waiter, stageIdle
			return c, nil
		}
	}
	if b.open >= most {
		var oldest *upstreamConn
		for _, free := range b.idle {
			if len(free) > 0 && (oldest == nil || free[0].idleSince < oldest.idleSince) {
				oldest = free[0]
			}
		}
		if oldest == nil {
			return nil, errNoDescriptor
		}
		b.closeConn(oldest)
	}
	b.open++
	b.connsMade++
	return nil, nil
}

// drop closes a connection and forgets it. The caller holds mu.
func (b *upstreamPool) closeConn(c *upstreamConn) {
	if c.closed {
		return
	}
	c.closed = true
	b.open--
	c.Close()
	free := b.idle[c.to]
	for i, o := range free {
		if o == c {
			b.idle[c.to] = append(free[:i], free[i+1:]...)
			break
		}
	}
	if len(b.idle[c.to]) == 0 {
		delete(b.idle, c.to)
	}
}

// giveUp closes a connection under the attempt that waits on it, unless its reply has come: then the
// connection may serve another attempt already.
func (b *upstreamPool) abandon(c *upstreamConn, waiter chan upstreamReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter == waiter {
		c.waiter = nil
		b.closeConn(c)
		waiter <- upstreamReply{err: context.Canceled}
	}
}

// connections is how many are open or being opened.
func (b *upstreamPool) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// wrote notes that a request is written whole, and frees the connection if it is answered already.
func (b *upstreamPool) noteWritten(c *upstreamConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.stage = stageWritten
	if c.waiter == nil && !c.closed {
		b.putIdle(c)
	}
}

// rest keeps a connection for the next attempt, if its server is still the one that it was made to. The
// caller holds mu.
func (b *upstreamPool) putIdle(c *upstreamConn) {
	if !b.isReady(c.to) {
		b.closeConn(c)
		return
	}
	b.idle[c.to] = append(b.idle[c.to], c)
}

// read watches a connection: it hands each answer to the attempt that waits for it, and drops the
// connection when it ends or says something that no request asked for. Until a request is being
// written it leaves what comes to the kernel, where begin sees it.
func (b *upstreamPool) readLoop(c *upstreamConn) {
	for keep := true; keep; {
		awaitReadable(c.Conn)
		b.mu.Lock()
		asked := c.waiter != nil && c.stage != stageIdle
		b.mu.Unlock()
		r := upstreamReply{err: errUnsolicited}
		if asked {
			r, keep = b.readResponse(c)
		} else {
			keep = false
		}
		b.mu.Lock()
		waiter := c.waiter
		c.waiter = nil
		if waiter != nil && keep {
			c.idleSince, c.reusableAt = r.endedAt, r.endedAt+b.reuseDelay
			if c.stage == stageWritten { // an answer that came early must not let another request into this one
				b.putIdle(c)
			}
		} else {
			keep = false
			b.closeConn(c)
		}
		b.mu.Unlock()
		if waiter != nil {
			waiter <- r
		}
	}
}

var errUnsolicited = errors.New("the server spoke or closed before it was asked")

// rawConn is the connection below the runtime's, or nil if there is none.
func rawConn(nc net.Conn) syscall.RawConn {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// peek looks into the kernel's buffer of a connection: whether its other side has said something that
// was not read yet, or has closed.
func hasUnread(fd uintptr) bool { return peekBy(syscall.Recvfrom, fd) }

// peekBy is peek by a given recvfrom. An interrupted call says nothing of the connection and is made again:
// the runtime's poller tells of a change only once, so that what is missed here would be waited for in vain.
func peekBy(recv func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error), fd uintptr) bool {
	var one [1]byte
	for {
		_, _, err := recv(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return err != syscall.EAGAIN
		}
	}
}

// awaitBytes waits until a connection has bytes to read, has been closed by either side, or has failed.
func awaitReadable(nc net.Conn) {
	if raw := rawConn(nc); raw != nil {
		raw.Read(hasUnread) // an error shows at the next read
	}
}

// spokenOrClosed asks the same without waiting.
func hasUnreadOrClosed(nc net.Conn) (is bool) {
	raw := rawConn(nc)
	if raw == nil {
		return false
	}
	// Control and not Read: the connection's reader holds the lock that Read takes.
	err := raw.Control(func(fd uintptr) { is = hasUnread(fd) })
	return is || err != nil
}

// servers follows the list: idle connections to a server that left, drains or started anew are closed. Of a
// list of changes, only the entries that it names are looked at.
func (b *upstreamPool) updateEndpoints(targets []listEntry, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range targets {
		b.applyEntry(t)
	}
	if full {
		b.removeUnlisted(targets)
	}
}

// follow takes over one entry of the list. The caller holds mu.
func (b *upstreamPool) applyEntry(t listEntry) {
	old, known := b.endpoints[t.ID]
	if known && (t.State != balancer.Ready || t.instance() != old.instance()) {
		b.closeIdle(old.instance())
	}
	if t.State == balancer.Removed {
		delete(b.endpoints, t.ID)
	} else {
		b.endpoints[t.ID] = t
	}
}

// dropUnnamed forgets the servers that a complete list does not name. The caller holds mu.
func (b *upstreamPool) removeUnlisted(targets []listEntry) {
	named := make(map[string]bool, len(targets))
	for _, t := range targets {
		named[t.ID] = true
	}
	for id, t := range b.endpoints {
		if !named[id] {
			b.closeIdle(t.instance())
			delete(b.endpoints, id)
		}
	}
}

// dropIdle closes the idle connections to a host. The caller holds mu.
func (b *upstreamPool) closeIdle(h endpointInstance) {
	for free := b.idle[h]; len(free) > 0; free = b.idle[h] {
		b.closeConn(free[len(free)-1])
	}
}

// sweep closes connections that have been idle for too long, until ctx ends.
func (b *upstreamPool) closeExpired(ctx context.Context) {
	for {
		if sleep(ctx, b.sweepInterval()); ctx.Err() != nil {
			return
		}
		b.mu.Lock()
		for _, free := range b.idle {
			for len(free) > 0 && b.clock.now()-free[0].idleSince >= b.idleTimeout {
				c := free[0]
				b.closeConn(c)
				free = b.idle[c.to]
			}
		}
		b.mu.Unlock()
	}
}
