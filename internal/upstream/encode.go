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

// upstreamHost is the Host of each request to an endpoint. HTTP/1.1 requires one, and the protocol with the endpoints
// does not specify its value.
const upstreamHost = "backend.local"

// headSizeHint is the number of bytes that are allocated for the head of a request before it is encoded.
const headSizeHint = 512

// deadlineValueWidth is the length of the value of X-Deadline in a request to an endpoint, in bytes. The value is the
// time that the node will wait, in seconds with at least three decimals; the maximum is one hour.
const deadlineValueWidth = len("3600.000")

// encodedRequest is a request in its HTTP/1.1 form, ready to be written to an endpoint.
type encodedRequest struct {
	text          []byte
	deadlineValue []byte // the slice of text with the value of X-Deadline, which is filled in last
}

// encodeRequest encodes a request. Its method, target, body, request ID and idempotency key are forwarded unchanged.
func encodeRequest(r *Request) (encodedRequest, error) {
	header := http.Header{
		"User-Agent":   {""}, // suppresses the default value
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
	// The request is encoded in full, so that a single write sends it and shows whether its last byte was written.
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

// writeDeadlineValue overwrites a value of X-Deadline, of deadlineValueWidth bytes, with the remaining time, which it
// never rounds up. It returns false if no time remains.
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
