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
	maxRequestLine = maxHeader + 4<<10 // bytes; net/http allows a head no more
	maxFieldKept   = 256               // bytes of a field line; a longer one can't be a good Content-Length
	maxChunkLine   = 4 << 10           // bytes of a chunk's size and extensions, as in net/http
	maxTrailers    = 4 << 10           // bytes of all trailers of a request, as in net/http
	maxChunkDigits = 16                // hexadecimal digits of a chunk's size, as in net/http
	maxHeadsAhead  = 2048              // more than the requests of use that fit in aheadEach bytes
	maxBlankBytes  = 4                 // CR and LF that net/http skips behind a POST
)

// framingError says why the framing of a request is ambiguous or can't be read.
type framingError string

func (e framingError) Error() string { return string(e) }

// Errors in the framing of a request.
const (
	errRequestLine    framingError = "the request line can't be read"
	errFieldLine      framingError = "a header field can't be read"
	errFoldedFraming  framingError = "Content-Length or Transfer-Encoding is folded"
	errContentLength  framingError = "Content-Length is no number or differs from another"
	errCoding         framingError = "the transfer coding is not chunked alone"
	errCodingTooEarly framingError = "HTTP/1.0 has no transfer coding"
	errTwoLengths     framingError = "Content-Length comes beside Transfer-Encoding"
	errChunkSize      framingError = "a chunk's size can't be read"
	errChunkEnd       framingError = "a chunk does not end where its size says"
	errTrailer        framingError = "the trailers can't be read or are too long"
	errTooManyAhead   framingError = "too many requests are sent ahead"
	errOtherRequest   framingError = "the request is not where the one before it ends"
)

// chunkedLength stands in for the length of a body in chunks, as http.Request.ContentLength has it.
const chunkedLength = -1

// requestHead is what the scanner knows of one request once its head is complete.
type requestHead struct {
	firstByte time.Duration // clock time when its first byte was read
	line      uint64        // hash of the request line
	length    int64         // of the body, or chunkedLength
}

// requestLines is the seed for the hashes of request lines.
var requestLines = maphash.MakeSeed()

// scanState is what the next byte of a connection belongs to.
type scanState int

const (
	betweenRequests scanState = iota
	inRequestLine
	inFieldLine
	inBody // with a Content-Length
	inChunkSize
	inChunk
	inChunkEnd
	inTrailers
)

// fieldKind tells what a folded line continues.
type fieldKind int

const (
	noField fieldKind = iota
	framingField
	otherField
)

// requestScanner follows the framing of the requests on one downstream connection, and is fed every byte as
// it is read from the kernel. It knows what net/http hides: when the first byte of each request came, also
// of one behind another, and whether Content-Length, which net/http drops then, came beside
// Transfer-Encoding. It is as strict as net/http or stricter; what it rejects is answered with an error and
// ends the connection, so that no request can hide in the body of another. After an error it scans no more.
//
// It holds one line, as far as it is of use, and a few words for each request that is read ahead.
type requestScanner struct {
	state scanState
	line  []byte // the current line so far
	long  bool   // a field line was longer than what is kept of it
	left  uint64 // bytes of the body, the chunk or the trailers that may still come
	blank int    // bytes that may be skipped before the next request line

	current   requestHead
	http10    bool
	post      bool
	hasLength bool
	hasCoding bool
	field     fieldKind // of the line before

	heads  []requestHead // complete, and not taken yet
	err    error
	ofBody bool // err is in the body that belongs to the last head, not in the next head
}

// feed scans bytes that were read at a clock time.
func (s *requestScanner) feed(p []byte, at time.Duration) {
	for len(p) > 0 && s.err == nil {
		switch s.state {
		case betweenRequests:
			p = s.begin(p, at)
		case inBody, inChunk:
			p = s.skip(p)
		default:
			p = s.collectLine(p)
		}
	}
}

// midRequest says that a request has begun and is not complete.
func (s *requestScanner) midRequest() bool { return s.err == nil && s.state != betweenRequests }

// anotherBegun says that a request behind those that were taken has begun.
func (s *requestScanner) anotherBegun() bool { return len(s.heads) > 0 || s.midRequest() }

// take returns the next head, which must be the one that net/http has read.
func (s *requestScanner) take(r *http.Request) (requestHead, error) {
	if len(s.heads) == 0 {
		if s.err != nil {
			return requestHead{}, s.err
		}
		return requestHead{}, errOtherRequest
	}
	head := s.heads[0]
	if s.heads = s.heads[1:]; len(s.heads) == 0 {
		s.heads = nil
	}
	line := maphash.String(requestLines, r.Method+" "+r.RequestURI+" "+r.Proto)
	if head.line != line || head.length != r.ContentLength {
		return requestHead{}, errOtherRequest
	}
	return head, nil
}

// bodyError is what is wrong with the body of the request that was taken last.
func (s *requestScanner) bodyError() error {
	if len(s.heads) == 0 && s.ofBody {
		return s.err
	}
	return nil
}

func (s *requestScanner) fail(err error) {
	s.err = err
	s.ofBody = s.state > inFieldLine
	s.line = nil
}

// begin notes the first byte of a request, behind line ends that net/http skips after a POST.
func (s *requestScanner) begin(p []byte, at time.Duration) []byte {
	if s.blank > 0 && (p[0] == '\r' || p[0] == '\n') {
		s.blank--
		return p[1:]
	}
	s.state = inRequestLine
	s.current = requestHead{firstByte: at}
	s.hasLength, s.hasCoding, s.field = false, false, noField
	return p
}

// skip passes over the bytes of a body or a chunk.
func (s *requestScanner) skip(p []byte) []byte {
	n := min(s.left, uint64(len(p)))
	if s.left -= n; s.left == 0 {
		if s.state == inChunk {
			s.state = inChunkEnd
		} else {
			s.end()
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
		part, s.long = part[:len(part)-over], true
	}
	s.line = append(s.line, part...)
	if complete {
		s.takeLine()
		s.line, s.long = s.line[:0], false
	}
	if s.state == betweenRequests {
		s.line = nil // an idle connection holds nothing
	}
	return rest
}

// lineLimit is how much of the current line is kept, in bytes, and the error if it is longer.
func (s *requestScanner) lineLimit() (most int, tooLong error) {
	switch s.state {
	case inRequestLine:
		return maxRequestLine, errRequestLine
	case inChunkSize:
		return maxChunkLine, errChunkSize
	case inChunkEnd:
		return len("\r\n"), errChunkEnd
	case inTrailers:
		return int(s.left), errTrailer
	}
	return maxFieldKept, nil
}

// takeLine reads a line that is complete.
func (s *requestScanner) takeLine() {
	var err error
	switch s.state {
	case inRequestLine:
		err = s.takeRequestLine(withoutLineEnd(s.line))
	case inFieldLine:
		err = s.takeFieldLine(withoutLineEnd(s.line))
	case inChunkSize:
		err = s.takeChunkSize(s.line)
	case inChunkEnd:
		if s.state = inChunkSize; string(s.line) != "\r\n" {
			err = errChunkEnd
		}
	case inTrailers:
		err = s.takeTrailer(s.line)
	}
	if err != nil {
		s.fail(err)
	}
}

// withoutLineEnd is a line of a head without its end, which net/http takes with or without CR.
func withoutLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

func (s *requestScanner) takeRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	_, proto, _ := bytes.Cut(rest, []byte(" "))
	version, isHTTP1 := bytes.CutPrefix(proto, []byte("HTTP/1."))
	if !isHTTP1 || len(version) != 1 {
		return errRequestLine
	}
	s.current.line = maphash.Bytes(requestLines, line)
	s.http10 = version[0] == '0'
	s.post = string(method) == http.MethodPost
	s.state = inFieldLine
	return nil
}

func (s *requestScanner) takeFieldLine(line []byte) error {
	if len(line) == 0 {
		return s.endHead()
	}
	if line[0] == ' ' || line[0] == '\t' {
		return s.takeFold()
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found && !s.long {
		return errFieldLine
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.field = framingField
		return s.takeContentLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.field = framingField
		return s.takeTransferEncoding(value)
	}
	s.field = otherField
	return nil
}

// takeFold reads a line that continues the one before it (obs-fold).
func (s *requestScanner) takeFold() error {
	switch s.field {
	case noField:
		return errFieldLine
	case framingField:
		return errFoldedFraming
	}
	return nil
}

func (s *requestScanner) takeContentLength(value []byte) error {
	length, err := strconv.ParseUint(string(value), 10, 63)
	again := s.hasLength && int64(length) != s.current.length
	if err != nil || s.long || again {
		return errContentLength
	}
	s.hasLength, s.current.length = true, int64(length)
	return nil
}

func (s *requestScanner) takeTransferEncoding(value []byte) error {
	if s.hasCoding || s.long || !bytes.EqualFold(value, []byte("chunked")) {
		return errCoding
	}
	s.hasCoding = true
	return nil
}

// endHead checks the head as a whole and queues it.
func (s *requestScanner) endHead() error {
	switch {
	case s.hasCoding && s.hasLength:
		return errTwoLengths
	case s.hasCoding && s.http10:
		return errCodingTooEarly
	case len(s.heads) >= maxHeadsAhead:
		return errTooManyAhead
	case s.hasCoding:
		s.current.length = chunkedLength
		s.state = inChunkSize
	case s.current.length > 0:
		s.left = uint64(s.current.length)
		s.state = inBody
	default:
		s.end()
	}
	s.heads = append(s.heads, s.current)
	return nil
}

// end notes that a request is complete.
func (s *requestScanner) end() {
	s.state, s.blank, s.line = betweenRequests, 0, nil
	if s.post {
		s.blank = maxBlankBytes
	}
}

// takeChunkSize reads the line before a chunk: hexadecimal digits and nothing else, then the line's end or
// an extension, which is dropped.
func (s *requestScanner) takeChunkSize(line []byte) error {
	line, hasEnd := bytes.CutSuffix(line, []byte("\r\n"))
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(digits), 16, 64)
	if !hasEnd || err != nil || len(digits) > maxChunkDigits || bytes.IndexByte(line, '\r') >= 0 {
		return errChunkSize
	}
	s.left, s.state = size, inChunk
	if size == 0 {
		s.left, s.state = maxTrailers, inTrailers
	}
	return nil
}

// takeTrailer reads a line behind the last chunk. Its fields are dropped.
func (s *requestScanner) takeTrailer(line []byte) error {
	switch {
	case string(line) == "\r\n":
		s.end()
	case !bytes.HasSuffix(line, []byte("\r\n")):
		return errTrailer
	}
	s.left -= uint64(len(line))
	return nil
}
