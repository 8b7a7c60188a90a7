package http1

import (
	"bytes"
	"strconv"
)

// BodyError returns the FramingError in the body of the request whose head was taken last, or nil.
func (s *RequestScanner) BodyError() error {
	if len(s.heads) == 0 && s.errInBody {
		return s.err
	}
	return nil
}

// skipBody skips bytes of a body or a chunk, and returns those behind it.
func (s *RequestScanner) skipBody(p []byte) []byte {
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

// parseChunkSize parses the line before a chunk (RFC 9112, section 7.1): hexadecimal digits only, followed by
// the line's end or an extension, which is ignored.
func (s *RequestScanner) parseChunkSize(line []byte) error {
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

// parseTrailerLine parses a line behind the last chunk. Trailer fields are ignored.
func (s *RequestScanner) parseTrailerLine(line []byte) error {
	switch {
	case string(line) == "\r\n":
		s.endRequest()
	case !bytes.HasSuffix(line, []byte("\r\n")):
		return errTrailer
	}
	s.remaining -= uint64(len(line))
	return nil
}
