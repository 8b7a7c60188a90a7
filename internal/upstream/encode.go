package upstream

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

// upstreamHost is the Host of each request to an endpoint. HTTP/1.1 requires one, and the protocol leaves it open.
const upstreamHost = "backend.local"

// headSizeHint is the number of bytes reserved for the head of a request before it is encoded.
const headSizeHint = 512

// The value of X-Deadline in a request to an endpoint: the time that the node will wait, in seconds.
const (
	deadlineValueWidth = len("3600.000")      // bytes; enough for an hour, the longest, with milliseconds
	minRemainingTime   = time.Millisecond     // an attempt with less time left is not begun
	transitAllowance   = 5 * time.Millisecond // subtracted for the ways from the client and to the endpoint
)

// encodedRequest is a request in its HTTP/1.1 form, ready to be written to an endpoint.
type encodedRequest struct {
	text          []byte
	deadlineValue []byte // the part of text that holds the value of X-Deadline, which is filled in last
}

// encodeRequest encodes a request. Method, target, body, request id and idempotency key pass through unchanged.
func encodeRequest(r *Request) (encodedRequest, error) {
	header := http.Header{
		"User-Agent":   {""}, // suppresses the default
		"X-Request-Id": {r.ID},
		"X-Deadline":   {strings.Repeat("0", deadlineValueWidth)},
	}
	if r.IdempotencyKey != "" {
		header["Idempotency-Key"] = []string{r.IdempotencyKey}
	}
	if r.ContentType != "" {
		header["Content-Type"] = []string{r.ContentType}
	}
	httpRequest := http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.Target}, Host: upstreamHost,
		Header: header, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	// The request goes out in a single write, whose result shows whether its last byte was written.
	var buf bytes.Buffer
	buf.Grow(headSizeHint + len(r.Body))
	if err := httpRequest.Write(&buf); err != nil {
		return encodedRequest{}, fmt.Errorf("encode request %s: %w", r.ID, err)
	}
	text := buf.Bytes()
	const field = "\r\nX-Deadline: " // cannot be part of an earlier value, as no value contains a line end
	start := bytes.Index(text, []byte(field)) + len(field)
	return encodedRequest{text: text, deadlineValue: text[start : start+deadlineValueWidth]}, nil
}

// remainingTime returns the time that an endpoint has for an attempt, or 0 if the time is over. That is the time
// until the deadline by the node's clock, less an allowance for the time in transit, as the clock shows neither
// when the client sent the request nor when the endpoint will read it. Of a short time the greater part remains.
func (p *Pool) remainingTime(a *Attempt) time.Duration {
	left := p.clock.Until(a.Deadline)
	left -= min(transitAllowance, left/4)
	if left < minRemainingTime {
		return 0
	}
	return left
}

// writeDeadlineValue writes the remaining time over a value of X-Deadline, which has deadlineValueWidth bytes, and
// never rounds it up. It reports false if no time remains.
func writeDeadlineValue(value []byte, remaining time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	var buf [32]byte
	remaining = remaining.Truncate(time.Millisecond)
	text := strconv.AppendFloat(buf[:0], remaining.Seconds(), 'f', deadlineValueWidth, 64)
	copy(value, text[:deadlineValueWidth])
	return true
}
