package node

import (
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"basaltdrum/internal/downstream"
	"basaltdrum/internal/http1"
	"basaltdrum/internal/membudget"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/upstream"
)

// Limits on the time that a client may take.
const (
	readTimeout  = 2500 * time.Millisecond // for reading a request, from its first bytes or the start of the connection
	idleTimeout  = 4 * time.Second         // after which an idle connection is closed
	writeTimeout = 5 * time.Second         // for writing a response
)

// frontend is the HTTP server for clients. It reads and validates requests, passes them to the loop, and writes exactly
// one final response to each.
type frontend struct {
	clock  monotime.Clock
	post   func(Event)
	ready  func() bool
	rules  *atomic.Pointer[requestRules]
	drain  drainer
	server *http.Server
	conns  *downstream.Conns
	memory *membudget.Budget
}

func newFrontend(
	clock monotime.Clock, conns *downstream.Conns, memory *membudget.Budget, rules *atomic.Pointer[requestRules],
	post func(Event), ready func() bool, log *slog.Logger,
) *frontend {
	f := &frontend{
		clock: clock, post: post, ready: ready, conns: conns, memory: memory, rules: rules,
		drain: drainer{clock: clock, conns: conns, post: post},
	}
	f.server = &http.Server{
		Handler:                      f,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 writeTimeout, // from the end of the head; writeResponse starts it anew
		MaxHeaderBytes:               http1.MaxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    conns.ConnStateChanged,
		ConnContext:                  downstream.NewContext,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return f
}

// serveHealth answers the readiness check with which clients, or a load balancer in front of the nodes, choose a node.
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
	// The response to a request that was not read to its end closes the connection. Otherwise net/http would wait for
	// the rest of the body.
	w.Header().Set("Connection", "close")
	conn := downstream.FromContext(r.Context())
	conn.YieldIfPipelined()
	head, err := conn.TakeHead(r)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == "/health/ready" {
		f.serveHealth(w, r)
		return
	}
	req, err := f.readRequest(r, conn, head)
	if err != nil && !errors.Is(err, errMemoryExhausted) {
		// While there are too many connections, those with many invalid requests are not served to their end.
		writeInvalidRequest(w, conn, !f.conns.OverLimit(), err)
		return
	}
	keepOpen(w)
	if err != nil {
		f.reject(w, conn)
		return
	}
	defer req.Memory.Release()
	// If the client has departed, or its departure could not be detected, no attempt may start: its pipelined requests
	// are rejected one after another. A client that has only half-closed its connection may read the responses. Neither
	// may one start if the deadline of a pipelined request has passed, whose response waits for this one.
	due := newDueTimer(f.clock, conn)
	defer due.stop()
	if conn.AwaitCaughtUp() != downstream.Present || due.isLate() || !f.conns.AdmitRequest(conn) {
		f.reject(w, conn)
		return
	}
	f.post(requestReceived{req})
	response, connected := f.awaitResponse(conn, req, due, r.ProtoAtLeast(1, 1))
	if !connected {
		w.Header().Set("Connection", "close")
		response.Kind = ResponseFailed // without a response, net/http would send status 200
	}
	f.writeResponse(w, conn, response)
}

// awaitResponse waits for the response to a request. connected is false if the client has disconnected first, so that
// nobody reads a response. A departure is marked in the request before the loop is notified, because an attempt's
// connection to an endpoint may be established at the same time, and the attempt must not be written any more.
// interimAllowed is true if the client accepts interim responses. Once due has passed, the loop is asked for the
// response.
func (f *frontend) awaitResponse(
	conn *downstream.Conn, req *request, due *dueTimer, interimAllowed bool,
) (response Response, connected bool) {
	for notified := downstream.Present; ; {
		select {
		case response := <-req.response:
			return response, true
		case <-due.update():
			f.post(responseDue{request: req, at: f.clock.Now()})
			due.stop()
			continue
		case <-conn.BytesReadAhead():
			continue
		case <-conn.DepartureChanged():
		}
		departure := conn.Departure()
		if departure <= notified {
			continue
		}
		notified = departure
		writeStarted := req.MarkDeparted()
		f.post(clientDeparted{
			request: req, departure: departure, at: f.clock.Now(), retryAfter: f.rules.Load().retryAfter,
		})
		switch {
		case departure == downstream.Disconnected:
			return Response{}, false
		case departure == downstream.HalfClosed && writeStarted && interimAllowed:
			conn.SendInterimResponse(writeTimeout)
		}
	}
}

// reject answers a complete request that is not passed to the decision module.
func (f *frontend) reject(w http.ResponseWriter, conn *downstream.Conn) {
	f.writeResponse(w, conn, Response{Kind: ResponseRejected, retryAfter: f.rules.Load().retryAfter})
}

// writeResponse writes the final response to a request. The response closes the connection if there are too many
// connections or the node shuts down, unless a pipelined request was read from the connection, which would then get no
// response.
func (f *frontend) writeResponse(w http.ResponseWriter, conn *downstream.Conn, response Response) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if (f.conns.OverLimit() || f.drain.closeAfterResponse.Load()) && !conn.StopDepartureWatch() {
		w.Header().Set("Connection", "close")
	}
	response.write(w)
}

// readRequest reads a complete request and validates what the node and the endpoints rely on, so that no part of an
// invalid request is forwarded. The client's deadline counts from the first byte of the request. The caller releases
// the memory of the request. If there is none, readRequest discards the body and returns errMemoryExhausted.
func (f *frontend) readRequest(r *http.Request, conn *downstream.Conn, head http1.RequestHead) (*request, error) {
	req := &request{
		Request: upstream.Request{
			ID: r.Header.Get("X-Request-Id"), Method: r.Method, Target: r.RequestURI,
			IdempotencyKey: r.Header.Get("Idempotency-Key"), ContentType: r.Header.Get("Content-Type"),
		},
		firstByte: head.FirstByte, response: make(chan Response, 1),
	}
	if err := f.rules.Load().validateHead(req, r); err != nil {
		return nil, err
	}
	if err := req.readBody(r, f.memory, conn.BodyError); err != nil {
		return nil, err
	}
	req.receivedAt = f.clock.Now()
	req.deadline += req.firstByte
	return req, nil
}

// readBody reads the body, with a Content-Length or in chunked coding, once it has reserved the memory of the request.
// Trailers are dropped. framingError returns the error in the framing of the body that was read. After an error, no
// memory is reserved.
func (req *request) readBody(r *http.Request, memory *membudget.Budget, framingError func() error) error {
	if req.Memory = memory.Reserve(heldBytes(r)); req.Memory == nil {
		return discardBody(r, framingError)
	}
	if r.ContentLength == 0 {
		return nil
	}
	var err error
	req.Body, err = http1.ReadBody(r.Body, r.ContentLength, req.reserveBody(r))
	r.Trailer = nil // not forwarded, and not counted
	if errors.Is(err, errMemoryExhausted) {
		err = discardBody(r, framingError)
	} else if err = bodyError(err, framingError()); err == nil && len(req.Body) > 0 && req.Method == http.MethodGet {
		err = errGetWithBody
	}
	if err != nil {
		req.Memory.Release()
	}
	return err
}

// bodyError returns the error that a client gets for a body, given the errors of reading it and of its framing.
func bodyError(readError, framingError error) error {
	switch {
	case errors.Is(readError, http1.ErrTooLong):
		return errBodyTooLong
	case framingError != nil:
		return framingError
	case readError != nil:
		return errBodyIncomplete
	}
	return nil
}
