package node

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// graces tell how long a caller's connection is spared, when there are too many, in each of the states in
// which it holds a place and no request is open on it.
type gracePeriods struct{ lingering, newConn, partialRequest, idle time.Duration }

// pressing shortens the graces while descriptors are about to run out.
const pressureDivisor = 5

// A good caller sends its request as soon as it has connected, and in one piece; one idle for a moment may
// meet its next request on the way.
func defaultGracePeriods() gracePeriods {
	return gracePeriods{
		lingering: 50 * time.Millisecond, newConn: 100 * time.Millisecond, partialRequest: time.Second,
		idle: 500 * time.Millisecond,
	}
}

// callers are the callers' connections, within their share of the node's descriptors. Whoever holds a
// place without a request makes room first; only if nobody does, requests are refused.
type downstreamConns struct {
	clock           clock
	capacity        int        // descriptors for callers and servers together
	upstreamReserve int        // of these the servers' connections may always have
	upstreamCount   func() int // how many they have
	rejectReserve   int        // descriptors beyond room for callers whose requests are read only to be refused

	readAheadLimit    int64        // bytes that all may send ahead together
	readAheadReserved atomic.Int64 // bytes reserved for that

	mu           sync.Mutex
	conns        map[*downstreamConn]struct{}
	evicting     int // let go and not closed yet
	active       int // with a request open
	gracePeriods gracePeriods
	counts       downstreamCounts
}

// callerCounts tell, for the log, what became of connections.
type downstreamCounts struct{ Accepted, AcceptFailed, Evicted, Rejected, ClosedUnread int }

// activity is what a connection does, and since when.
type connActivity struct {
	phase   connPhase
	since   time.Duration
	evicted bool // let go, and counted as leaving
}

type connPhase int

const (
	phaseNew       connPhase = iota // new, no request read
	phaseReading                    // a request's head is read, its body may not be
	phaseActive                     // a request is with the module
	phaseIdle                       // answered
	phaseLingering                  // answered for good; what still comes is thrown away
)

// newCallers takes the node's memory in bytes, of which what callers send ahead may fill a share.
func newDownstreamConns(c clock, room, spare int, memory int64, servers func() int) *downstreamConns {
	return &downstreamConns{
		clock: c, readAheadLimit: memory / readAheadMemoryShare, capacity: room, upstreamReserve: room / 4, upstreamCount: servers, rejectReserve: spare,
		conns: map[*downstreamConn]struct{}{}, gracePeriods: defaultGracePeriods(),
	}
}

// keepAhead reserves bytes for what a caller sends ahead, or gives some back.
func (s *downstreamConns) reserveReadAhead(n int) bool {
	if s.readAheadReserved.Add(int64(n)) > s.readAheadLimit && n > 0 {
		s.readAheadReserved.Add(int64(-n))
		return false
	}
	return true
}

// most is how many connections callers may hold now: what servers leave. The caller holds mu.
func (s *downstreamConns) limit() int {
	return max(s.capacity/2, s.capacity-max(s.upstreamReserve, s.upstreamCount()))
}

// callerConn is a caller's connection that can be let go while it waits for a request, and only then.
//
// Close, in the gap between net/http's read of a request and its report of StateActive, would lose
// that request. A read deadline in the past ends the wait, or comes too late for it: the request is
// then either read and answered, or left unread, and its client sends it again. Whether one has
// begun to be read is noted here, since net/http reads its first byte early when the client is quick:
// behind an answer, before it reports StateIdle.
type downstreamConn struct {
	net.Conn
	mu                sync.Mutex
	requestBegun      bool // bytes were read since the last answer
	readEnded         bool
	readAborted       bool      // leaving, whatever still comes
	deadline          time.Time // as net/http wants it
	serving           bool      // a request's head is read, and it is not answered
	complete          bool      // and its body is read to the end as well
	readAhead         []byte    // what came meanwhile, to be read once that is answered
	readAheadReserved int       // bytes reserved for ahead
	departed          departure
	caughtUp          chan struct{} // closed once the watch beside the request has read all that had come
	watchEnded        chan struct{} // closed once that watch has ended
	departureChanged  chan struct{} // gets one when departed changes
	requests          requestScanner
	readTimeout       time.Duration // for reading the rest of a request that has begun; 0: none
	requestDeadline   time.Time     // when that ends; zero while no request is being read

	conns        *downstreamConns
	connActivity // guarded by callers.mu
}

// departure is what is known of a caller's leaving while its request waits. The greater holds.
type departure int

const (
	present      departure = iota
	unobservable           // too much is sent ahead to be kept, so its leaving can't be seen
	halfClosed             // it sends no more; whether it still reads is not known
	disconnected           // it has reset its connection
)

// aheadStep is the least that is kept of what a caller sends ahead, in bytes.
const readAheadStep = 4 << 10

// aheadEach is how much one caller may send ahead, in bytes: the longest request that there is.
const readAheadPerConn = maxHeader + maxBody

// aheadShare is the part of the node's memory that all callers together may fill with what they send ahead.
const readAheadMemoryShare = 16

// errUnwatched ends the watch for a caller's leaving.
var errReadAheadFull = errors.New("too much is sent ahead")

// Read watches for the caller's leaving while a request waits: net/http does so by a read of one byte,
// which any byte that comes early would end.
func (c *downstreamConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.beginWatch() { // any other read by net/http fills a buffer
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

// scan follows the framing of what was just read from the kernel.
func (c *downstreamConn) scan(p []byte) {
	at := c.conns.clock.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.feed(p, at)
}

// takeHead returns what is known of the request that net/http has just read the head of, or the error in
// its framing.
func (c *downstreamConn) takeHead(r *http.Request) (requestHead, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.take(r)
}

// bodyError is the error in the framing of the body that net/http has just read.
func (c *downstreamConn) bodyError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.bodyError()
}

// limitReading gives the rest of a request its own time: net/http waits for its first four bytes as long as
// for a request that has not begun, and counts a connection's first request from the connection's start.
func (c *downstreamConn) limitRequestTime() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readTimeout <= 0 || !c.requestDeadline.IsZero() || !c.requests.midRequest() {
		return
	}
	c.requestDeadline = time.Now().Add(c.readTimeout)
	c.setReadDeadline(c.deadline)
}

// startWatch tells whether a request waits. If so, it is complete, for net/http watches only behind a body's
// end, and no wait for another is left to be ended: neither this connection's being let go or cut off nor what
// was seen beside an earlier request holds any longer.
func (c *downstreamConn) beginWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving {
		c.complete, c.readAborted = true, false
		c.noteBytes()
	}
	return c.serving
}

// hear notes that the caller has said something. The caller holds mu.
func (c *downstreamConn) noteBytes() {
	c.requestBegun = true
	if c.readEnded && !c.readAborted {
		c.readEnded = false
		c.Conn.SetReadDeadline(c.deadline)
	}
}

// watch reads whatever the caller sends ahead, so that no close or reset can hide behind it, until the
// deadline for reading, a reset, or the bound. After a close it waits for a reset.
func (c *downstreamConn) watchForDeparture() error {
	defer close(c.watchEnded)
	defer c.markCaughtUp()
	for {
		if err := c.awaitUnread(); err != nil {
			c.noteRead(0, err)
			return err
		}
		into := c.readAheadBuffer()
		if into == nil {
			c.noteDeparture(unobservable)
			return errReadAheadFull
		}
		n, err := c.Conn.Read(into)
		c.scan(into[:n])
		c.appendReadAhead(n)
		c.noteRead(n, err)
		switch {
		case errors.Is(err, io.EOF):
			c.markCaughtUp()
			return c.awaitReset()
		case err != nil:
			return err
		}
	}
}

// awaitUnread waits until the kernel has something of the caller: bytes, its close or a reset.
func (c *downstreamConn) awaitUnread() error {
	raw := rawConn(c.Conn)
	if raw == nil {
		return nil
	}
	return raw.Read(func(fd uintptr) bool {
		has := hasUnread(fd)
		if !has {
			c.markCaughtUp()
		}
		return has
	})
}

// awaitReset waits, after the caller's close, for a reset or the deadline for reading.
func (c *downstreamConn) awaitReset() error {
	raw := rawConn(c.Conn)
	if raw == nil {
		return io.EOF
	}
	var cause error
	err := raw.Read(func(fd uintptr) bool {
		no, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		if err == nil && no != 0 {
			err = syscall.Errno(no)
		}
		cause = err
		return err != nil
	})
	if err == nil {
		c.noteDeparture(disconnected)
		err = cause
	}
	return err
}

// look notes that all that the caller had sent is read, or as much as can be kept.
func (c *downstreamConn) markCaughtUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.caughtUp:
	default:
		close(c.caughtUp)
	}
}

// settle waits until the watch beside the request has read all that had come, and tells what is known of
// the caller's leaving then.
func (c *downstreamConn) awaitCaughtUp() departure {
	c.mu.Lock()
	looked := c.caughtUp
	c.mu.Unlock()
	<-looked
	return c.departure()
}

// endWatch ends the watch beside a request, which settle has seen at work: what comes from now on stays
// unread. It tells whether another request, or a part of one, was read behind this one.
func (c *downstreamConn) endWatch() (another bool) {
	c.Conn.SetReadDeadline(pastDeadline)
	<-c.watchEnded
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.anotherBegun()
}

// serve notes that a request's head is read.
func (c *downstreamConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.complete = true, false
	c.caughtUp, c.watchEnded = make(chan struct{}), make(chan struct{})
	if c.departureChanged == nil {
		c.departureChanged = make(chan struct{}, 1)
	}
	if c.departed == unobservable { // there may be room again
		c.departed = present
	}
}

// came notes what a read brought. Only os.ErrDeadlineExceeded is the node's own deadline: ETIMEDOUT, a
// Timeout() as well, is a connection that is broken.
func (c *downstreamConn) noteRead(n int, err error) {
	switch {
	case n > 0:
		c.mu.Lock()
		c.noteBytes()
		c.mu.Unlock()
	case errors.Is(err, io.EOF):
		c.noteDeparture(halfClosed)
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.noteDeparture(disconnected)
	}
}

// depart notes that the caller may leave, or has left.
func (c *downstreamConn) noteDeparture(how departure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how <= c.departed {
		return
	}
	c.departed = how
	select {
	case c.departureChanged <- struct{}{}:
	default:
	}
}

func (c *downstreamConn) departure() departure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.departed
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

// Write begins before the client can have sent its next request, unless that has been read ahead. An
// interim response (of which net/http writes 100 Continue) answers nothing.
func (c *downstreamConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 1")) {
		c.mu.Lock()
		c.requestBegun, c.serving, c.complete = len(c.readAhead) > 0, false, false
		c.mu.Unlock()
	}
	return c.Conn.Write(p)
}

// interim has a caller that has closed for good answer with a reset, and one that still reads wait on.
func (c *downstreamConn) sendInterimResponse() {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
		c.noteDeparture(disconnected)
	}
}

func (c *downstreamConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() { // net/http and the frontend set none once a request is read
		c.requestDeadline = time.Time{}
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline for reading, or the end of the time for the request that is being read:
// one that has begun shortly before its connection would time out has the same time as others. The caller
// holds mu.
func (c *downstreamConn) setReadDeadline(t time.Time) error {
	if !c.requestDeadline.IsZero() {
		t = c.requestDeadline
	}
	c.deadline = t
	if c.readEnded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http linger after an answer to a request that it did not read whole: at once
// closed, the connection would be reset, and the answer could be lost.
func (c *downstreamConn) CloseWrite() error {
	c.conns.startLingering(c)
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// longAgo is a deadline that ends a wait at once, whatever becomes of the wall clock.
var pastDeadline = time.Now().Add(-time.Hour)

// letGo has the connection closed unless a request has begun on it, be it one that nobody has read yet: the
// close would be a reset, and the client could ask only once more.
func (c *downstreamConn) evictIfQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestBegun && !hasUnreadOrClosed(c.Conn) {
		c.readEnded = true
		c.Conn.SetReadDeadline(pastDeadline)
	}
	return c.readEnded
}

// cutOff ends the wait for the rest of a request, unless it is complete: then nothing is waited for, and a
// deadline in the past would end the watch for its caller's leaving. Nor does it if more has come that nobody
// has read yet: it may be the rest.
func (c *downstreamConn) abortRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete || hasUnreadOrClosed(c.Conn) {
		return false
	}
	c.readEnded, c.readAborted = true, true
	c.Conn.SetReadDeadline(pastDeadline)
	return true
}

func (c *downstreamConn) hasRequestBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestBegun
}

type connKey struct{}

// withConn has a request's context tell its connection.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func connOf(ctx context.Context) *downstreamConn {
	c, _ := ctx.Value(connKey{}).(*downstreamConn)
	return c
}

// track follows what net/http tells of a connection, and makes room when there are too many.
func (s *downstreamConns) connStateChanged(nc net.Conn, state http.ConnState) {
	c := nc.(*downstreamConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.counts.Accepted++
		s.conns[c] = struct{}{}
		s.setPhase(c, phaseNew)
	case http.StateActive:
		c.beginRequest()
		s.setPhase(c, phaseReading)
	case http.StateIdle:
		s.setPhase(c, phaseIdle)
	default:
		s.setPhase(c, phaseLingering)
		delete(s.conns, c)
		c.mu.Lock()
		c.releaseReadAhead()
		c.mu.Unlock()
		return
	}
	s.evictExcess()
}

// acceptFailed counts a failed accept.
func (s *downstreamConns) countFailedAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.AcceptFailed++
}

// move notes what a connection does from now on. The caller holds mu.
func (s *downstreamConns) setPhase(c *downstreamConn, p connPhase) {
	if c.evicted {
		s.evicting--
	}
	if c.phase == phaseActive {
		s.active--
	}
	if p == phaseActive {
		s.active++
	}
	c.connActivity = connActivity{phase: p, since: s.clock.now()}
}

// linger notes that net/http has answered for good and waits for the answer to arrive.
func (s *downstreamConns) startLingering(c *downstreamConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.conns[c]; held {
		s.setPhase(c, phaseLingering)
	}
}

// open notes that a connection's request goes to the module, unless as many are there as servers'
// connections are kept for. That there are too many connections is no reason: others' silence must not cost
// a good caller its answer. If its connection was to be let go, another goes in its place.
func (s *downstreamConns) admitRequest(c *downstreamConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setPhase(c, phaseActive)
	s.evictExcess()
	if s.active > s.capacity/2 {
		s.counts.Rejected++
		return false
	}
	return true
}

// over is by how many there are too many. The caller holds mu.
func (s *downstreamConns) excess() int { return len(s.conns) - s.evicting - s.limit() }

func (s *downstreamConns) overLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess() > 0
}

// left is how many descriptors callers leave for connections to servers.
func (s *downstreamConns) upstreamAllowance() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity + s.rejectReserve - len(s.conns)
}

// full says that one more would take a descriptor that is kept for others. Whoever is turned away shows nowhere
// else, so room is made for the next one here.
func (s *downstreamConns) atHardLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.capacity+s.rejectReserve-max(s.upstreamReserve, s.upstreamCount()) {
		return false
	}
	s.counts.ClosedUnread++
	s.evictExcess()
	return true
}

// makeRoom lets connections without a request go while there are too many: those first that are of least
// use to a good caller, and of these who has been so for longest. One idle for a moment only is spared:
// a client sends again just once what crosses a close. While there are too many, each answer closes its
// connection, which nothing can cross. The caller holds mu.
func (s *downstreamConns) evictExcess() {
	if s.excess() <= 0 {
		return
	}
	now := s.clock.now()
	var free []*downstreamConn
	for c := range s.conns {
		if !c.evicted && s.evictionRank(c, now) > 0 {
			free = append(free, c)
		}
	}
	slices.SortFunc(free, func(a, b *downstreamConn) int {
		return cmp.Or(cmp.Compare(s.evictionRank(a, now), s.evictionRank(b, now)), cmp.Compare(a.since, b.since))
	})
	for _, c := range free {
		if s.evict(c); s.excess() <= 0 {
			return
		}
	}
}

// useless ranks the connections that may be let go, from 1; 0 is none of them.
func (s *downstreamConns) evictionRank(c *downstreamConn, now time.Duration) int {
	age := now - c.since
	if s.excess() > s.rejectReserve/2 {
		age *= pressureDivisor
	}
	switch half := c.phase == phaseReading || c.phase != phaseActive && c.hasRequestBytes(); {
	case c.phase == phaseLingering && age >= s.gracePeriods.lingering:
		return 1
	case half && age >= s.gracePeriods.partialRequest:
		return 2
	case c.phase == phaseNew && !half && age >= s.gracePeriods.newConn:
		return 3
	case c.phase == phaseIdle && !half && age >= s.gracePeriods.idle:
		return 4
	}
	return 0
}

// letGo lets a connection go if it may be, and counts it as leaving. The caller holds mu.
func (s *downstreamConns) evict(c *downstreamConn) {
	gone := !c.evicted
	switch {
	case c.evicted:
	case c.phase == phaseLingering:
		c.Close()
	case c.phase == phaseReading || c.phase == phaseNew && c.hasRequestBytes():
		gone = c.abortRead()
	default:
		gone = c.evictIfQuiet()
	}
	if gone && !c.evicted {
		c.evicted = true
		s.evicting++
		s.counts.Evicted++
	}
}

// letQuietGo closes the callers' idle connections, and those that have sent nothing for a while: whoever has
// just been accepted has its request on the way. It returns how many of all are left.
func (s *downstreamConns) evictQuiet() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for c := range s.conns {
		if c.phase == phaseIdle || c.phase == phaseNew && !c.hasRequestBytes() && now-c.since >= s.gracePeriods.newConn {
			s.evict(c)
		}
	}
	return len(s.conns)
}

// held is how many connections there are.
func (s *downstreamConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// report tells what became of connections since the last report, and how many there are.
func (s *downstreamConns) takeCounts() (c downstreamCounts, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, s.counts = s.counts, downstreamCounts{}
	return c, len(s.conns)
}
