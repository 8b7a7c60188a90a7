package node

import (
	"bytes"
	"hash/maphash"
	"net/http"
	"strconv"
	"time"
)

// Bounds on what one downstream connection may make the scanner hold or skip.
const (
	maxRequestLine    = maxHeaderBytes + 4<<10 // bytes; net/http allows a head no more
	maxBufferedField  = 256                    // bytes of a field line; a longer one can't be a good Content-Length
	maxChunkLine      = 4 << 10                // bytes of a chunk's size and extensions, as in net/http
	maxTrailers       = 4 << 10                // bytes of all trailers of a request, as in net/http
	maxChunkDigits    = 16                     // hexadecimal digits of a chunk's size, as in net/http
	maxPipelinedHeads = 2048                   // more than the requests of use that fit in aheadEach bytes
	maxBlankBytes     = 4                      // CR and LF that net/http skips behind a POST
)

// framingError says why the framing of a request is ambiguous or can't be read.
type framingError string

func (e framingError) Error() string { return string(e) }

// Errors in the framing of a request.
const (
	errRequestLine      framingError = "the request line can't be read"
	errFieldLine        framingError = "a header field can't be read"
	errFoldedFraming    framingError = "Content-Length or Transfer-Encoding is folded"
	errContentLength    framingError = "Content-Length is no number or differs from another"
	errCoding           framingError = "the transfer coding is not chunked alone"
	errCodingInHTTP10   framingError = "HTTP/1.0 has no transfer coding"
	errLengthAndCoding  framingError = "Content-Length comes beside Transfer-Encoding"
	errChunkSize        framingError = "a chunk's size can't be read"
	errChunkEnd         framingError = "a chunk does not end where its size says"
	errTrailer          framingError = "the trailers can't be read or are too long"
	errTooManyPipelined framingError = "too many requests are sent ahead"
	errFramingDisagrees framingError = "the request is not where the one before it ends"
)

// chunkedLength stands in for the length of a body in chunks, as http.Request.ContentLength has it.
const chunkedLength = -1

// requestHead is what the scanner knows of one request once its head is complete.
type requestHead struct {
	firstByte  time.Duration // clock time when its first byte was read
	lineHash   uint64        // hash of the request line
	bodyLength int64         // of the body, or chunkedLength
}

// requestLines is the seed for the hashes of request lines.
var requestLineSeed = maphash.MakeSeed()

// scanState is what the next byte of a connection belongs to.
type scanState int

const (
	scanIdle scanState = iota
	scanRequestLine
	scanFieldLine
	scanBody // with a Content-Length
	scanChunkSize
	scanChunk
	scanChunkEnd
	scanTrailers
)

// fieldKind tells what a folded line continues.
type fieldKind int

const (
	fieldNone fieldKind = iota
	fieldFraming
	fieldOther
)

// requestScanner follows the framing of the requests on one downstream connection, and is fed every byte as
// it is read from the kernel. It knows what net/http hides: when the first byte of each request came, also
// of one behind another, and whether Content-Length, which net/http drops then, came beside
// Transfer-Encoding. It is as strict as net/http or stricter; what it rejects is answered with an error and
// ends the connection, so that no request can hide in the body of another. After an error it scans no more.
//
// It holds one line, as far as it is of use, and a few words for each request that is read ahead.
type requestScanner struct {
	state        scanState
	line         []byte // the current line so far
	truncated    bool   // a field line was longer than what is kept of it
	remaining    uint64 // bytes of the body, the chunk or the trailers that may still come
	blankAllowed int    // bytes that may be skipped before the next request line

	current       requestHead
	http10        bool
	isPost        bool
	hasLength     bool
	hasCoding     bool
	previousField fieldKind // of the line before

	heads     []requestHead // complete, and not taken yet
	err       error
	errInBody bool // err is in the body that belongs to the last head, not in the next head
}

// feed scans bytes that were read at a clock time.
func (s *requestScanner) feed(p []byte, at time.Duration) {
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

// midRequest says that a request has begun and is not complete.
func (s *requestScanner) midRequest() bool { return s.err == nil && s.state != scanIdle }

// anotherBegun says that a request behind those that were taken has begun.
func (s *requestScanner) anotherBegun() bool { return len(s.heads) > 0 || s.midRequest() }

// take returns the next head, which must be the one that net/http has read.
func (s *requestScanner) takeHead(r *http.Request) (requestHead, error) {
	if len(s.heads) == 0 {
		if s.err != nil {
			return requestHead{}, s.err
		}
		return requestHead{}, errFramingDisagrees
	}
	head := s.heads[0]
	if s.heads = s.heads[1:]; len(s.heads) == 0 {
		s.heads = nil
	}
	line := maphash.String(requestLineSeed, r.Method+" "+r.RequestURI+" "+r.Proto)
	if head.lineHash != line || head.bodyLength != r.ContentLength {
		return requestHead{}, errFramingDisagrees
	}
	return head, nil
}

// bodyError is what is wrong with the body of the request that was taken last.
func (s *requestScanner) bodyError() error {
	if len(s.heads) == 0 && s.errInBody {
		return s.err
	}
	return nil
}

func (s *requestScanner) fail(err error) {
	s.err = err
	s.errInBody = s.state > scanFieldLine
	s.line = nil
}

// begin notes the first byte of a request, behind line ends that net/http skips after a POST.
func (s *requestScanner) beginRequest(p []byte, at time.Duration) []byte {
	if s.blankAllowed > 0 && (p[0] == '\r' || p[0] == '\n') {
		s.blankAllowed--
		return p[1:]
	}
	s.state = scanRequestLine
	s.current = requestHead{firstByte: at}
	s.hasLength, s.hasCoding, s.previousField = false, false, fieldNone
	return p
}

// skip passes over the bytes of a body or a chunk.
func (s *requestScanner) skipBody(p []byte) []byte {
	n := min(s.remaining, uint64(len(p)))
	if s.remaining -= n; s.remaining == 0 {
		if s.state == scanChunk {
			s.state = scanChunkEnd
		} else {
			s.endRequest()
		}
	}
	return p[n:]
}

// collectLine adds to the current line up to its end.
func (s *requestScanner) collectLine(p []byte) []byte {
	part, rest, complete := p, []byte(nil), false
	if end := bytes.IndexByte(p, '\n'); end >= 0 {
		part, rest, complete = p[:end+1], p[end+1:], true
	}
	most, tooLong := s.lineLimit()
	if over := len(s.line) + len(part) - most; over > 0 {
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
		s.line = nil // an idle connection holds nothing
	}
	return rest
}

// lineLimit is how much of the current line is kept, in bytes, and the error if it is longer.
func (s *requestScanner) lineLimit() (most int, tooLong error) {
	switch s.state {
	case scanRequestLine:
		return maxRequestLine, errRequestLine
	case scanChunkSize:
		return maxChunkLine, errChunkSize
	case scanChunkEnd:
		return len("\r\n"), errChunkEnd
	case scanTrailers:
		return int(s.remaining), errTrailer
	}
	return maxBufferedField, nil
}

// takeLine reads a line that is complete.
func (s *requestScanner) parseLine() {
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
	}
	if err != nil {
		s.fail(err)
	}
}

// withoutLineEnd is a line of a head without its end, which net/http takes with or without CR.
func withoutLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

func (s *requestScanner) parseRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	_, proto, _ := bytes.Cut(rest, []byte(" "))
	version, isHTTP1 := bytes.CutPrefix(proto, []byte("HTTP/1."))
	if !isHTTP1 || len(version) != 1 {
		return errRequestLine
	}
	s.current.lineHash = maphash.Bytes(requestLineSeed, line)
	s.http10 = version[0] == '0'
	s.isPost = string(method) == http.MethodPost
	s.state = scanFieldLine
	return nil
}

func (s *requestScanner) parseFieldLine(line []byte) error {
	if len(line) == 0 {
		return s.endHead()
	}
	if line[0] == ' ' || line[0] == '\t' {
		return s.parseFoldedLine()
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found && !s.truncated {
		return errFieldLine
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.previousField = fieldFraming
		return s.parseContentLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.previousField = fieldFraming
		return s.parseTransferEncoding(value)
	}
	s.previousField = fieldOther
	return nil
}

// takeFold reads a line that continues the one before it (obs-fold).
func (s *requestScanner) parseFoldedLine() error {
	switch s.previousField {
	case fieldNone:
		return errFieldLine
	case fieldFraming:
		return errFoldedFraming
	}
	return nil
}

func (s *requestScanner) parseContentLength(value []byte) error {
	length, err := strconv.ParseUint(string(value), 10, 63)
	again := s.hasLength && int64(length) != s.current.bodyLength
	if err != nil || s.truncated || again {
		return errContentLength
	}
	s.hasLength, s.current.bodyLength = true, int64(length)
	return nil
}

func (s *requestScanner) parseTransferEncoding(value []byte) error {
	if s.hasCoding || s.truncated || !bytes.EqualFold(value, []byte("chunked")) {
		return errCoding
	}
	s.hasCoding = true
	return nil
}

// endHead checks the head as a whole and queues it.
func (s *requestScanner) endHead() error {
	switch {
	case s.hasCoding && s.hasLength:
		return errLengthAndCoding
	case s.hasCoding && s.http10:
		return errCodingInHTTP10
	case len(s.heads) >= maxPipelinedHeads:
		return errTooManyPipelined
	case s.hasCoding:
		s.current.bodyLength = chunkedLength
		s.state = scanChunkSize
	case s.current.bodyLength > 0:
		s.remaining = uint64(s.current.bodyLength)
		s.state = scanBody
	default:
		s.endRequest()
	}
	s.heads = append(s.heads, s.current)
	return nil
}

// end notes that a request is complete.
func (s *requestScanner) endRequest() {
	s.state, s.blankAllowed, s.line = scanIdle, 0, nil
	if s.isPost {
		s.blankAllowed = maxBlankBytes
	}
}

// takeChunkSize reads the line before a chunk: hexadecimal digits and nothing else, then the line's end or
// an extension, which is dropped.
func (s *requestScanner) parseChunkSize(line []byte) error {
	line, hasEnd := bytes.CutSuffix(line, []byte("\r\n"))
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(digits), 16, 64)
	if !hasEnd || err != nil || len(digits) > maxChunkDigits || bytes.IndexByte(line, '\r') >= 0 {
		return errChunkSize
	}
	s.remaining, s.state = size, scanChunk
	if size == 0 {
		s.remaining, s.state = maxTrailers, scanTrailers
	}
	return nil
}

// takeTrailer reads a line behind the last chunk. Its fields are dropped.
func (s *requestScanner) parseTrailerLine(line []byte) error {
	switch {
	case string(line) == "\r\n":
		s.endRequest()
	case !bytes.HasSuffix(line, []byte("\r\n")):
		return errTrailer
	}
	s.remaining -= uint64(len(line))
	return nil
}
