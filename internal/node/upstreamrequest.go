package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// encode writes the request to a server. Method, target, body, id and idempotency key pass through unchanged.
// wait is the part of text that holds the value of X-Deadline, to be filled in by putWait.
func encodeRequest(a *attempt) (text, wait []byte, err error) {
	h := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {a.request.id},
		"X-Deadline":   {strings.Repeat("0", deadlineValueWidth)},
	}
	if a.request.key != "" {
		h["Idempotency-Key"] = []string{a.request.key}
	}
	if a.request.contentType != "" {
		h["Content-Type"] = []string{a.request.contentType}
	}
	r := http.Request{
		Method: a.request.method, URL: &url.URL{Opaque: a.request.target}, Host: "backend.local",
		Header: h, ContentLength: int64(len(a.request.body)),
	}
	if len(a.request.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(a.request.body))
	}
	// The complete request in one write: what Write returns tells whether its last byte left.
	var buf bytes.Buffer
	buf.Grow(512 + len(a.request.body))
	if err := r.Write(&buf); err != nil {
		return nil, nil, fmt.Errorf("request: %w", err)
	}
	text = buf.Bytes()
	const field = "\r\nX-Deadline: " // no value before it can hold a line end
	at := bytes.Index(text, []byte(field)) + len(field)
	return text, text[at : at+deadlineValueWidth], nil
}

// X-Deadline on the way to a server: how long the node will wait, in seconds.
const (
	deadlineValueWidth = len("3600.000")      // bytes of its value, which fit maxWait to the millisecond
	minRemainingTime   = time.Millisecond     // an attempt with less time left is not begun
	transitAllowance   = 5 * time.Millisecond // taken off for the ways from the client and to the server
)

// waitToTell is how long a server is told that it has, or 0 if the time is over. It is what is left on the
// node's clock less the time in transit, of which a short wait keeps the greater part: the node's clock knows
// neither when the client sent the request nor when the server will read it.
func (b *upstreamPool) remainingTime(a *attempt) time.Duration {
	left := b.clock.until(a.deadline)
	left -= min(transitAllowance, left/4)
	if left < minRemainingTime {
		return 0
	}
	return left
}

// putWait writes a wait over the value of X-Deadline, which is waitWidth long, and never rounds it up. It
// reports whether there is any time left to tell.
func writeDeadlineValue(value []byte, wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	var buf [32]byte
	wait = wait.Truncate(time.Millisecond)
	text := strconv.AppendFloat(buf[:0], wait.Seconds(), 'f', deadlineValueWidth, 64)
	copy(value, text[:deadlineValueWidth])
	return true
}
