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
var errTooLong = errors.New("the answer is too long")

// errCut says that an answer is not complete, or can't be told to be.
var errCut = errors.New("the answer is not complete")

// bounded reads up to a number of bytes that its reader sets anew for each answer. Neither http.ReadResponse
// nor io.ReadAll has a bound of its own: one endless head would fill the memory.
type bounded struct {
	io.Reader
	left int
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// framing is what tells where the body of an answer ends (RFC 9112, section 6.3).
type framing int

const (
	byLength framing = iota // a Content-Length, or chunks
	byClose                 // the end of the connection: a FIN; a reset is no end
	tooLong                 // a Content-Length beyond maxBody
)

func framingOf(resp *http.Response) framing {
	switch {
	case resp.ContentLength > maxBody:
		return tooLong
	case resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0:
		return byLength
	}
	return byClose
}

// readAnswer reads one answer, and tells whether the connection is of further use. Only a complete 200 is a
// success. What can't be read may have run. An answer is good even if more follows that belongs to none,
// but then the next answer could not be told from that. Only a 200 is worth waiting for the end of the
// connection; no other answer without a length proves anything.
func (b *backend) readAnswer(c *conn) (reply, bool) {
	c.in.left = maxAnswer
	resp, err := readHead(c.br)
	if err != nil {
		return reply{err: fmt.Errorf("answer: %w", err)}, false
	}
	ok, framing := resp.StatusCode == http.StatusOK, framingOf(resp)
	if ok && framing == tooLong {
		return reply{err: errCut}, false
	}
	var body []byte
	if framing == byLength || ok {
		body, err = readBody(c.in, resp)
	}
	if ok && err != nil {
		return reply{err: errors.Join(errCut, err)}, false
	}
	r := reply{result: result{at: b.clock.now()}, endedByClose: framing == byClose}
	switch {
	case ok:
		r.ending, r.body, r.contentType = balancer.Success, body, resp.Header.Get("Content-Type")
	case provesNotRun(resp) && framing == byLength && err == nil:
		r.ending = balancer.Rejected // only a complete answer proves that it never ran
	default:
		r.ending = balancer.ServerError
	}
	return r, err == nil && framing == byLength && !resp.Close && c.br.Buffered() == 0
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
func readBody(in *bounded, resp *http.Response) ([]byte, error) {
	in.left += maxBody + 1
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLong
	}
	return body, err
}
