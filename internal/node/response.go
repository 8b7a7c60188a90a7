package node

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"basaltdrum/internal/downstream"
)

// Response is the one final answer to a request.
type Response struct {
	Kind        ResponseKind
	body        []byte        // if served
	contentType string        // if served; empty: the endpoint sent none
	retryAfter  time.Duration // if rejected; 0: none
	reason      *requestError // if invalid
}

// ResponseKind says how a request ended, which decides the status of its response.
type ResponseKind int

// The kinds of responses.
const (
	ResponseServed      ResponseKind = iota // by an endpoint
	ResponseRejected                        // not forwarded: the client may retry elsewhere
	ResponseFailed                          // forwarded, and no answer came back
	ResponseDuplicateID                     // a request with this id is pending
	ResponseInvalid                         // new settings came into force between its check and the module
)

// String names the kind for logs.
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

// write writes the response with the status that its kind stands for.
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

// writeServed forwards the response of a server.
func (r Response) writeServed(w http.ResponseWriter) {
	h := w.Header()
	if r.contentType == "" {
		h["Content-Type"] = nil // keeps net/http from guessing one
	} else {
		h.Set("Content-Type", r.contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	w.Write(r.body)
}

// writeInvalidRequest answers a request that is invalid and closes its connection, unless its body is sound and
// pipelined requests were read behind it, which would then get no response.
func writeInvalidRequest(w http.ResponseWriter, conn *downstream.Conn, err error) {
	var invalid *requestError
	sound := errors.As(err, &invalid) && !invalid.inBody
	if sound && conn.HasPipelinedRequest() {
		http.NewResponseController(w).SetReadDeadline(time.Time{}) // the deadline was for reading the request
		w.Header().Del("Connection")
	}
	writeInvalid(w, err)
}

// writeInvalid answers a request that is invalid: with the status of a requestError, or with 400 for an error
// in its framing.
func writeInvalid(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var invalid *requestError
	if errors.As(err, &invalid) {
		status = invalid.status
	}
	http.Error(w, err.Error(), status)
}
