package node

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"basaltdrum/internal/downstream"
)

// Response is the final response to a request. Each request gets exactly one.
type Response struct {
	Kind        ResponseKind
	body        []byte        // for ResponseServed
	contentType string        // for ResponseServed; empty: the endpoint sent none
	retryAfter  time.Duration // for ResponseRejected; 0: no Retry-After
	reason      *requestError // for ResponseInvalid
}

// ResponseKind is the way in which a request ended. It determines the status of the response.
type ResponseKind int

// Kinds of responses.
const (
	ResponseServed      ResponseKind = iota // an endpoint has served the request
	ResponseRejected                        // not forwarded: the client may retry at another node
	ResponseFailed                          // forwarded, but no endpoint has served it
	ResponseDuplicateID                     // another request with the same ID is pending
	ResponseInvalid                         // invalid by settings that came into force after it was validated
)

// String returns the name of the kind for logs.
func (k ResponseKind) String() string {
	switch k {
	case ResponseServed:
		return "served"
	case ResponseRejected:
		return "rejected"
	case ResponseFailed:
		return "failed"
	case ResponseDuplicateID:
		return "duplicate id"
	case ResponseInvalid:
		return "invalid"
	}
	return fmt.Sprintf("responseKind(%d)", int(k))
}

// write writes the response with the status for its kind.
func (r Response) write(w http.ResponseWriter) {
	switch r.Kind {
	case ResponseServed:
		r.writeServed(w)
	case ResponseRejected:
		if r.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case ResponseFailed:
		http.Error(w, "failed", http.StatusBadGateway)
	case ResponseInvalid:
		writeInvalid(w, r.reason)
	case ResponseDuplicateID:
		http.Error(w, "X-Request-Id is in use", http.StatusConflict)
	}
}

// writeServed forwards the response of an endpoint.
func (r Response) writeServed(w http.ResponseWriter) {
	h := w.Header()
	if r.contentType == "" {
		h["Content-Type"] = nil // prevents net/http from detecting one
	} else {
		h.Set("Content-Type", r.contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	w.Write(r.body)
}

// writeInvalidRequest answers an invalid request and closes its connection. It keeps the connection open if that is
// allowed, the error is not in the body and a pipelined request was read after it, which would get no response
// otherwise.
func writeInvalidRequest(w http.ResponseWriter, conn *downstream.Conn, mayKeepOpen bool, err error) {
	var invalid *requestError
	bodyValid := errors.As(err, &invalid) && !invalid.inBody
	if mayKeepOpen && bodyValid && conn.HasPipelinedRequest() {
		keepOpen(w)
	}
	writeInvalid(w, err)
}

// keepOpen keeps the connection of a request open after its response. The request has been read completely, which ends
// the deadline for reading it.
func keepOpen(w http.ResponseWriter) {
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	w.Header().Del("Connection")
}

// writeInvalid answers an invalid request with the status of a requestError, or with 400 for an error in its framing.
func writeInvalid(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var invalid *requestError
	if errors.As(err, &invalid) {
		status = invalid.status
	}
	http.Error(w, err.Error(), status)
}
