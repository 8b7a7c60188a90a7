package node

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"basaltdrum/internal/downstream"
	"basaltdrum/internal/http1"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/upstream"
)

// Limits on the time that a client may take.
const (
	readTimeout  = 2500 * time.Millisecond // for reading a request, from its first bytes or the connection's start
	idleTimeout  = 4 * time.Second         // after which an idle connection is closed
	writeTimeout = 5 * time.Second         // for writing a response
)

// frontend is the HTTP server for clients. It reads and checks requests, passes them to the loop, and writes
// exactly one final response for each.
type frontend struct {
	clock  monotime.Clock
	post   func(Event)
	ready  func() bool
	rules  *atomic.Pointer[requestRules]
	drain  drainer
	server *http.Server
	conns  *downstream.Conns
}

func newFrontend(
	c monotime.Clock, conns *downstream.Conns, rules *atomic.Pointer[requestRules], post func(Event),
	ready func() bool, log *slog.Logger,
) *frontend {
	f := &frontend{
		clock: c, post: post, ready: ready, conns: conns, rules: rules,
		drain: drainer{clock: c, conns: conns, post: post},
	}
	f.server = &http.Server{
		Handler:                      f,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               http1.MaxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    conns.ConnStateChanged,
		ConnContext:                  downstream.NewContext,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return f
}

// serveHealth answers the health check by which clients, or the load balancer before them, choose a node.
func (f *frontend) serveHealth(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead || r.ContentLength != 0:
		http.Error(w, "only GET is served", http.StatusMethodNotAllowed)
		return
	case f.drain.started.Load():
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
	// A response to a request that has not been read to its end closes the connection. Otherwise net/http would
	// wait for the rest of the body.
	w.Header().Set("Connection", "close")
	conn := downstream.FromContext(r.Context())
	head, err := conn.TakeHead(r)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == "/health/ready" {
		f.serveHealth(w, r)
		return
	}
	c, err := f.readRequest(r, conn, head)
	if err != nil {
		writeInvalidRequest(w, conn, err)
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // the deadline was for reading the request
	w.Header().Del("Connection")
	// If the client has left, or its departure could not be seen, no attempt may begin: its pipelined requests
	// are rejected one after another. A client that has only shut down its sending side may read the responses.
	if conn.AwaitCaughtUp() != downstream.Present || !f.conns.AdmitRequest(conn) {
		f.writeResponse(w, conn, Response{Kind: ResponseRejected, retryAfter: f.rules.Load().retryAfter})
		return
	}
	f.post(requestReceived{c})
	a, reads := f.awaitResponse(conn, c, r.ProtoAtLeast(1, 1))
	if !reads {
		w.Header().Set("Connection", "close")
		a.Kind = ResponseFailed // if nothing were written, net/http would send a 200
	}
	f.writeResponse(w, conn, a)
}

// awaitResponse waits for the response to a request, or until its client has disconnected and nobody reads
// one. The request is marked as departed before the loop is notified, because an attempt's connection to a
// server may be established at that very moment, and the attempt must not begin any more.
func (f *frontend) awaitResponse(conn *downstream.Conn, c *request, interims bool) (a Response, reads bool) {
	for notified := downstream.Present; ; {
		select {
		case a := <-c.response:
			return a, true
		case <-conn.DepartureChanged():
		}
		how := conn.Departure()
		if how <= notified {
			continue
		}
		notified = how
		begun := c.MarkDeparted()
		f.post(clientDeparted{request: c, departure: how, at: f.clock.Now(), retryAfter: f.rules.Load().retryAfter})
		switch {
		case how == downstream.Disconnected:
			return Response{}, false
		case how == downstream.HalfClosed && begun && interims:
			conn.SendInterimResponse(writeTimeout)
		}
	}
}

// writeResponse writes the final response of a request. It closes the connection with the response while
// there are too many connections or the node shuts down, but not if a pipelined request was read on it, which
// would then get no response.
func (f *frontend) writeResponse(w http.ResponseWriter, conn *downstream.Conn, response Response) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if (f.conns.OverLimit() || f.drain.closeAfterResponse.Load()) && !conn.StopDepartureWatch() {
		w.Header().Set("Connection", "close")
	}
	response.write(w)
}

// readRequest reads a complete request and checks what the node and the servers rely on; nothing has been
// forwarded of a request that is invalid. The client's deadline counts from the request's first byte.
func (f *frontend) readRequest(r *http.Request, conn *downstream.Conn, head http1.RequestHead) (*request, error) {
	c := &request{
		Request: upstream.Request{
			ID: r.Header.Get("X-Request-Id"), Method: r.Method, Target: r.RequestURI,
			IdempotencyKey: r.Header.Get("Idempotency-Key"), ContentType: r.Header.Get("Content-Type"),
		},
		firstByte: head.FirstByte, response: make(chan Response, 1),
	}
	if err := f.rules.Load().validateHead(c, r); err != nil {
		return nil, err
	}
	if err := c.readBody(r, conn); err != nil {
		return nil, err
	}
	c.receivedAt = f.clock.Now()
	c.deadline += c.firstByte
	return c, nil
}

// readBody reads the body, which has a length or comes in chunks. Trailers are dropped.
func (c *request) readBody(r *http.Request, conn *downstream.Conn) error {
	if r.ContentLength == 0 {
		return nil
	}
	var err error
	c.Body, err = io.ReadAll(io.LimitReader(r.Body, http1.MaxBodyBytes+1))
	framing := conn.BodyError()
	switch {
	case len(c.Body) > http1.MaxBodyBytes:
		return errBodyTooLong
	case framing != nil:
		return framing
	case err != nil:
		return errBodyIncomplete
	case len(c.Body) > 0 && c.Method == http.MethodGet:
		return errGetWithBody
	}
	return nil
}
