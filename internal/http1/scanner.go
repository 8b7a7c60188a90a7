package http1

import (
	"bytes"
	"net/http"
	"time"
)

// Limits on what the scanner stores or skips for one downstream connection; see also head.go and body.go.
const (
	maxPipelinedHeads = 2048 // more than the valid requests that fit in MaxHeaderBytes + MaxBodyBytes
	maxBlankBytes     = 4    // bytes of CR and LF that net/http skips after a POST
)

// FramingError describes why the framing of a request is ambiguous or malformed. Its text is sent to the client.
type FramingError string

// Error returns the text that is sent to the client.
func (e FramingError) Error() string { return string(e) }

// Errors in the framing of a request, all answered with 400.
const (
	errRequestLine      FramingError = "the request line can't be read"
	errFieldLine        FramingError = "a header field can't be read"
	errFoldedFraming    FramingError = "Content-Length or Transfer-Encoding is folded"
	errContentLength    FramingError = "Content-Length is no number or differs from another"
	errCoding           FramingError = "the transfer coding is not chunked alone"
	errCodingInHTTP10   FramingError = "HTTP/1.0 has no transfer coding"
	errLengthAndCoding  FramingError = "Content-Length comes beside Transfer-Encoding"
	errChunkSize        FramingError = "a chunk's size can't be read"
	errChunkEnd         FramingError = "a chunk does not end where its size says"
	errTrailer          FramingError = "the trailers can't be read or are too long"
	errTooManyPipelined FramingError = "too many requests are sent ahead"
	errTooManyFields    FramingError = "the head or the trailers have too many lines"
	errNoHeadMemory     FramingError = "there is no memory for the rest of the head"
	errFramingDisagrees FramingError = "the request is not where the one before it ends"
)

// requestPart is the part of a request that the next byte of a connection belongs to.
type requestPart int

const (
	betweenRequests requestPart = iota
	inHead
	inBody
)

// RequestScanner follows the framing of the requests on one downstream connection (RFC 9112, sections 2, 6 and 7).
// It is fed every byte as it is read from the kernel. The zero value is a scanner at a connection's start.
//
// It records what net/http does not report: when the first byte of each request was read, pipelined ones included, the
// deadlines of requests that net/http has not read yet, and whether a request has both Content-Length and
// Transfer-Encoding, where net/http drops the former. It is at least as strict as net/http. What it rejects has to be
// answered with an error that closes the connection, so that no request can be smuggled in the body of another. After
// an error it stops scanning.
//
// It also limits the lines of each head and of trailers, which net/http would hold without a limit: net/http must get
// only the bytes that Feed accepts.
//
// It buffers one line at most, and a RequestHead for each pipelined request. It splits the bytes into lines and
// content; headScanner parses the lines of heads, and bodyScanner those of bodies.
type RequestScanner struct {
	position     requestPart
	line         []byte // the current line so far
	truncated    bool   // the field line is longer than its buffered part
	blankAllowed int    // bytes of CR and LF that may be skipped before the next request line
	headBytes    int    // bytes of the head that is being scanned

	head headScanner // of the request that is being scanned
	body bodyScanner

	heads     []RequestHead // complete heads that net/http has not read yet
	err       error
	linesLeft int  // after an error in a head: how many of its lines are still accepted
	errInBody bool // err is in the body that belongs to the last complete head, not in the next head
}

// Feed scans bytes that were read at the given clock time. It returns how many of them are accepted: all of them, or
// those before the connection is cut off.
func (s *RequestScanner) Feed(p []byte, at time.Duration) (accepted int) {
	rest := p
	for len(rest) > 0 && s.err == nil {
		switch {
		case s.position == betweenRequests:
			rest = s.startRequest(rest, at)
		case s.position == inBody && !s.body.isLine():
			rest = s.skipContent(rest)
		default:
			rest = s.collectLine(rest)
		}
	}
	if s.err != nil {
		rest = s.acceptLines(rest)
	}
	return len(p) - len(rest)
}

// acceptLines accepts lines that follow an error in a head, and returns the bytes after them.
func (s *RequestScanner) acceptLines(p []byte) []byte {
	for s.linesLeft > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			return nil
		}
		p = p[end+1:]
		s.linesLeft--
	}
	return p
}

// CutOff returns the FramingError because of which no more bytes are accepted, or nil.
func (s *RequestScanner) CutOff() error {
	if s.linesLeft > 0 {
		return nil
	}
	return s.err
}

// TakeHead removes and returns the head of the request that net/http has just read the head of. It fails with a
// FramingError if the scanner rejects the request, or if the two disagree about where the request before it ends.
func (s *RequestScanner) TakeHead(r *http.Request) (RequestHead, error) {
	if len(s.heads) == 0 {
		if s.err != nil {
			return RequestHead{}, s.err
		}
		return RequestHead{}, errFramingDisagrees
	}
	head := s.heads[0]
	if s.heads = s.heads[1:]; len(s.heads) == 0 {
		s.heads = nil
	}
	if !head.matches(r) {
		return RequestHead{}, errFramingDisagrees
	}
	return head, nil
}

// BodyError returns the FramingError in the body of the request whose head was taken last, or nil.
func (s *RequestScanner) BodyError() error {
	if len(s.heads) == 0 && s.errInBody {
		return s.err
	}
	return nil
}

// IncompleteHeadMemory returns how much memory a head holds that is not complete, in bytes.
func (s *RequestScanner) IncompleteHeadMemory() int {
	if s.headBytes == 0 {
		return 0
	}
	return HeadMemory(s.headBytes, s.head.fieldLines)
}

// RejectHead rejects a head that is not complete, because there is no memory for the rest of it.
func (s *RequestScanner) RejectHead() {
	s.fail(errNoHeadMemory)
	s.linesLeft = 0
}

// MidRequest reports whether a request has started and is not complete.
func (s *RequestScanner) MidRequest() bool { return s.err == nil && s.position != betweenRequests }

// HasPipelinedRequest reports whether another request has started after the complete body of the request whose head
// was taken last.
func (s *RequestScanner) HasPipelinedRequest() bool {
	return len(s.heads) > 0 || s.err == nil && s.position == inHead
}

// PipelinedDeadline returns the earliest deadline of the requests whose heads have been read completely after that of
// the request whose head was taken last, as a clock time, if one of them has a deadline.
func (s *RequestScanner) PipelinedDeadline() (at time.Duration, found bool) {
	for _, head := range s.heads {
		if deadline := head.FirstByte + head.wait; head.wait > 0 && (!found || deadline < at) {
			at, found = deadline, true
		}
	}
	return at, found
}

// fail stops the scan. An error in a head keeps the head out of heads, and net/http may read the rest of the head; an
// error in a body follows its complete head, and cuts the connection off.
func (s *RequestScanner) fail(err error) {
	s.err = err
	s.errInBody = s.position == inBody
	if s.position == inHead {
		s.linesLeft = MaxFieldLines - s.head.fieldLines
	}
	s.line = nil
}

// startRequest starts a request at its first byte, after the line endings that net/http skips after a POST.
func (s *RequestScanner) startRequest(p []byte, at time.Duration) []byte {
	if s.blankAllowed > 0 && (p[0] == '\r' || p[0] == '\n') {
		s.blankAllowed--
		return p[1:]
	}
	s.position = inHead
	s.head.start(at)
	return p
}

// skipContent skips the bytes of a body or a chunk, and returns the bytes after it.
func (s *RequestScanner) skipContent(p []byte) []byte {
	rest, complete := s.body.skip(p)
	if complete {
		s.endRequest()
	}
	return rest
}

// collectLine adds bytes to the current line, parses the line once it is complete, and returns the bytes
// after it. It fails at the first byte of a line beyond the limit on fields.
func (s *RequestScanner) collectLine(p []byte) []byte {
	if len(s.line) == 0 && !s.allowsLine(p[0]) {
		s.fail(errTooManyFields)
		return p
	}
	part, rest, complete := p, []byte(nil), false
	if end := bytes.IndexByte(p, '\n'); end >= 0 {
		part, rest, complete = p[:end+1], p[end+1:], true
	}
	if s.position == inHead {
		s.headBytes += len(part)
	}
	limit, tooLong := s.lineLimit()
	if over := len(s.line) + len(part) - limit; over > 0 {
		if tooLong != nil {
			s.fail(tooLong)
			return nil
		}
		part, s.truncated = part[:len(part)-over], true
	}
	s.line = append(s.line, part...)
	if complete {
		s.parseLine()
		s.line, s.truncated = s.line[:0], false
	}
	if s.position == betweenRequests {
		s.line = nil // an idle connection needs no buffer
	}
	return rest
}

// lineLimit returns how many bytes of the current line are buffered, and the error for a longer line. If the error is
// nil, the rest of a longer line is skipped.
func (s *RequestScanner) lineLimit() (limit int, tooLong error) {
	if s.position == inHead {
		return s.head.lineLimit()
	}
	return s.body.lineLimit()
}

// allowsLine reports whether the next line may start with a byte.
func (s *RequestScanner) allowsLine(first byte) bool {
	if s.position == inHead {
		return s.head.allowsLine(first)
	}
	return s.body.allowsLine(first)
}

// parseLine parses the current line, which is complete.
func (s *RequestScanner) parseLine() {
	var complete bool
	var err error
	if s.position == inHead {
		if complete, err = s.head.parseLine(s.line, s.truncated); complete && err == nil {
			err = s.endHead()
		}
	} else if complete, err = s.body.parseLine(s.line); complete {
		s.endRequest()
	}
	if err != nil {
		s.fail(err)
	}
}

// endHead queues a complete head and starts its body.
func (s *RequestScanner) endHead() error {
	if len(s.heads) >= maxPipelinedHeads {
		return errTooManyPipelined
	}
	head := s.head.current
	s.headBytes = 0
	s.heads = append(s.heads, head)
	switch {
	case head.bodyLength == chunkedLength:
		s.position = inBody
		s.body.startChunked()
	case head.bodyLength > 0:
		s.position = inBody
		s.body.startFixedLength(head.bodyLength)
	default:
		s.endRequest()
	}
	return nil
}

// endRequest records that a request is complete.
func (s *RequestScanner) endRequest() {
	s.position, s.blankAllowed, s.line = betweenRequests, 0, nil
	if s.head.isPost {
		s.blankAllowed = maxBlankBytes
	}
}
