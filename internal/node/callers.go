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
type graces struct{ lingering, silent, half, idle time.Duration }

// pressing shortens the graces while descriptors are about to run out.
const pressing = 5

// A good caller sends its request as soon as it has connected, and in one piece; one idle for a moment may
// meet its next request on the way.
func defaultGraces() graces {
	return graces{lingering: 50 * time.Millisecond, silent: 100 * time.Millisecond, half: time.Second,
		idle: 500 * time.Millisecond}
}

// callers are the callers' connections, within their share of the node's descriptors. Whoever holds a
// place without a request makes room first; only if nobody does, requests are refused.
type callers struct {
	clock   clock
	room    int        // descriptors for callers and servers together
	least   int        // of these the servers' connections may always have
	servers func() int // how many they have
	spare   int        // descriptors beyond room for callers whose requests are read only to be refused

	aheadMost int64        // bytes that all may send ahead together
	aheadKept atomic.Int64 // bytes reserved for that

	mu      sync.Mutex
	conns   map[*callerConn]struct{}
	leaving int // let go and not closed yet
	opened  int // with a request open
	grace   graces
	counts  callerCounts
}

// callerCounts tell, for the log, what became of connections.
type callerCounts struct{ Accepted, AcceptFailed, LetGo, Crowded, TurnedAway int }

// activity is what a connection does, and since when.
type activity struct {
	phase phase
	since time.Duration
	going bool // let go, and counted as leaving
}

type phase int

const (
	silent    phase = iota // new, no request read
	reading                // a request's head is read, its body may not be
	open                   // a request is with the module
	idle                   // answered
	lingering              // answered for good; what still comes is thrown away
)

// newCallers takes the node's memory in bytes, of which what callers send ahead may fill a share.
func newCallers(c clock, room, spare int, memory int64, servers func() int) *callers {
	return &callers{clock: c, aheadMost: memory / aheadShare, room: room, least: room / 4, servers: servers, spare: spare,
		conns: map[*callerConn]struct{}{}, grace: defaultGraces()}
}

// keepAhead reserves bytes for what a caller sends ahead, or gives some back.
func (s *callers) keepAhead(n int) bool {
	if s.aheadKept.Add(int64(n)) > s.aheadMost && n > 0 {
		s.aheadKept.Add(int64(-n))
		return false
	}
	return true
}

// most is how many connections callers may hold now: what servers leave. The caller holds mu.
func (s *callers) most() int { return max(s.room/2, s.room-max(s.least, s.servers())) }

// callerConn is a caller's connection that can be let go while it waits for a request, and only then.
//
// Close, in the gap between net/http's read of a request and its report of StateActive, would lose
// that request. A read deadline in the past ends the wait, or comes too late for it: the request is
// then either read and answered, or left unread, and its client sends it again. Whether one has
// begun to be read is noted here, since net/http reads its first byte early when the client is quick:
// behind an answer, before it reports StateIdle.
type callerConn struct {
	net.Conn
	mu       sync.Mutex
	begun    bool // bytes were read since the last answer
	leaving  bool
	cut      bool      // leaving, whatever still comes
	deadline time.Time // as net/http wants it
	serving  bool      // a request's head is read, and it is not answered
	complete bool      // and its body is read to the end as well
	ahead    []byte    // what came meanwhile, to be read once that is answered
	kept     int       // bytes reserved for ahead
	departed departure
	looked   chan struct{} // closed once the watch beside the request has read all that had come
	watched  chan struct{} // closed once that watch has ended
	turned   chan struct{} // gets one when departed changes
	requests requestScanner
	timeout  time.Duration // for reading the rest of a request that has begun; 0: none
	readBy   time.Time     // when that ends; zero while no request is being read

	callers  *callers
	activity // guarded by callers.mu
}

// departure is what is known of a caller's leaving while its request waits. The greater holds.
type departure int

const (
	present    departure = iota
	unwatched            // too much is sent ahead to be kept, so its leaving can't be seen
	halfClosed           // it sends no more; whether it still reads is not known
	gone                 // it has reset its connection
)

// aheadStep is the least that is kept of what a caller sends ahead, in bytes.
const aheadStep = 4 << 10

// aheadEach is how much one caller may send ahead, in bytes: the longest request that there is.
const aheadEach = maxHeader + maxBody

// aheadShare is the part of the node's memory that all callers together may fill with what they send ahead.
const aheadShare = 16

// errUnwatched ends the watch for a caller's leaving.
var errUnwatched = errors.New("too much is sent ahead")

// Read watches for the caller's leaving while a request waits: net/http does so by a read of one byte,
// which any byte that comes early would end.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.startWatch() { // any other read by net/http fills a buffer
		return 0, c.watch()
	}
	if n := c.takeAhead(p); n > 0 {
		return n, nil
	}
	c.limitReading()
	n, err := c.Conn.Read(p)
	c.scan(p[:n])
	c.came(n, err)
	return n, err
}

// scan follows the framing of what was just read from the kernel.
func (c *callerConn) scan(p []byte) {
	at := c.callers.clock.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.feed(p, at)
}

// takeHead returns what is known of the request that net/http has just read the head of, or the error in
// its framing.
func (c *callerConn) takeHead(r *http.Request) (requestHead, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.take(r)
}

// bodyError is the error in the framing of the body that net/http has just read.
func (c *callerConn) bodyError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.bodyError()
}

// limitReading gives the rest of a request its own time: net/http waits for its first four bytes as long as
// for a request that has not begun, and counts a connection's first request from the connection's start.
func (c *callerConn) limitReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timeout <= 0 || !c.readBy.IsZero() || !c.requests.midRequest() {
		return
	}
	c.readBy = time.Now().Add(c.timeout)
	c.setReadDeadline(c.deadline)
}

// startWatch tells whether a request waits. If so, it is complete, for net/http watches only behind a body's
// end, and no wait for another is left to be ended: neither this connection's being let go or cut off nor what
// was seen beside an earlier request holds any longer.
func (c *callerConn) startWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving {
		c.complete, c.cut = true, false
		c.hear()
	}
	return c.serving
}

// hear notes that the caller has said something. The caller holds mu.
func (c *callerConn) hear() {
	c.begun = true
	if c.leaving && !c.cut {
		c.leaving = false
		c.Conn.SetReadDeadline(c.deadline)
	}
}

// watch reads whatever the caller sends ahead, so that no close or reset can hide behind it, until the
// deadline for reading, a reset, or the bound. After a close it waits for a reset.
func (c *callerConn) watch() error {
	defer close(c.watched)
	defer c.look()
	for {
		if err := c.awaitUnread(); err != nil {
			c.came(0, err)
			return err
		}
		into := c.spare()
		if into == nil {
			c.depart(unwatched)
			return errUnwatched
		}
		n, err := c.Conn.Read(into)
		c.scan(into[:n])
		c.keep(n)
		c.came(n, err)
		switch {
		case errors.Is(err, io.EOF):
			c.look()
			return c.awaitReset()
		case err != nil:
			return err
		}
	}
}

// awaitUnread waits until the kernel has something of the caller: bytes, its close or a reset.
func (c *callerConn) awaitUnread() error {
	raw := rawConn(c.Conn)
	if raw == nil {
		return nil
	}
	return raw.Read(func(fd uintptr) bool {
		has := peek(fd)
		if !has {
			c.look()
		}
		return has
	})
}

// awaitReset waits, after the caller's close, for a reset or the deadline for reading.
func (c *callerConn) awaitReset() error {
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
		c.depart(gone)
		err = cause
	}
	return err
}

// look notes that all that the caller had sent is read, or as much as can be kept.
func (c *callerConn) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.looked:
	default:
		close(c.looked)
	}
}

// settle waits until the watch beside the request has read all that had come, and tells what is known of
// the caller's leaving then.
func (c *callerConn) settle() departure {
	c.mu.Lock()
	looked := c.looked
	c.mu.Unlock()
	<-looked
	return c.departure()
}

// endWatch ends the watch beside a request, which settle has seen at work: what comes from now on stays
// unread. It tells whether another request, or a part of one, was read behind this one.
func (c *callerConn) endWatch() (another bool) {
	c.Conn.SetReadDeadline(longAgo)
	<-c.watched
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.anotherBegun()
}

// serve notes that a request's head is read.
func (c *callerConn) serve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.complete = true, false
	c.looked, c.watched = make(chan struct{}), make(chan struct{})
	if c.turned == nil {
		c.turned = make(chan struct{}, 1)
	}
	if c.departed == unwatched { // there may be room again
		c.departed = present
	}
}

// came notes what a read brought. Only os.ErrDeadlineExceeded is the node's own deadline: ETIMEDOUT, a
// Timeout() as well, is a connection that is broken.
func (c *callerConn) came(n int, err error) {
	switch {
	case n > 0:
		c.mu.Lock()
		c.hear()
		c.mu.Unlock()
	case errors.Is(err, io.EOF):
		c.depart(halfClosed)
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.depart(gone)
	}
}

// depart notes that the caller may leave, or has left.
func (c *callerConn) depart(how departure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how <= c.departed {
		return
	}
	c.departed = how
	select {
	case c.turned <- struct{}{}:
	default:
	}
}

func (c *callerConn) departure() departure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.departed
}

// spare is room for more that is sent ahead, or nil at the bound of this connection's or of all.
func (c *callerConn) spare() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if used := len(c.ahead); used == cap(c.ahead) {
		size := min(max(aheadStep, 2*used), aheadEach)
		if used >= size || !c.callers.keepAhead(size-c.kept) {
			return nil
		}
		c.kept = size
		c.ahead = append(make([]byte, 0, size), c.ahead...)
	}
	return c.ahead[len(c.ahead):cap(c.ahead)]
}

// keep adds bytes that were read into the spare room.
func (c *callerConn) keep(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead = c.ahead[:len(c.ahead)+n]; len(c.ahead) == 0 {
		c.dropAhead()
	}
}

// takeAhead takes bytes that were read ahead.
func (c *callerConn) takeAhead(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.dropAhead()
	}
	return n
}

// dropAhead gives back the room for what is sent ahead. The caller holds mu.
func (c *callerConn) dropAhead() {
	c.callers.keepAhead(-c.kept)
	c.ahead, c.kept = nil, 0
}

// Write begins before the client can have sent its next request, unless that has been read ahead. An
// interim response (of which net/http writes 100 Continue) answers nothing.
func (c *callerConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 1")) {
		c.mu.Lock()
		c.begun, c.serving, c.complete = len(c.ahead) > 0, false, false
		c.mu.Unlock()
	}
	return c.Conn.Write(p)
}

// interim has a caller that has closed for good answer with a reset, and one that still reads wait on.
func (c *callerConn) interim() {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
		c.depart(gone)
	}
}

func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() { // net/http and the frontend set none once a request is read
		c.readBy = time.Time{}
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline for reading, or the end of the time for the request that is being read:
// one that has begun shortly before its connection would time out has the same time as others. The caller
// holds mu.
func (c *callerConn) setReadDeadline(t time.Time) error {
	if !c.readBy.IsZero() {
		t = c.readBy
	}
	c.deadline = t
	if c.leaving {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http linger after an answer to a request that it did not read whole: at once
// closed, the connection would be reset, and the answer could be lost.
func (c *callerConn) CloseWrite() error {
	c.callers.linger(c)
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// longAgo is a deadline that ends a wait at once, whatever becomes of the wall clock.
var longAgo = time.Now().Add(-time.Hour)

// letGo has the connection closed unless a request has begun on it, be it one that nobody has read yet: the
// close would be a reset, and the client could ask only once more.
func (c *callerConn) letGo() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun && !spokenOrClosed(c.Conn) {
		c.leaving = true
		c.Conn.SetReadDeadline(longAgo)
	}
	return c.leaving
}

// cutOff ends the wait for the rest of a request, unless it is complete: then nothing is waited for, and a
// deadline in the past would end the watch for its caller's leaving. Nor does it if more has come that nobody
// has read yet: it may be the rest.
func (c *callerConn) cutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete || spokenOrClosed(c.Conn) {
		return false
	}
	c.leaving, c.cut = true, true
	c.Conn.SetReadDeadline(longAgo)
	return true
}

func (c *callerConn) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

type connKey struct{}

// withConn has a request's context tell its connection.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

// track follows what net/http tells of a connection, and makes room when there are too many.
func (s *callers) track(nc net.Conn, state http.ConnState) {
	c := nc.(*callerConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.counts.Accepted++
		s.conns[c] = struct{}{}
		s.move(c, silent)
	case http.StateActive:
		c.serve()
		s.move(c, reading)
	case http.StateIdle:
		s.move(c, idle)
	default:
		s.move(c, lingering)
		delete(s.conns, c)
		c.mu.Lock()
		c.dropAhead()
		c.mu.Unlock()
		return
	}
	s.makeRoom()
}

// acceptFailed counts a failed accept.
func (s *callers) acceptFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.AcceptFailed++
}

// move notes what a connection does from now on. The caller holds mu.
func (s *callers) move(c *callerConn, p phase) {
	if c.going {
		s.leaving--
	}
	if c.phase == open {
		s.opened--
	}
	if p == open {
		s.opened++
	}
	c.activity = activity{phase: p, since: s.clock.now()}
}

// linger notes that net/http has answered for good and waits for the answer to arrive.
func (s *callers) linger(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.conns[c]; held {
		s.move(c, lingering)
	}
}

// open notes that a connection's request goes to the module, unless as many are there as servers'
// connections are kept for. That there are too many connections is no reason: others' silence must not cost
// a good caller its answer. If its connection was to be let go, another goes in its place.
func (s *callers) open(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.move(c, open)
	s.makeRoom()
	if s.opened > s.room/2 {
		s.counts.Crowded++
		return false
	}
	return true
}

// over is by how many there are too many. The caller holds mu.
func (s *callers) over() int { return len(s.conns) - s.leaving - s.most() }

func (s *callers) overLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over() > 0
}

// left is how many descriptors callers leave for connections to servers.
func (s *callers) left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room + s.spare - len(s.conns)
}

// full says that one more would take a descriptor that is kept for others. Whoever is turned away shows nowhere
// else, so room is made for the next one here.
func (s *callers) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.room+s.spare-max(s.least, s.servers()) {
		return false
	}
	s.counts.TurnedAway++
	s.makeRoom()
	return true
}

// makeRoom lets connections without a request go while there are too many: those first that are of least
// use to a good caller, and of these who has been so for longest. One idle for a moment only is spared:
// a client sends again just once what crosses a close. While there are too many, each answer closes its
// connection, which nothing can cross. The caller holds mu.
func (s *callers) makeRoom() {
	if s.over() <= 0 {
		return
	}
	now := s.clock.now()
	var free []*callerConn
	for c := range s.conns {
		if !c.going && s.useless(c, now) > 0 {
			free = append(free, c)
		}
	}
	slices.SortFunc(free, func(a, b *callerConn) int {
		return cmp.Or(cmp.Compare(s.useless(a, now), s.useless(b, now)), cmp.Compare(a.since, b.since))
	})
	for _, c := range free {
		if s.letGo(c); s.over() <= 0 {
			return
		}
	}
}

// useless ranks the connections that may be let go, from 1; 0 is none of them.
func (s *callers) useless(c *callerConn, now time.Duration) int {
	age := now - c.since
	if s.over() > s.spare/2 {
		age *= pressing
	}
	switch half := c.phase == reading || c.phase != open && c.hasBegun(); {
	case c.phase == lingering && age >= s.grace.lingering:
		return 1
	case half && age >= s.grace.half:
		return 2
	case c.phase == silent && !half && age >= s.grace.silent:
		return 3
	case c.phase == idle && !half && age >= s.grace.idle:
		return 4
	}
	return 0
}

// letGo lets a connection go if it may be, and counts it as leaving. The caller holds mu.
func (s *callers) letGo(c *callerConn) {
	gone := !c.going
	switch {
	case c.going:
	case c.phase == lingering:
		c.Close()
	case c.phase == reading || c.phase == silent && c.hasBegun():
		gone = c.cutOff()
	default:
		gone = c.letGo()
	}
	if gone && !c.going {
		c.going = true
		s.leaving++
		s.counts.LetGo++
	}
}

// letQuietGo closes the callers' idle connections, and those that have sent nothing for a while: whoever has
// just been accepted has its request on the way. It returns how many of all are left.
func (s *callers) letQuietGo() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for c := range s.conns {
		if c.phase == idle || c.phase == silent && !c.hasBegun() && now-c.since >= s.grace.silent {
			s.letGo(c)
		}
	}
	return len(s.conns)
}

// held is how many connections there are.
func (s *callers) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// report tells what became of connections since the last report, and how many there are.
func (s *callers) report() (c callerCounts, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, s.counts = s.counts, callerCounts{}
	return c, len(s.conns)
}
