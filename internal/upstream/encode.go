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

// deadlineValueWidth is the length of the value of X-Deadline in a request to an endpoint, in bytes. The value is the
// time that the node will wait, in seconds; the longest is an hour, with milliseconds.
const deadlineValueWidth = len("3600.000")

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
