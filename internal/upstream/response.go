package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"basaltdrum/balancer"
	"basaltdrum/internal/http1"
	"basaltdrum/internal/monotime"
)

// maxResponseOverhead limits everything in a response besides its body, in bytes: the head, the interim responses
// before it and the framing of chunks.
const maxResponseOverhead = 16 << 10

var (
	// errIncompleteResponse reports a response that is not complete, or that cannot be known to be.
	errIncompleteResponse = errors.New("the response is incomplete")
	// errUnexpectedTransferCoding reports a transfer coding in a response that predates HTTP/1.1.
	errUnexpectedTransferCoding = errors.New("a transfer coding in a response older than HTTP/1.1")
)

// bodyFraming is what marks the end of a response's body (RFC 9112, section 6.3).
type bodyFraming int

const (
	framedByLength bodyFraming = iota // a Content-Length, or the last chunk
	framedByClose                     // the end of the connection: a FIN; a reset does not count
	framingTooLong                    // a Content-Length beyond http1.MaxBodyBytes
)

func (f bodyFraming) String() string {
	switch f {
	case framedByLength:
		return "length or chunks"
	case framedByClose:
		return "end of connection"
	case framingTooLong:
		return "length beyond the limit"
	}
	return fmt.Sprintf("bodyFraming(%d)", int(f))
}

func framingOf(resp *http.Response) bodyFraming {
	switch {
	case resp.ContentLength > http1.MaxBodyBytes:
		return framingTooLong
	case resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0:
		return framedByLength
	}
	return framedByClose
}

// readResponse reads one response, whose end it times by clock, and reports whether the connection is reusable.
//
// Only a complete 200 is a success, and only a complete response proves that a request never ran. A response
// without a length ends with the connection; the body is read to that end for a 200 alone, as it makes no other
// response conclusive. Bytes that follow a response do not invalidate it, but the connection is not reusable then,
// as they could not be distinguished from the next response.
func (c *conn) readResponse(clock monotime.Clock) (reply exchangeResult, reusable bool) {
	c.limited.Remaining = maxResponseOverhead
	resp, err := readHead(c.reader)
	if err != nil {
		return exchangeResult{err: fmt.Errorf("read response head: %w", err)}, false
	}
	framing := framingOf(resp)
	body, err := readBody(c.limited, resp, framing)
	if err != nil && resp.StatusCode == http.StatusOK {
		err = fmt.Errorf("%w: read its body, which ends by %v: %w", errIncompleteResponse, framing, err)
		return exchangeResult{err: err}, false
	}
	complete := framing == framedByLength && err == nil
	reply.EndedAt, reply.endedByClose = clock.Now(), framing == framedByClose
	reply.Result = resultOf(resp, complete)
	if reply.Result == balancer.Success {
		reply.Body, reply.ContentType = body, resp.Header.Get("Content-Type")
	}
	return reply, complete && !resp.Close && c.reader.Buffered() == 0
}

// resultOf returns the result that a response stands for. A 200 has been read to its end.
func resultOf(resp *http.Response, complete bool) balancer.AttemptResult {
	switch {
	case resp.StatusCode == http.StatusOK:
		return balancer.Success
	case complete && provesNotRun(resp):
		return balancer.Rejected
	}
	return balancer.ServerError
}

// provesNotRun reports whether a response, if it is complete, proves that the request never ran.
func provesNotRun(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Run") == "1"
}

// readHead reads the head of the final response, past interim (1xx) responses.
func readHead(reader *bufio.Reader) (*http.Response, error) {
	for old := false; ; {
		head, isOld, err := asHTTP11(reader)
		if err != nil {
			return nil, err
		}
		reader, old = head, old || isOld
		resp, err := http.ReadResponse(reader, nil)
		switch {
		case err != nil:
			return nil, err
		case old && len(resp.TransferEncoding) > 0:
			return nil, errUnexpectedTransferCoding
		case resp.StatusCode >= http.StatusOK:
			resp.Close = resp.Close || old
			return resp, nil
		}
	}
}

// asHTTP11 returns a reader of a head whose version is HTTP/1.1, and reports whether it was an older one.
//
// http.ReadResponse ignores and removes a Transfer-Encoding in a response older than HTTP/1.1, and would then
// return the framing of the chunks as the body. Such a response is faulty (RFC 9112, section 6.1). To make the
// field visible, the head is parsed as if it were of HTTP/1.1.
func asHTTP11(reader *bufio.Reader) (head *bufio.Reader, old bool, err error) {
	const http11 = "HTTP/1.1"
	version, err := reader.Peek(len(http11))
	if err != nil {
		return nil, false, err
	}
	major, minor, ok := http.ParseHTTPVersion(string(version))
	if !ok || major > 1 || major == 1 && minor >= 1 {
		return reader, false, nil
	}
	if _, err := reader.Discard(len(version)); err != nil {
		return nil, true, err
	}
	return bufio.NewReader(io.MultiReader(strings.NewReader(http11), reader)), true, nil
}

// readBody reads a body to its end, and fails if it has more than http1.MaxBodyBytes. It leaves a body alone that is
// declared longer, and one that ends with the connection unless the status is 200.
func readBody(limited *http1.LimitedReader, resp *http.Response, framing bodyFraming) ([]byte, error) {
	switch {
	case framing == framingTooLong:
		return nil, http1.ErrTooLong
	case framing == framedByClose && resp.StatusCode != http.StatusOK:
		return nil, nil
	}
	limited.Remaining += http1.MaxBodyBytes + 1
	body, err := io.ReadAll(io.LimitReader(resp.Body, http1.MaxBodyBytes+1))
	if err == nil && len(body) > http1.MaxBodyBytes {
		err = http1.ErrTooLong
	}
	return body, err
}
