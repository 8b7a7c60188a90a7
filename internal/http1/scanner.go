package http1

import (
	"bytes"
	"time"
)

// Limits on what one downstream connection may make the scanner buffer or skip.
const (
	maxRequestLine    = MaxHeaderBytes + 4<<10 // bytes; the limit of net/http for a complete head
	maxBufferedField  = 256                    // bytes buffered of a field line; a valid Content-Length is shorter
	maxChunkLine      = 4 << 10                // bytes of a chunk's size and extensions, as in net/http
	maxTrailers       = 4 << 10                // bytes of all trailers of a request, as in net/http
	maxChunkDigits    = 16                     // hexadecimal digits of a chunk's size, as in net/http
	maxPipelinedHeads = 2048                   // more than the valid requests that fit in MaxHeaderBytes + MaxBodyBytes
	maxBlankBytes     = 4                      // bytes of CR and LF that net/http skips after a POST
)

// FramingError says why the framing of a request is ambiguous or malformed. Its text is sent to the client.
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
	errFramingDisagrees FramingError = "the request is not where the one before it ends"
)

// scanState is what the next byte of a connection belongs to.
type scanState int

const (
	scanIdle        scanState = iota // between two requests
	scanRequestLine                  // the states of a head, up to scanFieldLine
	scanFieldLine
	scanBody      // a body with a Content-Length
	scanChunkSize // the states of a chunked body
	scanChunk
	scanChunkEnd
	scanTrailers
)

// RequestScanner follows the framing of the requests on one downstream connection (RFC 9112, sections 2, 6 and 7).
// It is fed every byte as it is read from the kernel. The zero value is a scanner at a connection's start.
//
// It records what net/http does not report: when the first byte of each request was read, pipelined ones included,
// and whether Content-Length came beside Transfer-Encoding, in which case net/http drops the former. It is at least
// as strict as net/http. What it rejects has to be answered with an error that closes the connection, so that no
// request can be smuggled in the body of another. After an error it scans no more.
//
// It buffers one line at most, and a RequestHead for each pipelined request. The lines of heads are parsed in
// head.go, those of bodies in body.go.
type RequestScanner struct {
	state        scanState
	line         []byte // the current line so far
	truncated    bool   // the field line is longer than the buffered part of it
	remaining    uint64 // bytes of the body or chunk that are still to come, or that trailers may still have
	blankAllowed int    // bytes of CR and LF that may be skipped before the next request line

	current       RequestHead
	http10        bool
	isPost        bool
	hasLength     bool
	hasCoding     bool
	previousField fieldKind // of the line before

	heads     []RequestHead // complete heads that net/http has not reached yet
	err       error
	errInBody bool // err is in the body of the last complete head, not in the head after it
}

// Feed scans bytes that were read at the given clock time.
func (s *RequestScanner) Feed(p []byte, at time.Duration) {
	for len(p) > 0 && s.err == nil {
		switch s.state {
		case scanIdle:
			p = s.beginRequest(p, at)
		case scanBody, scanChunk:
			p = s.skipBody(p)
		default:
			p = s.collectLine(p)
		}
	}
}

// MidRequest reports whether a request has begun and is not complete.
func (s *RequestScanner) MidRequest() bool { return s.err == nil && s.state != scanIdle }

// BehindBody reports whether a request has begun behind the complete body of the one that was taken last.
func (s *RequestScanner) BehindBody() bool {
	return len(s.heads) > 0 || s.err == nil && (s.state == scanRequestLine || s.state == scanFieldLine)
}

// fail ends the scan. The state says whether the error is in a head or in a body: those of heads come first.
func (s *RequestScanner) fail(err error) {
	s.err = err
	s.errInBody = s.state > scanFieldLine
	s.line = nil
}

// beginRequest notes the first byte of a request, after the line ends that net/http skips behind a POST.
func (s *RequestScanner) beginRequest(p []byte, at time.Duration) []byte {
	if s.blankAllowed > 0 && (p[0] == '\r' || p[0] == '\n') {
		s.blankAllowed--
		return p[1:]
	}
	s.state = scanRequestLine
	s.current = RequestHead{FirstByte: at}
	s.hasLength, s.hasCoding, s.previousField = false, false, fieldNone
	return p
}

// collectLine adds bytes to the current line, parses the line once it is complete, and returns the bytes
// behind it.
func (s *RequestScanner) collectLine(p []byte) []byte {
	part, rest, complete := p, []byte(nil), false
	if end := bytes.IndexByte(p, '\n'); end >= 0 {
		part, rest, complete = p[:end+1], p[end+1:], true
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
	if s.state == scanIdle {
		s.line = nil // an idle connection holds no buffer
	}
	return rest
}

// lineLimit returns how much of the current line is buffered, in bytes, and the error if it is longer. Without
// an error, the rest of the line is skipped.
func (s *RequestScanner) lineLimit() (limit int, tooLong error) {
	switch s.state {
	case scanRequestLine:
		return maxRequestLine, errRequestLine
	case scanChunkSize:
		return maxChunkLine, errChunkSize
	case scanChunkEnd:
		return len("\r\n"), errChunkEnd
	case scanTrailers:
		return int(s.remaining), errTrailer
	default:
		return maxBufferedField, nil
	}
}

// parseLine parses the current line, which is complete.
func (s *RequestScanner) parseLine() {
	var err error
	switch s.state {
	case scanRequestLine:
		err = s.parseRequestLine(withoutLineEnd(s.line))
	case scanFieldLine:
		err = s.parseFieldLine(withoutLineEnd(s.line))
	case scanChunkSize:
		err = s.parseChunkSize(s.line)
	case scanChunkEnd:
		if s.state = scanChunkSize; string(s.line) != "\r\n" {
			err = errChunkEnd
		}
	case scanTrailers:
		err = s.parseTrailerLine(s.line)
	default: // the bytes of the other states are not collected as lines
	}
	if err != nil {
		s.fail(err)
	}
}

// endRequest notes that a request is complete.
func (s *RequestScanner) endRequest() {
	s.state, s.blankAllowed, s.line = scanIdle, 0, nil
	if s.isPost {
		s.blankAllowed = maxBlankBytes
	}
}
