package node

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"basaltdrum/internal/downstream"
)

// writeResponse writes the final response of a request. It closes the connection with the response while
// there are too many connections or the node shuts down, but not if a pipelined request was read on it, which
// would then get no response.
func (f *frontend) writeResponse(w http.ResponseWriter, conn *downstream.Conn, a Response) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	if (f.conns.OverLimit() || f.closing.Load()) && !conn.EndWatch() {
		h.Set("Connection", "close")
	}
	switch a.Kind {
	case ResponseServed:
		writeServed(w, a)
	case ResponseRejected:
		if a.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case ResponseFailed:
		http.Error(w, "failed", http.StatusBadGateway)
	case ResponseInvalid:
		writeInvalid(w, a.reason)
	case ResponseDuplicateID:
		http.Error(w, "X-Request-Id is in use", http.StatusConflict)
	}
}

// writeServed forwards the response of a server.
func writeServed(w http.ResponseWriter, a Response) {
	h := w.Header()
	if a.contentType == "" {
		h["Content-Type"] = nil // keeps net/http from guessing one
	} else {
		h.Set("Content-Type", a.contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.Write(a.body)
}

// writeInvalidRequest answers a request that is invalid and closes its connection, unless its body is sound and
// pipelined requests were read behind it, which would then get no response.
func writeInvalidRequest(w http.ResponseWriter, conn *downstream.Conn, err error) {
	var invalid *requestError
	sound := errors.As(err, &invalid) && !invalid.ofBody
	if sound && conn.PipelinedBehindBody() {
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
