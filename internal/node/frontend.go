package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"balancer"
)

// Limits on what a caller may make the node wait for.
const (
	readTimeout       = 2500 * time.Millisecond // for a request, from its connection's start or its first bytes
	idleTimeout       = 4 * time.Second         // a caller that asks no more is let go
	writeTimeout      = 5 * time.Second
	maxHeader         = 16 << 10
	maxID             = 128
	maxDeadline       = time.Hour
	deadlineSlack     = 2 // times the class's deadline that X-Deadline may be
	drainPollInterval = 20 * time.Millisecond
)

// frontend serves callers: exactly one answer for each request taken.
type frontend struct {
	clock    clock
	post     func(event)
	ready    func() bool
	rules    *atomic.Pointer[requestRules]
	draining atomic.Bool // unready
	closing  atomic.Bool // each answer closes its connection
	server   *http.Server

	conns *downstreamConns
}

func newFrontend(c clock, callers *downstreamConns, rules *atomic.Pointer[requestRules], post func(event), ready func() bool,
	log *slog.Logger,
) *frontend {
	f := &frontend{clock: c, post: post, ready: ready, conns: callers, rules: rules}
	f.server = &http.Server{
		Handler:                      f,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeader,
		DisableGeneralOptionsHandler: true,
		ConnState:                    callers.connStateChanged,
		ConnContext:                  withConn,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return f
}

// rules are what requests are checked against: the part of one revision of the settings that callers see.
type requestRules struct {
	revision   int // of the configuration, 1 being the one that the node started with
	classes    map[string]balancer.Class
	retryAfter time.Duration // when to come back after a refusal for want of descriptors; 0: clients take none
}

func newRequestRules(revision int, set balancer.Settings) *requestRules {
	r := &requestRules{
		revision: revision, classes: map[string]balancer.Class{},
		retryAfter: min(set.MaxRetryAfter, max(set.Tick, time.Millisecond)),
	}
	for _, class := range set.Classes {
		r.classes[class.Name] = class
	}
	return r
}

// admit tells what is wrong with a request in the class that it names, and notes the revision that it fits.
func (r *requestRules) validate(c *request) *requestError {
	class, known := r.classes[c.class]
	switch {
	case !known:
		return &requestError{http.StatusNotFound, "the path names no class"}
	case (class.Effect == balancer.Idempotent) != (c.method == http.MethodGet):
		return &requestError{http.StatusMethodNotAllowed, "the class is not asked for by this method"}
	case (c.key != "") != (class.Effect == balancer.IdempotentByKey):
		return &requestError{http.StatusBadRequest, "Idempotency-Key does not fit the class"}
	}
	c.revision = r.revision
	return nil
}

// health tells the front whether to send callers here.
func (f *frontend) health(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead || r.ContentLength != 0:
		http.Error(w, "only GET is served", http.StatusMethodNotAllowed)
		return
	case f.draining.Load():
	case !f.ready():
		w.Header().Del("Connection")
	default:
		w.Header().Del("Connection")
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

// ServeHTTP answers one request.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Whatever is answered before the request has been read whole closes the connection: cheap, and
	// net/http would otherwise wait for the rest of a body.
	w.Header().Set("Connection", "close")
	conn := connOf(r.Context())
	head, err := conn.takeHead(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == "/health/ready" {
		f.health(w, r)
		return
	}
	c, err := f.readRequest(r, conn, head)
	if err != nil {
		status := http.StatusBadRequest
		var no *requestError
		if errors.As(err, &no) {
			status = no.status
		}
		http.Error(w, err.Error(), status)
		return
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{}) // it was for reading the request
	w.Header().Del("Connection")
	// A caller that has left, or whose leaving can't be seen, has nothing begun for it: what it sent ahead
	// is refused in turn. One that has only stopped sending may read that.
	if conn.awaitCaughtUp() != present || !f.conns.admitRequest(conn) {
		f.write(w, conn, response{kind: responseRejected, retryAfter: f.rules.Load().retryAfter})
		return
	}
	f.post(requestReceived{c})
	a, reads := f.await(conn, c, r.ProtoAtLeast(1, 1))
	if !reads {
		w.Header().Set("Connection", "close")
		a.kind = responseFailed // net/http would make a 200 of silence
	}
	f.write(w, conn, a)
}

// await waits for the answer to a call, or for its caller to be gone: then nobody reads one. The mark on
// the call is there before the loop hears of a departure, for a connection to a server may come up just then.
func (f *frontend) await(conn *downstreamConn, c *request, interims bool) (a response, reads bool) {
	for told := present; ; {
		select {
		case a := <-c.response:
			return a, true
		case <-conn.departureChanged:
		}
		how := conn.departure()
		if how <= told {
			continue
		}
		told = how
		begun := c.markDeparted()
		f.post(clientDeparted{call: c, how: how, at: f.clock.now(), retryAfter: f.rules.Load().retryAfter})
		switch {
		case how == disconnected:
			return response{}, false
		case how == halfClosed && begun && interims:
			conn.sendInterimResponse()
		}
	}
}

// rejected is a request that can't be used: it is answered without a look at any server.
type requestError struct {
	status int
	reason string
}

func (r *requestError) Error() string { return r.reason }

// readCall reads a complete request and checks what the node and the servers rely on. What it rejects here
// has been forwarded to no server. The time that the client waits runs from the request's first byte.
func (f *frontend) readRequest(r *http.Request, conn *downstreamConn, head requestHead) (*request, error) {
	c := &request{
		method: r.Method, target: r.RequestURI, id: r.Header.Get("X-Request-Id"),
		key: r.Header.Get("Idempotency-Key"), contentType: r.Header.Get("Content-Type"),
		firstByte: head.firstByte, response: make(chan response, 1),
	}
	if err := f.validateHead(c, r); err != nil {
		return nil, err
	}
	if err := c.readBody(r, conn); err != nil {
		return nil, err
	}
	c.receivedAt = f.clock.now()
	c.deadline += c.firstByte
	return c, nil
}

// readBody reads the body, with a length or in chunks, whose trailers are dropped.
func (c *request) readBody(r *http.Request, conn *downstreamConn) error {
	if r.ContentLength == 0 {
		return nil
	}
	var err error
	c.body, err = io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	framing := conn.bodyError()
	switch {
	case len(c.body) > maxBody:
		return &requestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	case framing != nil:
		return &requestError{http.StatusBadRequest, framing.Error()}
	case err != nil:
		return &requestError{http.StatusBadRequest, "the body is not complete"}
	case len(c.body) > 0 && c.method == http.MethodGet:
		return &requestError{http.StatusBadRequest, "GET has no body"}
	}
	return nil
}

// check tells what is wrong with a request's head, and fills in its class and how long it may take. A
// class that does not exist would be sent on as an unsafe one, only for the servers to turn it away,
// and the module would take that for their ill health.
func (f *frontend) validateHead(c *request, r *http.Request) error {
	path, _, _ := strings.Cut(c.target, "?")
	c.class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	rules := f.rules.Load()
	wait, err := parseDeadline(r.Header["X-Deadline"])
	keyed := len(r.Header["Idempotency-Key"])
	switch {
	case c.method != http.MethodGet && c.method != http.MethodPost:
		return &requestError{http.StatusMethodNotAllowed, "only GET and POST are served"}
	case !strings.HasPrefix(path, "/"):
		return &requestError{http.StatusNotFound, "the path names no class"}
	case keyed > 1 || keyed == 1 && c.key == "":
		return &requestError{http.StatusBadRequest, "Idempotency-Key is empty or comes twice"}
	}
	if no := rules.validate(c); no != nil {
		return no
	}
	switch {
	case c.id == "" || len(c.id) > maxID || len(r.Header["X-Request-Id"]) > 1:
		return &requestError{http.StatusBadRequest, "X-Request-Id is missing, too long, or comes twice"}
	case err != nil:
		return &requestError{http.StatusBadRequest, err.Error()}
	case wait > deadlineSlack*rules.classes[c.class].Deadline:
		return &requestError{http.StatusBadRequest, "X-Deadline is far beyond the class's"}
	case r.ContentLength > maxBody:
		return &requestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	case r.ContentLength > 0 && c.method == http.MethodGet:
		return &requestError{http.StatusBadRequest, "GET has no body"}
	}
	c.deadline, c.expectedWork = wait, parseWorkHint(r.Header.Get("X-Cost-Hint"))
	return nil
}

// parseWait reads X-Deadline: seconds in digits, with decimals or without, and nothing else that
// strconv would take (signs, exponents, hexadecimals, underscores).
func parseDeadline(values []string) (time.Duration, error) {
	if len(values) != 1 {
		return 0, errors.New("X-Deadline is missing or comes twice")
	}
	if strings.Trim(values[0], "0123456789.") != "" {
		return 0, errors.New("X-Deadline is no plain number")
	}
	s, err := strconv.ParseFloat(values[0], 64)
	if err != nil || !(s > 0 && s <= maxDeadline.Seconds()) {
		return 0, errors.New("X-Deadline is no number or out of range")
	}
	return time.Duration(math.Round(s * 1e9)), nil
}

// parseHint reads X-Cost-Hint, in microseconds. What can't be read is no hint: it is only advice.
func parseWorkHint(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0 && us <= float64(maxDeadline.Microseconds())) {
		return 0
	}
	return time.Duration(us * 1e3)
}

// write gives the answer to the caller. A connection that is to be closed stays open as long as more requests
// were read on it, which would get no answer.
func (f *frontend) write(w http.ResponseWriter, conn *downstreamConn, a response) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	if (f.conns.overLimit() || f.closing.Load()) && !conn.endWatch() {
		h.Set("Connection", "close")
	}
	switch a.kind {
	case responseServed:
		if a.contentType == "" {
			h["Content-Type"] = nil // none, rather than a guess
		} else {
			h.Set("Content-Type", a.contentType)
		}
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
		w.Write(a.body)
	case responseRejected:
		if a.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case responseFailed:
		http.Error(w, "failed", http.StatusBadGateway)
	case responseInvalid:
		http.Error(w, a.reason.Error(), a.reason.status)
	case responseDuplicateID:
		http.Error(w, "X-Request-Id is in use", http.StatusConflict)
	}
}

// ending tells, from the moment that the node was told to end, until when it accepts connections, until
// when callers may go on using those that they have, and when whatever is left is answered at once.
type drainSchedule struct{ stopAccepting, closeConns, answerAll time.Duration }

// drain lets the callers go, and everything taken is answered: for a while they are served as ever on the
// connections that they have, for their requests would fail elsewhere until they are sent to another node;
// then each answer closes its connection. It returns once all are gone, or with an error when ctx ends.
// http.Server.Shutdown would wait for seconds on connections that never sent a request, past SIGKILL,
// and close idle ones under a request just read.
func (f *frontend) drain(ctx context.Context, ln *downstreamListener, served <-chan struct{}, e drainSchedule) error {
	begin := f.clock.now()
	passed := func(at time.Duration) bool { return f.clock.now()-begin >= at }
	f.draining.Store(true)
	sleep(ctx, e.stopAccepting)
	ln.drainQueue()
	defer ln.Close()
	for ctx.Err() == nil && !passed(e.closeConns) && (!isClosed(served) || f.conns.count() > 0) {
		sleep(ctx, drainPollInterval)
	}
	f.closing.Store(true)
	for told := false; ; sleep(ctx, drainPollInterval) {
		accepting := !isClosed(served) // asked first: whoever was accepted is counted below
		left := f.conns.evictQuiet()
		switch {
		case !accepting && left == 0:
			return nil
		case ctx.Err() != nil:
			return fmt.Errorf("callers are left: %w", ctx.Err())
		case !told && passed(e.answerAll):
			ln.Close() // it is still open only if accept fails on end
			f.post(shutdownDeadline{})
			told = true
		}
	}
}
