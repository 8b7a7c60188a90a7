package http1

import (
	"bytes"
	"hash/maphash"
	"net/http"
	"strconv"
	"time"
)

// chunkedLength is the bodyLength of a chunked body, as in http.Request.ContentLength.
const chunkedLength = -1

// RequestHead is what the scanner knows about one request once its head is complete.
type RequestHead struct {
	FirstByte  time.Duration // clock time when its first byte was read
	lineHash   uint64        // hash of the request line
	bodyLength int64         // in bytes, or chunkedLength
}

// requestLineSeed is the seed for the hashes of request lines.
var requestLineSeed = maphash.MakeSeed()

// fieldKind is the kind of a header field, which decides whether the field may be folded.
type fieldKind int

const (
	fieldNone    fieldKind = iota // no field precedes
	fieldFraming                  // Content-Length or Transfer-Encoding
	fieldOther
)

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
	line := maphash.String(requestLineSeed, r.Method+" "+r.RequestURI+" "+r.Proto)
	if head.lineHash != line || head.bodyLength != r.ContentLength {
		return RequestHead{}, errFramingDisagrees
	}
	return head, nil
}

// withoutLineEnd strips the end of a line in a head, which net/http accepts with or without CR.
func withoutLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

func (s *RequestScanner) parseRequestLine(line []byte) error {
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

func (s *RequestScanner) parseFieldLine(line []byte) error {
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

// parseFoldedLine parses a line that continues the field line before it (obs-fold, RFC 9112, section 5.2).
func (s *RequestScanner) parseFoldedLine() error {
	switch s.previousField {
	case fieldNone:
		return errFieldLine
	case fieldFraming:
		return errFoldedFraming
	default:
		return nil
	}
}

func (s *RequestScanner) parseContentLength(value []byte) error {
	length, err := strconv.ParseUint(string(value), 10, 63)
	differs := s.hasLength && int64(length) != s.current.bodyLength
	if err != nil || s.truncated || differs {
		return errContentLength
	}
	s.hasLength, s.current.bodyLength = true, int64(length)
	return nil
}

func (s *RequestScanner) parseTransferEncoding(value []byte) error {
	if s.hasCoding || s.truncated || !bytes.EqualFold(value, []byte("chunked")) {
		return errCoding
	}
	s.hasCoding = true
	return nil
}

// endHead checks how the fields of a complete head go together, queues the head, and begins its body.
func (s *RequestScanner) endHead() error {
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
