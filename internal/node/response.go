package node

import (
	"net/http"
	"strconv"
	"time"
)

// write gives the answer to the caller. A connection that is to be closed stays open as long as more requests
// were read on it, which would get no answer.
func (f *frontend) writeResponse(w http.ResponseWriter, conn *downstreamConn, a response) {
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
