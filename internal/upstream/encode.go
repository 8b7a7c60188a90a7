package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// upstreamHost is the Host of each request to an endpoint. HTTP/1.1 requires one, and the protocol with the endpoints
// does not specify its value.
const upstreamHost = "backend.local"

// headSizeHint is the number of bytes that are allocated for the head of a request before it is encoded.
const headSizeHint = 512

// maxCopiedBody is the maximum length of a body, in bytes, that is copied behind the head, so that a single write sends
// both. An attempt holds no copy of a longer body.
const maxCopiedBody = 4 << 10

// deadlineValueWidth is the length of the value of X-Deadline in a request to an endpoint, in bytes. The value is the
// time that the node will wait, in seconds with at least three decimals; the maximum is one hour.
const deadlineValueWidth = len("3600.000")

// encodedRequest is a request in its HTTP/1.1 form, ready to be written to an endpoint.
type encodedRequest struct {
	text          []byte // the head, and the body unless it is long
	deadlineValue []byte // the slice of text with the value of X-Deadline, which is filled in last
	longBody      []byte // the body of the Request itself, or nil if text includes the body
}

// encodeRequest encodes a request. Its method, target, body, request ID and idempotency key are forwarded unchanged.
func encodeRequest(r *Request) encodedRequest {
	header := http.Header{
		"X-Request-Id": {r.ID},
		"X-Deadline":   {strings.Repeat("0", deadlineValueWidth)},
	}
	if r.IdempotencyKey != "" {
		header["Idempotency-Key"] = []string{r.IdempotencyKey}
	}
	if r.ContentType != "" {
		header["Content-Type"] = []string{r.ContentType}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost {
		header["Content-Length"] = []string{strconv.Itoa(len(r.Body))}
	}
	var encoded encodedRequest
	var buf bytes.Buffer
	if len(r.Body) > maxCopiedBody {
		encoded.longBody = r.Body
		buf.Grow(headSizeHint)
	} else {
		buf.Grow(headSizeHint + len(r.Body))
	}
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, upstreamHost)
	_ = header.Write(&buf) // a bytes.Buffer returns no error
	buf.WriteString("\r\n")
	if encoded.longBody == nil {
		buf.Write(r.Body)
	}
	encoded.text = buf.Bytes()
	const field = "\r\nX-Deadline: " // cannot be part of an earlier value, as no value contains a line end
	start := bytes.Index(encoded.text, []byte(field)) + len(field)
	encoded.deadlineValue = encoded.text[start : start+deadlineValueWidth]
	return encoded
}

// writeTo writes the request, and reports whether its last byte was written. Unless the body is long, a single write
// sends the request.
func (r encodedRequest) writeTo(w io.Writer) (complete bool, err error) {
	written, err := w.Write(r.text)
	if err != nil || len(r.longBody) == 0 {
		return written == len(r.text) && len(r.longBody) == 0, err
	}
	written, err = w.Write(r.longBody)
	return written == len(r.longBody), err
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
