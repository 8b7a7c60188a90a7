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
const restFor = 50 * time.Millisecond

const (
	maxBody   = 64 << 10 // the longest body of a request or an answer
	maxAnswer = 16 << 10 // all of an answer but its body: heads, 1xx before them, chunks' sizes
)

// attempt is one send of a call to a server.
type attempt struct {
	ctx            context.Context
	cancel         context.CancelFunc
	call           *call
	n              int
	to             host
	sent, deadline time.Duration
	before         time.Duration // it must not begin later: the servers discard its repeats no longer; 0: no such time
	begun          bool          // a byte of it may have been written. Guarded by call.mu
	ended          bool          // and its result is passed on
	heldUp         bool          // local trouble kept it from beginning for a while; read once it has ended
	kept           bool          // it goes on until its caller is known to be gone
}

// host is one life of a server at one address. A server that starts anew, or another at an address that
// one has left, must not be met over its predecessor's connections.
type host struct {
	server, endpoint string
	bootMS           float64
}

// result is how an attempt ended.
type result struct {
	ending      balancer.AttemptResult
	at          time.Duration // when: for an answer, when its last byte was read
	body        []byte
	contentType string
}

// reply is what came back on a connection: a complete answer, or why there is none.
type reply struct {
	result
	endedByClose bool // nothing but the end of the connection told that it is complete
	err          error
}

// conn is a connection to a server. Its reader watches it for as long as it is open, so that one
// closed by the server leaves the idle ones at once.
type conn struct {
	net.Conn
	to     host
	in     *bounded
	br     *bufio.Reader // over in; empty between answers
	waiter chan reply    // the attempt on it takes one reply here; nil while idle. Guarded by backend.mu
	since  time.Duration
	rested time.Duration // when it may carry another request
	stage  stage         // guarded by backend.mu
	dead   bool          // guarded by backend.mu
}

// stage is how far the request on a connection is.
type stage int

const (
	resting stage = iota // no byte of a request is written: whatever comes in answers none
	writing
	written // whole
)

// backend runs attempts over pools of kept connections, the last used first of those that have rested. http.Transport would
// send some requests again by itself, and does not tell whether the last byte was written.
type backend struct {
	clock clock
	dial  dialFunc
	most  int        // connections open or being opened
	left  func() int // for how many callers leave descriptors

	mu      sync.Mutex
	dialFor time.Duration // that a connection may take to come up
	idleFor time.Duration
	restFor time.Duration
	idle    map[host][]*conn // the oldest first
	open    int
	made    int
	seen    map[string]target // the listed servers by uid
}

func newBackend(cfg Config, c clock, most int) *backend {
	b := &backend{clock: c, most: most, idle: map[host][]*conn{}, seen: map[string]target{},
		left: func() int { return most }}
	b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		b.mu.Lock()
		dialer := net.Dialer{Timeout: b.dialFor, KeepAlive: -1}
		b.mu.Unlock()
		return dialer.DialContext(ctx, network, address)
	}
	b.configure(cfg)
	return b
}

// configure takes over the times for connections; those that are open or being opened go by what they had.
func (b *backend) configure(cfg Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialFor = cfg.ConnectTimeout
	b.restFor = min(restFor, cfg.ConnIdle/4)
	// Closed a little before the server does, or a request might cross its close and end as a reset.
	b.idleFor = cfg.ConnIdle - cfg.ConnIdle/10
}

// sweepEvery is how often idle connections are looked at.
func (b *backend) sweepEvery() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.idleFor/20, time.Millisecond)
}

// errNoRoom says that the node is out of descriptors, which is no server's fault.
var errNoRoom = errors.New("no descriptor left for a connection")

// run makes an attempt and tells how it ended. Its connection is closed by then, or idle again.
func (b *backend) run(a *attempt) result {
	ctx, cancel := context.WithTimeout(a.ctx, b.clock.until(a.deadline))
	defer cancel()
	r := b.try(ctx, a)
	if r.at == 0 {
		r.at = b.clock.now()
	}
	return r
}

func (b *backend) try(ctx context.Context, a *attempt) result {
	var (
		c      *conn
		waiter chan reply
	)
	text, wait, err := encode(a)
	if err != nil || b.waitToTell(a) == 0 {
		return result{ending: balancer.NotSent}
	}
	for {
		waiter = make(chan reply, 1)
		var (
			fresh bool
			err   error
		)
		c, fresh, err = b.connect(ctx, a, waiter)
		switch {
		case errors.Is(err, errNoRoom), isLocalTrouble(err):
			return result{ending: balancer.NotSent}
		case err != nil && errors.Is(a.ctx.Err(), context.Canceled):
			return result{ending: balancer.Cancelled}
		case err != nil:
			return result{ending: balancer.ConnectFailed}
		}
		may := b.begin(ctx, c, waiter, a)
		if may == mayWrite {
			break
		}
		switch {
		case errors.Is(a.ctx.Err(), context.Canceled):
			return result{ending: balancer.Cancelled}
		case may == mayNot:
			return result{ending: balancer.NotSent}
		case fresh || ctx.Err() != nil:
			return result{ending: balancer.ConnectFailed}
		}
	}
	// A timed-out or cancelled attempt closes its connection, which ends the wait below.
	stop := context.AfterFunc(ctx, func() { b.giveUp(c, waiter) })
	defer stop()
	// The last thing before the write, so that no wait for a connection or a lock makes it too long.
	if !putWait(wait, b.waitToTell(a)) {
		b.giveUp(c, waiter)
		return result{ending: balancer.NotSent}
	}
	sent, err := c.Write(text)
	if err != nil {
		b.giveUp(c, waiter)
	} else {
		b.wrote(c)
	}
	got := <-waiter
	switch {
	// The system tells of a reset once, to the write or to the read: after a failed write, what the reader
	// took for the end of the connection may have been a reset.
	case got.err == nil && !(got.endedByClose && err != nil):
		return got.result
	case errors.Is(a.ctx.Err(), context.Canceled):
		return result{ending: balancer.Cancelled}
	case sent < len(text):
		// The server never got the last byte, so it has not begun: sending again is harmless.
		return result{ending: balancer.ConnectFailed}
	case ctx.Err() != nil:
		return result{ending: balancer.TimedOut}
	}
	return result{ending: balancer.ConnectionLost}
}

// encode writes the request to a server. Method, target, body, id and idempotency key pass through unchanged.
// wait is the part of text that holds the value of X-Deadline, to be filled in by putWait.
func encode(a *attempt) (text, wait []byte, err error) {
	h := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {a.call.id},
		"X-Deadline":   {strings.Repeat("0", waitWidth)},
	}
	if a.call.key != "" {
		h["Idempotency-Key"] = []string{a.call.key}
	}
	if a.call.contentType != "" {
		h["Content-Type"] = []string{a.call.contentType}
	}
	r := http.Request{Method: a.call.method, URL: &url.URL{Opaque: a.call.target}, Host: "backend.local",
		Header: h, ContentLength: int64(len(a.call.body))}
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
	return text, text[at : at+waitWidth], nil
}

// watch starts the reader of a connection that an attempt is about to use.
func (b *backend) watch(nc net.Conn, to host, waiter chan reply) *conn {
	in := &bounded{Reader: nc}
	c := &conn{Conn: nc, to: to, in: in, br: bufio.NewReader(in), waiter: waiter}
	go b.read(c)
	return c
}

// permission says whether the first byte of a request may be written.
type permission int

const (
	mayWrite permission = iota
	another             // not on this connection, which is closed
	mayNot              // not at all: this attempt has become pointless or harmful while it waited
)

// begin has a request written next, unless the server has closed the connection or said something
// meanwhile, which can be no answer to it: then the connection is closed, and another will do. The list,
// the caller and the clock may have moved on while the connection came up, so this is where they are
// asked: nothing is begun at a server that drains, is gone or started anew, for a caller that left, or
// when the servers discard no repeats any more. The connection itself is kept for others then.
func (b *backend) begin(ctx context.Context, c *conn, waiter chan reply, a *attempt) permission {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter != waiter {
		return another
	}
	overdue := a.before > 0 && b.clock.now() >= a.before || b.waitToTell(a) == 0
	switch {
	case spokenOrClosed(c.Conn):
		c.waiter = nil
		b.drop(c)
		return another
	case ctx.Err() != nil || overdue || !b.serves(c.to) || !a.call.begin(a):
		c.waiter, c.since = nil, b.clock.now()
		b.rest(c)
		if ctx.Err() != nil {
			return another // the time is over, or the attempt was called off
		}
		return mayNot
	}
	c.stage = writing
	return mayWrite
}

// serves says that the list has a server as ready, in the same life and at the same address. The caller
// holds mu.
func (b *backend) serves(h host) bool {
	t, listed := b.seen[h.server]
	return listed && t.State == balancer.Ready && t.host() == h
}

// take returns the idle connection used last of those that have rested, or nil once there is room to open
// one. When short, the connection idle for longest is closed first.
func (b *backend) take(to host, waiter chan reply) (*conn, error) {
	most := min(b.most, b.left()) // before the lock: callers ask for connections under theirs
	b.mu.Lock()
	defer b.mu.Unlock()
	free, now := b.idle[to], b.clock.now()
	for i := len(free) - 1; i >= 0; i-- {
		if c := free[i]; now >= c.rested {
			b.idle[to] = slices.Delete(free, i, i+1)
			c.waiter, c.stage = waiter, resting
			return c, nil
		}
	}
	if b.open >= most {
		var oldest *conn
		for _, free := range b.idle {
			if len(free) > 0 && (oldest == nil || free[0].since < oldest.since) {
				oldest = free[0]
			}
		}
		if oldest == nil {
			return nil, errNoRoom
		}
		b.drop(oldest)
	}
	b.open++
	b.made++
	return nil, nil
}

// drop closes a connection and forgets it. The caller holds mu.
func (b *backend) drop(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
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
func (b *backend) giveUp(c *conn, waiter chan reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter == waiter {
		c.waiter = nil
		b.drop(c)
		waiter <- reply{err: context.Canceled}
	}
}

// connections is how many are open or being opened.
func (b *backend) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// wrote notes that a request is written whole, and frees the connection if it is answered already.
func (b *backend) wrote(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.stage = written
	if c.waiter == nil && !c.dead {
		b.rest(c)
	}
}

// rest keeps a connection for the next attempt, if its server is still the one that it was made to. The
// caller holds mu.
func (b *backend) rest(c *conn) {
	if !b.serves(c.to) {
		b.drop(c)
		return
	}
	b.idle[c.to] = append(b.idle[c.to], c)
}

// read watches a connection: it hands each answer to the attempt that waits for it, and drops the
// connection when it ends or says something that no request asked for. Until a request is being
// written it leaves what comes to the kernel, where begin sees it.
func (b *backend) read(c *conn) {
	for keep := true; keep; {
		awaitBytes(c.Conn)
		b.mu.Lock()
		asked := c.waiter != nil && c.stage != resting
		b.mu.Unlock()
		r := reply{err: errUnasked}
		if asked {
			r, keep = b.readAnswer(c)
		} else {
			keep = false
		}
		b.mu.Lock()
		waiter := c.waiter
		c.waiter = nil
		if waiter != nil && keep {
			c.since, c.rested = r.at, r.at+b.restFor
			if c.stage == written { // an answer that came early must not let another request into this one
				b.rest(c)
			}
		} else {
			keep = false
			b.drop(c)
		}
		b.mu.Unlock()
		if waiter != nil {
			waiter <- r
		}
	}
}

var errUnasked = errors.New("the server spoke or closed before it was asked")

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
func peek(fd uintptr) bool { return peekBy(syscall.Recvfrom, fd) }

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
func awaitBytes(nc net.Conn) {
	if raw := rawConn(nc); raw != nil {
		raw.Read(peek) // an error shows at the next read
	}
}

// spokenOrClosed asks the same without waiting.
func spokenOrClosed(nc net.Conn) (is bool) {
	raw := rawConn(nc)
	if raw == nil {
		return false
	}
	// Control and not Read: the connection's reader holds the lock that Read takes.
	err := raw.Control(func(fd uintptr) { is = peek(fd) })
	return is || err != nil
}

// servers follows the list: idle connections to a server that left, drains or started anew are closed. Of a
// list of changes, only the entries that it names are looked at.
func (b *backend) servers(targets []target, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range targets {
		b.follow(t)
	}
	if full {
		b.dropUnnamed(targets)
	}
}

// follow takes over one entry of the list. The caller holds mu.
func (b *backend) follow(t target) {
	old, known := b.seen[t.ID]
	if known && (t.State != balancer.Ready || t.host() != old.host()) {
		b.dropIdle(old.host())
	}
	if t.State == balancer.Removed {
		delete(b.seen, t.ID)
	} else {
		b.seen[t.ID] = t
	}
}

// dropUnnamed forgets the servers that a complete list does not name. The caller holds mu.
func (b *backend) dropUnnamed(targets []target) {
	named := make(map[string]bool, len(targets))
	for _, t := range targets {
		named[t.ID] = true
	}
	for id, t := range b.seen {
		if !named[id] {
			b.dropIdle(t.host())
			delete(b.seen, id)
		}
	}
}

// dropIdle closes the idle connections to a host. The caller holds mu.
func (b *backend) dropIdle(h host) {
	for free := b.idle[h]; len(free) > 0; free = b.idle[h] {
		b.drop(free[len(free)-1])
	}
}

// sweep closes connections that have been idle for too long, until ctx ends.
func (b *backend) sweep(ctx context.Context) {
	for {
		if sleep(ctx, b.sweepEvery()); ctx.Err() != nil {
			return
		}
		b.mu.Lock()
		for _, free := range b.idle {
			for len(free) > 0 && b.clock.now()-free[0].since >= b.idleFor {
				c := free[0]
				b.drop(c)
				free = b.idle[c.to]
			}
		}
		b.mu.Unlock()
	}
}
