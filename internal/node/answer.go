package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"balancer"
)

// errTooLong ends an answer that is longer than one may be, be it by its head or by what comes before it.
var errResponseTooLong = errors.New("the answer is too long")

// errCut says that an answer is not complete, or can't be told to be.
var errIncompleteResponse = errors.New("the answer is not complete")

// bounded reads up to a number of bytes that its reader sets anew for each answer. Neither http.ReadResponse
// nor io.ReadAll has a bound of its own: one endless head would fill the memory.
type limitedReader struct {
	io.Reader
	remaining int
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errResponseTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// framing is what tells where the body of an answer ends (RFC 9112, section 6.3).
type bodyFraming int

const (
	framedByLength bodyFraming = iota // a Content-Length, or chunks
	framedByClose                     // the end of the connection: a FIN; a reset is no end
	framingTooLong                    // a Content-Length beyond maxBody
)

func framingOf(resp *http.Response) bodyFraming {
	switch {
	case resp.ContentLength > maxBody:
		return framingTooLong
	case resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0:
		return framedByLength
	}
	return framedByClose
}

// readAnswer reads one answer, and tells whether the connection is of further use. Only a complete 200 is a
// success. What can't be read may have run. An answer is good even if more follows that belongs to none,
// but then the next answer could not be told from that. Only a 200 is worth waiting for the end of the
// connection; no other answer without a length proves anything.
func (b *upstreamPool) readResponse(c *upstreamConn) (upstreamReply, bool) {
	c.limited.remaining = maxResponseOverhead
	resp, err := readHead(c.reader)
	if err != nil {
		return upstreamReply{err: fmt.Errorf("answer: %w", err)}, false
	}
	ok, framing := resp.StatusCode == http.StatusOK, framingOf(resp)
	if ok && framing == framingTooLong {
		return upstreamReply{err: errIncompleteResponse}, false
	}
	var body []byte
	if framing == framedByLength || ok {
		body, err = readBody(c.limited, resp)
	}
	if ok && err != nil {
		return upstreamReply{err: errors.Join(errIncompleteResponse, err)}, false
	}
	r := upstreamReply{attemptOutcome: attemptOutcome{endedAt: b.clock.now()}, endedByClose: framing == framedByClose}
	switch {
	case ok:
		r.result, r.body, r.contentType = balancer.Success, body, resp.Header.Get("Content-Type")
	case provesNotRun(resp) && framing == framedByLength && err == nil:
		r.result = balancer.Rejected // only a complete answer proves that it never ran
	default:
		r.result = balancer.ServerError
	}
	return r, err == nil && framing == framedByLength && !resp.Close && c.reader.Buffered() == 0
}

// provesNotRun says that an answer, if it is complete, tells that the request never ran.
func provesNotRun(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Run") == "1"
}

// readHead reads the head of the final answer, past the 1xx before it. http.ReadResponse ignores and removes
// a Transfer-Encoding in an answer older than HTTP/1.1, whose body would then be the chunks themselves: its
// framing is faulty (RFC 9112, section 6.1). So that it can be seen, such a head is parsed as HTTP/1.1.
func readHead(br *bufio.Reader) (*http.Response, error) {
	for old := false; ; {
		version, err := br.Peek(len("HTTP/1.1"))
		if err != nil {
			return nil, err
		}
		if major, minor, ok := http.ParseHTTPVersion(string(version)); ok && (major < 1 || major == 1 && minor < 1) {
			old = true
			br.Discard(len(version))
			br = bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1"), br))
		}
		resp, err := http.ReadResponse(br, nil)
		switch {
		case err != nil:
			return nil, err
		case old && len(resp.TransferEncoding) > 0:
			return nil, errors.New("a transfer coding in an answer older than HTTP/1.1")
		case resp.StatusCode >= 200:
			resp.Close = resp.Close || old
			return resp, nil
		}
	}
}

// readBody reads a body of up to maxBody bytes to its end.
func readBody(in *limitedReader, resp *http.Response) ([]byte, error) {
	in.remaining += maxBody + 1
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errResponseTooLong
	}
	return body, err
}
