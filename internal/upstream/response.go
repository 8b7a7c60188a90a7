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
	// errIncompleteResponse reports a response that is incomplete, or whose completeness cannot be determined.
	errIncompleteResponse = errors.New("response is incomplete")
	// errUnexpectedTransferCoding reports a transfer coding in a response that predates HTTP/1.1.
	errUnexpectedTransferCoding = errors.New("response older than HTTP/1.1 has a Transfer-Encoding")
)

// bodyFraming is the way in which the end of a response's body is determined (RFC 9112, section 6.3).
type bodyFraming int

const (
	framedByLength bodyFraming = iota // Content-Length or the last chunk
	framedByClose                     // the end of the connection by a FIN; a reset does not count
	framingTooLong                    // Content-Length is greater than http1.MaxBodyBytes
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

// readResponse reads one response, records the clock time of its end, and reports whether the connection is reusable.
//
// Only a complete 200 is a success, and only a complete response proves that a request never ran. A response
// without a length ends with the connection. Its body is read only for a 200: any other status without a length counts
// as a server error, whether its body is complete or not. Bytes that follow a response do not invalidate it, but make
// the connection not reusable, as they could not be distinguished from the next response.
func (c *conn) readResponse(clock monotime.Clock, waiter *responseWaiter) (response exchangeResult, reusable bool) {
	// The buffer is for this response only: connections wait most of the time, and would hold it meanwhile.
	limited := &http1.LimitedReader{Reader: c.Conn, Remaining: maxResponseOverhead}
	reader := bufio.NewReader(&http1.FieldLimitReader{Reader: limited})
	resp, err := readHead(reader)
	if err != nil {
		return exchangeResult{err: fmt.Errorf("read response head: %w", err)}, false
	}
	framing := framingOf(resp)
	body, holdsMemory, err := readBody(limited, resp, framing, waiter)
	if err != nil && resp.StatusCode == http.StatusOK {
		err = fmt.Errorf("%w: read body delimited by %v: %w", errIncompleteResponse, framing, err)
		return exchangeResult{err: err}, false
	}
	complete := framing == framedByLength && err == nil
	response.holdsMemory = holdsMemory
	response.EndedAt, response.endedByClose = clock.Now(), framing == framedByClose
	response.Result = resultOf(resp, complete)
	if response.Result == balancer.Success {
		response.Body, response.ContentType = body, resp.Header.Get("Content-Type")
	}
	return response, complete && !resp.Close && reader.Buffered() == 0
}

// resultOf returns the attempt result of a response. The caller has read a 200 to its end.
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

// readHead reads the head of the final response and skips interim (1xx) responses before it.
func readHead(reader *bufio.Reader) (*http.Response, error) {
	for predates11 := false; ; {
		head, headPredates11, err := asHTTP11(reader)
		if err != nil {
			return nil, err
		}
		reader, predates11 = head, predates11 || headPredates11
		resp, err := http.ReadResponse(reader, nil)
		switch {
		case err != nil:
			return nil, err
		case predates11 && len(resp.TransferEncoding) > 0:
			return nil, errUnexpectedTransferCoding
		case resp.StatusCode >= http.StatusOK:
			resp.Close = resp.Close || predates11
			return resp, nil
		}
	}
}

// asHTTP11 returns a reader of a response head in which an older version is replaced by HTTP/1.1, and reports whether
// it was replaced.
//
// http.ReadResponse ignores and removes a Transfer-Encoding in a response older than HTTP/1.1, and would then
// return the framing of the chunks as the body. Such a response is faulty (RFC 9112, section 6.1). To make the
// field visible, the head is parsed as an HTTP/1.1 head.
func asHTTP11(reader *bufio.Reader) (head *bufio.Reader, predates11 bool, err error) {
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
