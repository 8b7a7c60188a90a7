package node

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Limits on what a caller may make the node wait for.
const (
	readTimeout       = 2500 * time.Millisecond // for a request, from its connection's start or its first bytes
	idleTimeout       = 4 * time.Second         // a caller that asks no more is let go
	writeTimeout      = 5 * time.Second
	maxHeaderBytes    = 16 << 10
	maxRequestIDBytes = 128
	maxDeadline       = time.Hour
	maxDeadlineFactor = 2 // times the class's deadline that X-Deadline may be
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
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    callers.connStateChanged,
		ConnContext:                  withConn,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return f
}

// health tells the front whether to send callers here.
func (f *frontend) serveHealth(w http.ResponseWriter, r *http.Request) {
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
		f.serveHealth(w, r)
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
		f.writeResponse(w, conn, response{kind: responseRejected, retryAfter: f.rules.Load().retryAfter})
		return
	}
	f.post(requestReceived{c})
	a, reads := f.awaitResponse(conn, c, r.ProtoAtLeast(1, 1))
	if !reads {
		w.Header().Set("Connection", "close")
		a.kind = responseFailed // net/http would make a 200 of silence
	}
	f.writeResponse(w, conn, a)
}

// await waits for the answer to a call, or for its caller to be gone: then nobody reads one. The mark on
// the call is there before the loop hears of a departure, for a connection to a server may come up just then.
func (f *frontend) awaitResponse(conn *downstreamConn, c *request, interims bool) (a response, reads bool) {
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
